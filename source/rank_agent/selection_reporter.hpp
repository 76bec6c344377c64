#pragma once

#include "experts/group_view.hpp"
#include "experts/map_delta.hpp"
#include "experts/selection_sum.hpp"
#include "rank_agent/rank_protocol_adapter.hpp"

#include <memory>
#include <optional>

namespace kumquatgap::rank_agent
{

/// Combines the selection counts of a rank with those from the ranks of its block into messages,
/// sent as often as the links allow.
class selection_reporter
{
public:
    explicit selection_reporter(const experts::link_budget& link) : m_link{link} {}

    /// Adds a reading of the rank's own counts; the first of an epoch only sets the baseline.
    /// `sets` is the number of sets that the counts list.
    void add_reading(const selection_totals& counts, std::size_t sets);
    /// Adds the counts that another rank of the block has sent.
    void add(const experts::selection_counts_message& m) { m_sum.add(m.epoch, m.counts); }
    /// Discards the counts that have not been sent yet.
    void clear() { m_sum.clear(); }
    /// Returns the message that is due now, if the view knows its destination.
    std::optional<experts::selection_counts_message>
    take_due(const experts::rank_report& r, const experts::group_view& view, common::timestamp now);
    /// Returns the initial map if the group has not switched maps yet and the own rank holds
    /// experts in round-robin order; a null pointer otherwise.
    std::shared_ptr<const experts::expert_map> initial_map(const experts::rank_report& r,
                                                           const rank_experts& local_experts) const;

private:
    experts::link_budget m_link;
    selection_totals m_last_reading;
    experts::selection_sum m_sum;
    common::timestamp m_sent_at;
};

} // namespace kumquatgap::rank_agent
