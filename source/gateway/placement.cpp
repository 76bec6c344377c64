#include "common/log.hpp"
#include "common/text.hpp"
#include "gateway/exchange.hpp"
#include "gateway/gateway.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <optional>
#include <utility>
#include <vector>

/// The part of a gateway that decides which target a call is sent to, and which calls no target may
/// serve.
namespace kumquatgap::gateway
{

namespace
{

/// Ticks come each 25 ms; a longer time between two is a pause of the process, as by a stopped or
/// frozen host. A busy loop stays far below it.
constexpr milliseconds min_pause{1000};
constexpr double per_thousand = 1000;

} // namespace

/// Notes a tick; false for the first one after a pause. Calls are not sent before the next one: the
/// store's changes of that time wait in the process's sockets, and one of them may evacuate a data
/// centre.
bool gateway::note_tick(timestamp now)
{
    const auto gap = now - std::exchange(m_ticked_at, now);
    m_was_paused = gap >= min_pause && gap != now - timestamp{};
    if (m_was_paused)
        common::log(common::log_level::warn, "process_was_paused",
                    {{"ms", std::chrono::duration_cast<milliseconds>(gap).count()},
                     {"open_calls", static_cast<std::int64_t>(m_exchanges.size())}});
    return !m_was_paused;
}

bool gateway::holds_calls(timestamp now) const
{
    return m_was_paused || (m_ticked_at != timestamp{} && now - m_ticked_at >= min_pause);
}

/// Adjusts the queues to the capacity that is left, and takes back calls that are not connected to
/// their targets yet.
void gateway::handle_evacuation_change(timestamp now)
{
    if (evacuated().version() == m_applied_evacuations.version())
        return;
    const fleet::target_eligibility before{targets(), m_applied_evacuations, m_settings.regions};
    for (auto& [name, state] : m_services)
    {
        const auto old_slots = before.slots(name, {}, now);
        const auto slots = slots_of(name, now);
        if (old_slots == 0 || old_slots == slots)
            continue;
        const auto rate = usual_start_rate(name, {}, now);
        state.queue.scale_capacity(static_cast<double>(slots) / static_cast<double>(old_slots),
                                   rate, now);
        common::log(common::log_level::info, "capacity_changed",
                    {{"service", name},
                     {"slots_before", static_cast<std::int64_t>(old_slots)},
                     {"slots", static_cast<std::int64_t>(slots)},
                     {"starts_per_1000_s", std::llround(rate * per_thousand)}});
    }
    m_applied_evacuations = evacuated();
    const auto open = m_exchanges;
    for (const auto& [id, it] : open)
        it->leave_evacuated_target();
}

/// Returns the target for the call; empty when no target has a free slot.
std::string gateway::pick_target(const std::string& name, service_state& state, const exchange& it,
                                 timestamp now)
{
    std::vector<policy::placement_candidate> candidates;
    const auto max_streams = state.latency.has_engine()
                                 ? state.latency.max_streams_for_gap(it.gap_goal())
                                 : std::numeric_limits<double>::max();
    for (const auto* t : m_eligibility.placeable(name, it.regions(), now, m_skipped_targets))
    {
        auto limit = std::min(usable_slots(*t, now), max_streams);
        if (const auto slowdown = m_follower.slowdown_of(t->address); slowdown > 1)
            limit = std::min(limit, state.latency.max_streams_at_slowdown(slowdown));
        candidates.push_back(
            {t->id, limit, t->data_centre == m_settings.common.data_centre ? 0 : 1});
    }
    return state.picker.pick(candidates, it.excluded_targets(), now, random());
}

/// Refuses the waiting calls that no target may serve: the operator's evacuations and restrictions
/// keep them from all targets, or from all that accept calls again in time.
void gateway::refuse_unplaceable_calls(timestamp now)
{
    struct decision
    {
        const exchange* first;
        std::optional<common::result_code> refusal;
        /// Set while all targets that may serve the calls have asked for none.
        std::optional<timestamp> available_from;
    };
    // Most calls share their service and regions, so few decisions are made for many calls.
    std::vector<decision> made;
    const auto decide = [&](const exchange& it) -> const decision&
    {
        const auto known = std::ranges::find_if(
            made, [&](const decision& d)
            { return d.first->service() == it.service() && d.first->regions() == it.regions(); });
        if (known != made.end())
            return *known;
        return made.emplace_back(
            decision{&it, m_eligibility.refusal(it.service(), it.regions(), now),
                     m_eligibility.available_from(it.service(), it.regions(), now)});
    };
    std::vector<std::pair<std::shared_ptr<exchange>, common::result_code>> refused;
    for (const auto& [id, it] : m_exchanges)
    {
        if (!it->is_waiting() || (evacuated().empty() && !it->regions().is_restricted()))
            continue;
        const auto& known = decide(*it);
        if (known.refusal)
            refused.emplace_back(it, *known.refusal);
        else if (known.available_from && it->start_deadline() < *known.available_from)
            refused.emplace_back(it, common::result_code::deadline_unreachable);
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
