#include "rank_agent/selection_reporter.hpp"

#include "experts/agent_message.hpp"

#include <utility>

namespace kumquatgap::rank_agent
{

void selection_reporter::add_reading(const selection_totals& counts, std::size_t sets)
{
    const auto previous = std::exchange(m_last_reading, counts);
    if (previous.epoch == counts.epoch && sets != 0)
        m_sum.add(counts.epoch, experts::selections_since(previous.totals, counts.totals, sets));
}

std::optional<experts::selection_counts_message>
selection_reporter::take_due(const experts::rank_report& r, const experts::group_view& view,
                             common::timestamp now)
{
    if (m_sum.empty() || view.counts_destination(r.rank).empty())
        return std::nullopt;
    const auto bytes = experts::estimated_counts_message_bytes(m_sum.sets(), m_sum.experts());
    if (now - m_sent_at < experts::counts_interval(view.tree(), bytes, m_link))
        return std::nullopt;
    m_sent_at = now;
    return experts::selection_counts_message{r.group, m_sum.epoch(), m_sum.take()};
}

std::shared_ptr<const experts::expert_map>
selection_reporter::initial_map(const experts::rank_report& r,
                                const rank_experts& local_experts) const
{
    const auto sets = local_experts.sets.size();
    if (m_last_reading.epoch != r.epoch || local_experts.version != 0 || sets == 0 ||
        m_last_reading.totals.size() % sets != 0)
        return nullptr;
    auto map = experts::round_robin_map(sets, static_cast<std::size_t>(r.size),
                                        m_last_reading.totals.size() / sets);
    const auto own = static_cast<std::size_t>(r.rank);
    for (std::size_t s = 0; s < sets; ++s)
    {
        if (own >= map.sets[s].size() || map.sets[s][own] != local_experts.sets[s])
            return nullptr;
    }
    return std::make_shared<const experts::expert_map>(std::move(map));
}

} // namespace kumquatgap::rank_agent
