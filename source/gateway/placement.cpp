#include "common/log.hpp"
#include "common/text.hpp"
#include "gateway/exchange.hpp"
#include "gateway/gateway.hpp"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

/// The part of a gateway that decides which target a call is sent to, and which calls no target may
/// serve.
namespace kumquatgap::gateway
{

bool gateway::may_send_at_rate(const fleet::target& it, timestamp now) const
{
    const auto limit = targets().rate_limit_of(it.id);
    return !limit || m_rate_limiter.may_send(it.id, *limit, m_follower.peers().size() + 1, now);
}

/// Returns the target for the call; empty when no target has a free slot.
std::string gateway::pick_target(const std::string& name, service_state& state, const exchange& it,
                                 timestamp now)
{
    std::vector<policy::placement_candidate> candidates;
    const auto max_streams = state.latency.has_engine()
                                 ? state.latency.max_streams_for_gap(it.gap_goal())
                                 : std::numeric_limits<double>::max();
    for (const auto* t : targets().registered(name, now))
    {
        if (const auto why = m_eligibility.judge(*t, it.regions(), now))
        {
            ++m_skipped_targets.at(why->index());
            continue;
        }
        auto limit = std::min(static_cast<double>(t->slots), max_streams);
        if (const auto slowdown = m_follower.slowdown_of(t->address); slowdown > 1)
            limit = std::min(limit, state.latency.max_streams_at_slowdown(slowdown));
        candidates.push_back(
            {t->id, limit, t->data_centre == m_settings.common.data_centre ? 0 : 1});
    }
    return state.picker.pick(candidates, it.excluded_targets(), now, random());
}

/// Refuses the waiting calls that the operator's evacuations and restrictions keep from all
/// targets.
void gateway::refuse_unplaceable_calls(timestamp now)
{
    struct decision
    {
        const exchange* first;
        std::optional<common::result_code> refusal;
    };
    // Most calls share their service and regions, so few decisions are made for many calls.
    std::vector<decision> made;
    std::vector<std::pair<std::shared_ptr<exchange>, common::result_code>> refused;
    for (const auto& [id, it] : m_exchanges)
    {
        if (!it->is_waiting() || (evacuated().empty() && !it->regions().is_restricted()))
            continue;
        auto known = std::ranges::find_if(
            made, [&](const decision& d)
            { return d.first->service() == it->service() && d.first->regions() == it->regions(); });
        if (known == made.end())
            known = made.insert(
                made.end(), {it.get(), m_eligibility.refusal(it->service(), it->regions(), now)});
        if (known->refusal)
            refused.emplace_back(it, *known->refusal);
    }
    for (const auto& [it, why] : refused)
        it->refuse_waiting(why);
}

void gateway::write_placement_metrics()
{
    m_metrics.set("kqg_evacuated_data_centres", static_cast<std::int64_t>(evacuated().size()));
    for (const auto& [data_centre, time] : evacuated().last_sends())
        m_metrics.set(
            common::concat("kqg_evacuation_last_send_ms{data_centre=\"", data_centre, "\"}"),
            time.count());
    for (std::size_t i = 0; i < m_skipped_targets.size(); ++i)
        m_metrics.set(common::concat("kqg_skipped_targets_total{reason=\"",
                                     fleet::ineligibility_name(i), "\"}"),
                      m_skipped_targets.at(i));
}

} // namespace kumquatgap::gateway
