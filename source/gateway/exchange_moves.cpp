#include "common/log.hpp"
#include "gateway/exchange.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

/// The part of an exchange that moves a call from a silent or slow target to another one. The
/// former target keeps the call until the other one answers: it may refuse the call, and the former
/// one may go on.
namespace kumquatgap::gateway
{

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
    if (!leaves_now)
        return requeue();
    if (!leave_target(now))
        return;
    // As long as it stays, the streams of its group wait for it.
    m_left.insert(m_former->held->target().id);
    end_former();
    requeue();
}

bool exchange::leave_target(timestamp now)
{
    if (!m_attempt)
        return true;
    if (m_former)
        return false;
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
    m_tried.insert(m_attempt->target().id);
    m_attempt->give_up_slot();
    m_former = {std::move(m_attempt), m_last_event_at, m_last_gap};
    return true;
}

fleet::pair_decision exchange::decide_between_attempts(attempt& it, fleet::attempt_report report)
{
    if (!m_former)
        return fleet::pair_decision::keep_both;
    const auto out = fleet::decide_between_attempts(report, m_responder->is_started());
    if (out == fleet::pair_decision::settle)
        settle_on(it);
    return out;
}

void exchange::settle_on(attempt& it)
{
    const bool is_former = m_former->held.get() == &it;
    log_settled(it, is_former);
    auto& other = is_former ? *m_attempt : *m_former->held;
    m_tried.insert(other.target().id);
    end_attempt(other);
}

void exchange::log_settled(const attempt& it, bool is_former) const
{
    const auto& other = is_former ? *m_attempt : *m_former->held;
    m_gateway.failure_log().write(common::log_level::info,
                                  is_former ? "former_target_went_on" : "target_took_over",
                                  {{"id", m_caller.id},
                                   {"target", it.target().id},
                                   {"other", other.target().id},
                                   {"events", m_event_count},
                                   {"ms", (common::now() - m_attempt->started()).count()}},
                                  common::now());
}

void exchange::end_attempt(attempt& it)
{
    m_attempts.end(it.may_have_reached_target() ? attempt_outcome::unknown
                                                : attempt_outcome::not_sent);
    it.cancel(target_health::unknown);
    release_attempt(it);
}

void exchange::end_former()
{
    end_attempt(*m_former->held);
}

void exchange::end_attempts()
{
    if (m_former)
        end_former();
    if (m_attempt)
        end_attempt(*m_attempt);
}

void exchange::return_to_former()
{
    auto former = std::move(*m_former);
    m_former.reset();
    m_attempt = std::move(former.held);
    m_last_event_at = former.last_event_at;
    m_last_gap = former.last_gap;
    m_is_target_reported = true;
}

} // namespace kumquatgap::gateway
