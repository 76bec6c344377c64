#include "rank_agent/choice_reporter.hpp"

#include "experts/agent_message.hpp"

#include <utility>

namespace kumquatgap::rank_agent
{

void choice_reporter::take(const choice_counts& counts, std::size_t sets)
{
    const auto last = std::exchange(m_last, counts);
    if (last.epoch == counts.epoch && sets != 0)
        m_sum.add(counts.epoch, experts::chosen_since(last.totals, counts.totals, sets));
}

std::optional<experts::choices_message> choice_reporter::due(const experts::rank_report& r,
                                                             const experts::group_view& view,
                                                             common::timestamp now)
{
    if (m_sum.empty() || view.choices_address(r.rank).empty())
        return std::nullopt;
    const auto bytes = experts::choices_bytes(m_sum.sets(), m_sum.experts());
    if (now - m_told_at < experts::choices_spacing(view.tree(), bytes, m_link))
        return std::nullopt;
    m_told_at = now;
    return experts::choices_message{r.group, m_sum.epoch(), m_sum.take()};
}

std::shared_ptr<const experts::expert_map>
choice_reporter::first_map(const experts::rank_report& r, const held_experts& held) const
{
    const auto sets = held.sets.size();
    if (m_last.epoch != r.epoch || held.version != 0 || sets == 0 ||
        m_last.totals.size() % sets != 0)
        return nullptr;
    auto map = experts::experts_in_turn(sets, static_cast<std::size_t>(r.size),
                                        m_last.totals.size() / sets);
    const auto own = static_cast<std::size_t>(r.rank);
    for (std::size_t s = 0; s < sets; ++s)
    {
        if (own >= map.sets[s].size() || map.sets[s][own] != held.sets[s])
            return nullptr;
    }
    return std::make_shared<const experts::expert_map>(std::move(map));
}

} // namespace kumquatgap::rank_agent
