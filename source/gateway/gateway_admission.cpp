#include "common/text.hpp"
#include "gateway/exchange.hpp"
#include "gateway/gateway.hpp"

#include <algorithm>
#include <limits>

/// The part of a gateway that measures the capacity for the admission of calls.
namespace kumquatgap::gateway
{

namespace
{

/// The weight of one tick in the mean share of this gateway: a time constant of 5 s.
constexpr double share_weight = 0.005;
/// A gateway's share is within these multiples of an equal share, so that missing broadcasts of
/// peers can't make it count on much more.
constexpr double min_share = 0.5;
constexpr double max_share = 2;
/// The weight of one tick by which the number of recently usable slots falls: a time constant of
/// 5 s, the time in which a host's targets restart.
constexpr double recent_slots_weight = 0.005;
/// Late calls are refused by prediction only while at least this fraction of the recently usable
/// slots is usable.
constexpr double min_known_fraction = 0.5;

} // namespace

/// This gateway's share of the slots, which follows its part of the running calls.
double gateway::slot_share(const std::vector<const fleet::target*>& all, service_state& state,
                           timestamp now) const
{
    const auto gateways = static_cast<double>(m_follower.peers().size() + 1);
    if (state.share == 0)
        state.share = 1 / gateways;
    double total = 0;
    double own = 0;
    for (const auto* it : all)
    {
        total += state.picker.load(it->id, now);
        const auto found = state.picker.own_loads().find(it->id);
        own += found == state.picker.own_loads().end() ? 0 : found->second;
    }
    // Few running calls, as after a failure of all targets, say nothing about the arrivals.
    if (total >= gateways)
        state.share += share_weight * (own / total - state.share);
    state.share = std::clamp(state.share, min_share / gateways, max_share / gateways);
    return state.share;
}

void gateway::update_admission(const std::string& name, service_state& state, timestamp now)
{
    if (!sheds_by_value())
        return;
    const auto all = m_eligibility.eligible(name, {}, now);
    const auto max_streams = state.latency.has_engine()
                                 ? state.latency.max_streams_for_gap(state.gap_goal)
                                 : std::numeric_limits<double>::max();
    double slots = 0;
    for (const auto* it : all)
        slots += std::min(static_cast<double>(it->slots), max_streams);
    state.usable_slots = slots;
    state.recent_slots = std::max(slots, state.recent_slots * (1 - recent_slots_weight));
    // The former capacity counts until the first target is back: calls that have waited for it must
    // not take all slots.
    if (slots == 0)
        return;
    state.queue.set_capacity(
        {slots * slot_share(all, state, now), state.picker.mean_response_time()});
}

void gateway::refuse_by_prediction(service_state& state, timestamp now)
{
    refuse_queued(state.queue.take_excess(now), common::result_code::queue_full);
    // Targets that come back one by one soon have more slots than now.
    if (state.usable_slots < state.recent_slots * min_known_fraction)
        return;
    refuse_queued(state.queue.take_unstartable_late(now), common::result_code::late_call_refused);
}

void gateway::refuse_queued(const std::vector<std::uint64_t>& ids, common::result_code why)
{
    for (const auto id : ids)
    {
        if (const auto it = m_exchanges.find(id); it != m_exchanges.end())
            it->second->handle_not_started(why);
    }
}

void gateway::write_admission_metrics(const std::string& name, const service_state& state,
                                      timestamp now)
{
    if (!sheds_by_value())
        return;
    const auto set = [&](std::string_view what, double value)
    {
        m_metrics.set(common::concat(what, "{service=\"", name, "\"}"),
                      static_cast<std::int64_t>(value));
    };
    const auto& late = state.queue.late_calls();
    set("kqg_late_slots", static_cast<double>(late.occupied(policy::slot_use::late)));
    set("kqg_resumed_slots", static_cast<double>(late.occupied(policy::slot_use::resumed)));
    set("kqg_late_slots_limit", late.is_active() ? late.limit(now) : -1);
}

} // namespace kumquatgap::gateway
