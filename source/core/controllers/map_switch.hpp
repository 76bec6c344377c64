#pragma once

#include "controllers/map_switch_message.hpp"

#include <cstdint>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquatgap::controllers
{

/// Send an order to a rank; it may be lost, and is repeated at the next tick.
struct send_order
{
    rank_number to = 0;
    fenced_order order;
};

/// A controller's unanimous switch of a group to a new expert map.
///
/// It starts by asking every rank where it is. Once all have answered, orders of earlier
/// controllers reach nobody, so what an earlier one has left is decided: a map that any rank has
/// committed is committed everywhere, any other is aborted. A new map is committed only after
/// every rank has promised to wait for the decision. The store is not on this path.
class map_switch
{
public:
    /// How many steps ahead of the foremost rank a map comes into force.
    static constexpr step_number lead_steps = 3;

    map_switch(fence_number fence, std::size_t rank_count);

    /// Starts with the question to all ranks.
    std::vector<send_order> begin();
    /// Orders a new map once the group is settled; false while another switch is under way.
    bool propose();
    /// Repeats the orders that were not answered.
    std::vector<send_order> tick();
    std::vector<send_order> received(const rank_reply& reply);

    /// True when every rank is known to have the same map and no switch is under way.
    bool is_settled() const { return m_phase == phase::settled; }
    /// True after a rank has told of a higher number: this controller orders nothing more.
    bool is_deposed() const { return m_phase == phase::deposed; }
    /// The map that is being switched to, or was last.
    map_version version() const { return m_version; }
    std::string_view phase_name() const;

private:
    enum class phase : std::uint8_t
    {
        asking,
        preparing,
        arming,
        committing,
        aborting,
        settled,
        deposed
    };

    std::vector<send_order> enter(phase next);
    std::vector<send_order> next_phase();
    std::vector<send_order> decide_what_was_left();
    rank_order current_order() const;
    bool is_current(const rank_order& order) const;

    fence_number m_fence;
    phase m_phase = phase::asking;
    std::vector<rank_report> m_reports;
    std::set<rank_number> m_unanswered;
    map_version m_version = 0;
    step_number m_from = 0;
    std::int64_t m_maps_made = 0;
};

} // namespace kumquatgap::controllers
