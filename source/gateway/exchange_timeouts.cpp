#include "common/log.hpp"
#include "gateway/exchange.hpp"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <cmath>

/// The part of an exchange that acts on time alone: waits, deadlines, stalled and slow targets.
namespace kumquatgap::gateway
{

using common::result_code;
using fleet::attempt_outcome;
using policy::target_health;

namespace
{

constexpr double per_thousand = 1000;
/// A stream has stalled when it sends nothing for this long while others of its service progress.
constexpr milliseconds max_silence{1100};
/// An idempotent call is retried elsewhere after this many times its goal, and the minimum time.
constexpr int goals_before_retry = 2;
constexpr milliseconds min_time_before_retry{250};
/// It also stays for at least this many times the response time of other targets, since responses
/// of equally slow targets arrive some time apart.
constexpr double min_overdue_ratio = 1.25;

/// How long an idempotent call stays with its target when others take `elsewhere` to respond: until
/// the target has proved slow in comparison, but no longer than another can respond in time.
milliseconds time_before_retry(milliseconds elsewhere, milliseconds time_allowed, double slow_ratio)
{
    const auto ms = static_cast<double>(elsewhere.count());
    const auto last_useful = static_cast<double>((time_allowed - elsewhere).count());
    return milliseconds{
        std::llround(std::clamp(last_useful, ms * min_overdue_ratio, ms * slow_ratio))};
}

} // namespace

void exchange::handle_not_started(result_code why)
{
    if (m_ended || !m_is_queued)
        return;
    m_is_queued = false;
    // Its target may still serve it.
    if (m_attempt)
        return;
    if (has_fallback_response())
        return forward_response(*m_fallback);
    if (m_attempts.is_certainly_not_executed())
        return refuse(why, "");
    fail(result_code::outcome_unknown, "no other target had a place");
}

void exchange::refuse_waiting(result_code why)
{
    m_gateway.service(m_service).queue.remove(m_number);
    handle_not_started(why);
}

void exchange::leave_evacuated_target()
{
    if (m_ended || !m_attempt || m_attempt->may_have_reached_target() ||
        !m_gateway.evacuated().covers(m_attempt->target().data_centre))
        return;
    m_gateway.failure_log().write(common::log_level::info, "unconnected_call_taken_back",
                                  {{"id", m_caller.id},
                                   {"target", m_attempt->target().id},
                                   {"data_centre", m_attempt->target().data_centre}},
                                  common::now());
    leave_queue();
    m_attempts.end(attempt_outcome::not_sent);
    m_attempt->cancel(target_health::unknown);
    release_attempt(*m_attempt);
    if (m_attempts.may_retry())
        return requeue();
    handle_failure(attempt_outcome::not_sent, result_code::outcome_unknown);
}

void exchange::end_unanswered(result_code why)
{
    if (m_ended)
        return;
    const bool is_waiting = m_is_queued && !m_attempt;
    if (m_is_queued)
        m_gateway.service(m_service).queue.remove(m_number);
    if (is_waiting)
        return handle_not_started(why);
    m_is_queued = false;
    if (m_attempt && m_attempt->may_have_reached_target())
        m_attempts.end(attempt_outcome::unknown);
    if (m_attempt)
        m_attempt->cancel(target_health::unknown);
    if (has_fallback_response())
        return forward_response(*m_fallback);
    if (m_attempts.is_certainly_not_executed())
        return refuse(why, "");
    fail(result_code::target_timeout, "");
}

bool exchange::is_stalled(const attempt& it, timestamp now) const
{
    const auto& state = m_gateway.service(m_service);
    // When a whole group stalls, all its streams are silent and another target would not help.
    if (m_route->kind == fleet::call_kind::resumable_stream)
        return state.stalls.is_progressing(now) &&
               now - std::max(it.last_activity(), state.stalls.progressing_since()) > max_silence;
    const auto limit = std::max(m_route->goal * goals_before_retry, min_time_before_retry);
    const auto time_taken = now - it.started();
    if (m_route->kind != fleet::call_kind::idempotent || time_taken <= limit)
        return false;
    return time_taken > time_before_retry(response_time_elsewhere(now), m_deadline - it.started(),
                                          m_gateway.service(m_service).picker.slow_ratio());
}

milliseconds exchange::response_time_elsewhere(timestamp now) const
{
    const auto excluded = excluded_targets();
    std::vector<std::string> others;
    for (const auto* it : m_gateway.eligibility().eligible(m_service, m_regions, now))
    {
        if (!excluded.contains(it->id))
            others.push_back(it->id);
    }
    return m_gateway.service(m_service).picker.expected_response_time(others);
}

bool exchange::is_on_slow_target(const attempt& it, timestamp now) const
{
    if (m_route->kind != fleet::call_kind::resumable_stream)
        return false;
    // A stream whose prompt is still being read holds up the group as well.
    const auto since = m_last_event_at.value_or(it.started());
    const auto current = std::chrono::duration_cast<milliseconds>(now - since);
    return m_gateway.service(m_service).latency.should_empty(
        m_gateway.slowdown_of(it.target()), std::max(m_last_gap, current), m_route->gap_goal);
}

void exchange::check_timeouts(timestamp now)
{
    if (m_ended)
        return;
    if (is_quarantined())
        return handle_quarantine();
    if (now >= m_deadline)
        return end_unanswered(result_code::deadline_unreachable);
    if (!m_attempt)
        return;
    if (may_crash_target())
        return withdraw(now);
    if (const auto why = reason_to_leave(now))
        seek_other_target(*why, now);
    else
        leave_queue();
}

bool exchange::may_crash_target() const
{
    return !m_last_event_at && m_gateway.crashes().judge(m_marks) == policy::part_verdict::held;
}

/// Takes a call back whose prompt may have crashed another target, before its own target begins to
/// answer it. The call waits in the queue until that is known.
void exchange::withdraw(timestamp now)
{
    auto attempts = m_attempts;
    attempts.end(attempt_outcome::unknown);
    if (!attempts.may_retry() || !claim_retry(attempt_outcome::unknown))
        return;
    m_gateway.failure_log().write(common::log_level::info, "suspect_call_withdrawn",
                                  {{"id", m_caller.id},
                                   {"target", m_attempt->target().id},
                                   {"parts", absl::StrJoin(m_marks.parts, ",")},
                                   {"ms", (now - m_attempt->started()).count()}},
                                  now);
    m_attempts = attempts;
    m_attempt->cancel(target_health::unknown);
    release_attempt(*m_attempt);
    requeue();
}

std::set<std::string> exchange::excluded_targets() const
{
    auto out = m_tried;
    if (m_attempt)
        out.insert(m_attempt->target().id);
    return out;
}

std::optional<exchange::leave_reason> exchange::reason_to_leave(timestamp now) const
{
    if (is_stalled(*m_attempt, now))
        return leave_reason{"attempt_stalled", target_health::transport_failure};
    if (is_on_slow_target(*m_attempt, now))
        return leave_reason{"slow_target_left", target_health::unknown, true};
    return std::nullopt;
}

bool exchange::can_leave(timestamp now) const
{
    auto attempts = m_attempts;
    attempts.end(attempt_outcome::unknown);
    return attempts.may_retry() && m_gateway.retry_budget().state(m_service, now).left() >= 1 &&
           fleet::next_target_after(attempt_outcome::unknown,
                                    m_gateway.eligibility().eligible(m_service, m_regions, now),
                                    excluded_targets()) == fleet::next_target::untried;
}

void exchange::seek_other_target(const leave_reason& why, timestamp now)
{
    if (m_is_queued || !can_leave(now))
        return;
    // Reported before the call leaves, so that no other call is sent to a silent target meanwhile.
    if (!std::exchange(m_is_target_reported, true))
        m_gateway.service(m_service).picker.ended(m_attempt->target().id, 0, why.health,
                                                  milliseconds{0}, now);
    const bool leaves_now =
        why.delays_others &&
        m_gateway.service(m_service).queue.is_start_predicted(
            queue_entry(), m_gateway.usual_start_rate(m_service, m_regions, now), now);
    if (!leaves_now || leave_target(now))
        requeue();
}

void exchange::leave_queue()
{
    if (std::exchange(m_is_queued, false))
        m_gateway.service(m_service).queue.remove(m_number);
}

bool exchange::leave_target(timestamp now)
{
    if (!m_attempt)
        return true;
    const auto why = reason_to_leave(now);
    if (!why || !can_leave(now) || !claim_retry(attempt_outcome::unknown))
    {
        leave_queue();
        return false;
    }
    common::log(common::log_level::info, why->event,
                {{"id", m_caller.id},
                 {"target", m_attempt->target().id},
                 {"events", m_event_count},
                 {"gap_ms", m_last_gap.count()},
                 {"slowdown_thousandths",
                  std::llround(m_gateway.slowdown_of(m_attempt->target()) * per_thousand)},
                 {"silent_ms", (now - m_attempt->last_activity()).count()}});
    m_attempts.end(attempt_outcome::unknown);
    m_tried.insert(m_attempt->target().id);
    m_attempt->cancel(target_health::unknown);
    release_attempt(*m_attempt);
    return true;
}

} // namespace kumquatgap::gateway
