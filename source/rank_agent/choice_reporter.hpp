#pragma once

#include "experts/choice_sum.hpp"
#include "experts/group_view.hpp"
#include "experts/map_changes.hpp"
#include "rank_agent/rank_wire.hpp"

#include <memory>
#include <optional>

namespace kumquatgap::rank_agent
{

/// Turns the counts of a rank, and what the ranks of its block tell, into messages of choices, as
/// often as the links carry them.
class choice_reporter
{
public:
    explicit choice_reporter(const experts::link_budget& link) : m_link{link} {}

    /// Takes a reading of the rank's own counts; the first of an epoch is only a start. `sets` is
    /// the number of sets that the counts list.
    void take(const choice_counts& counts, std::size_t sets);
    /// Takes what another rank of the block tells.
    void take(const experts::choices_message& m) { m_sum.add(m.epoch, m.choices); }
    /// Forgets what was not sent on yet.
    void clear() { m_sum.clear(); }
    /// The message that is due now, where the view names somebody to send it to.
    std::optional<experts::choices_message>
    due(const experts::rank_report& r, const experts::group_view& view, common::timestamp now);
    /// The map of a group that has switched to none, once it is seen that the own rank holds
    /// experts in turn; a null pointer otherwise.
    std::shared_ptr<const experts::expert_map> first_map(const experts::rank_report& r,
                                                         const held_experts& held) const;

private:
    experts::link_budget m_link;
    choice_counts m_last;
    experts::choice_sum m_sum;
    common::timestamp m_told_at;
};

} // namespace kumquatgap::rank_agent
