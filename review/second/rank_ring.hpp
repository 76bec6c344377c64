#pragma once

#include "../../source/unit_tests/experts/rank_engine.hpp"

#include "io/event_loop.hpp"
#include "io/http_server.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::review
{

using common::milliseconds;

/// The ranks of one group, each at an address of its own, as the pages describe them. They make
/// passes together while there is work, and none without it. An order may be left unanswered and
/// carried out later.
class rank_ring
{
public:
    /// The sets of experts, how many of each a rank may hold and copy, and how long a copy takes.
    static constexpr int sets = 6;
    static constexpr int experts = 64;
    static constexpr int places = 11;
    static constexpr int spare = 4;
    static constexpr milliseconds copy_time{148};

    /// What the ring does with an order: answers at once, or carries it out after this time and
    /// never answers. `rank` and `operation` are those of the order.
    using lateness =
        std::function<std::optional<milliseconds>(std::size_t rank, std::string_view operation)>;
    using recorder = std::function<void(const std::string&)>;

    rank_ring(io::event_loop& loop, std::string name, const std::vector<std::string>& addresses,
              recorder record);
    rank_ring(const rank_ring&) = delete;
    rank_ring& operator=(const rank_ring&) = delete;
    ~rank_ring();

    void set_lateness(lateness fn) { m_lateness = std::move(fn); }
    /// With work the group makes passes.
    void set_work(bool on) { m_has_work = on; }
    /// Other experts are in demand, for which the map in force is a bad one.
    void shift_demand();
    const std::string& address(std::size_t rank) const { return m_ranks.at(rank)->address; }
    const experts::rank_report& state(std::size_t rank) const
    {
        return m_ranks.at(rank)->engine.state;
    }
    /// Passes that began while two ranks had maps of different versions or contents.
    int broken_passes() const { return m_broken_passes; }
    std::int64_t passes() const { return m_passes; }
    bool is_held() const;
    /// For how long the rank has had the newest map that any rank was ordered to prepare; none
    /// while it copies the experts that are new to it.
    std::optional<milliseconds> prepared_for(std::size_t rank) const;
    /// The newest version that a rank was ordered to prepare.
    experts::map_version newest_version() const { return m_newest; }
    int orders() const { return m_orders; }
    int late_orders() const { return static_cast<int>(m_late_orders.size()); }

private:
    struct rank
    {
        std::string address;
        experts::rank_engine engine;
        /// The maps that it has prepared and uses, as they came.
        std::string prepared_map;
        std::string map;
        experts::map_version copying = 0;
        common::timestamp prepared_at;
        io::timer_handle copy_timer;
        std::vector<std::int64_t> counts;
        std::unique_ptr<io::http_server> server;
    };

    void handle(rank& it, const io::http_request& request, const io::responder_ptr& answer);
    void take_order(rank& it, const io::http_request& request, const io::responder_ptr& answer);
    experts::order_outcome carry_out(rank& it, const experts::rank_order& order,
                                     const std::string& map, std::string_view how);
    experts::order_outcome apply(rank& it, const experts::rank_order& order,
                                 const std::string& map);
    static std::string report(const rank& it);
    static std::string picked(const rank& it, bool wants_lists);
    static std::vector<int> held_experts(const rank& it, std::size_t set);
    /// How many experts of the map are new to the rank.
    static std::int64_t copies(const rank& it, const std::string& map);
    double skew() const;
    void begin_pass();

    io::event_loop& m_loop;
    std::string m_name;
    recorder m_record;
    lateness m_lateness;
    std::vector<std::unique_ptr<rank>> m_ranks;
    /// How often each expert is chosen, by set.
    std::vector<std::vector<double>> m_demand;
    std::mt19937_64 m_random{7};
    bool m_has_work = true;
    std::int64_t m_passes = 0;
    int m_broken_passes = 0;
    int m_orders = 0;
    experts::map_version m_newest = 0;
    std::list<io::timer_handle> m_late_orders;
    io::timer_handle m_pass_timer;
};

} // namespace kumquatgap::review
