#include "gateway/exchange.hpp"

#include <algorithm>

/// The part of an exchange that tells the queue of its service what the call is worth and what it
/// needs.
namespace kumquatgap::gateway
{

using common::result_code;

namespace
{

/// The least part of a latency goal left for queueing: a slow engine alone makes no call late.
constexpr milliseconds min_slack{60};

} // namespace

policy::waiting_call exchange::queue_entry() const
{
    const auto& model = m_gateway.service(m_service).latency;
    const auto expected = fleet::is_stream(m_route->kind)
                              ? std::min(model.time_to_first_event(), m_route->goal - min_slack)
                              : milliseconds{0};
    // When a started stream has to move to another target, its caller's wait starts again now.
    const auto since = m_first_event_at ? common::now() : m_arrived_at;
    const auto leaves_at = m_route->caller_event_timeout.count() == 0
                               ? m_deadline
                               : since + m_route->caller_event_timeout;
    const auto deadline = std::min(m_deadline, leaves_at) - expected;
    // A call without a latency goal can't be late. The policy `deadline` ranks it last.
    const bool has_goal = m_route->goal.count() > 0 || !m_gateway.sheds_by_value();
    return {.id = m_number,
            .priority = m_priority,
            .arrived = since,
            .in_time_until = has_goal ? since + m_route->goal - expected : deadline,
            .deadline = deadline,
            .is_answered_in_part = m_responder->is_started(),
            .is_certainly_not_executed =
                m_attempts.is_certainly_not_executed() && !m_responder->is_started() && !m_attempt};
}

/// The predicted time for which the call will occupy a slot, less what it has got already; 0 when
/// no engine is known.
milliseconds exchange::predicted_slot_time() const
{
    const auto& model = m_gateway.service(m_service).latency;
    if (!model.has_engine() || !fleet::is_stream(m_route->kind))
        return milliseconds{0};
    auto tokens = m_caller.length_hint > 0 ? m_caller.length_hint : model.usual_answer_tokens();
    if (m_caller.completion_tokens > 0)
        tokens = std::min(tokens, m_caller.completion_tokens);
    const auto received = static_cast<double>(m_event_count) * model.steps_per_pass();
    return model.predicted_slot_time(m_caller.prompt_tokens, tokens - received);
}

/// True when the call's latency goal has passed without a first event or a complete response.
bool exchange::is_late(timestamp now) const
{
    return m_route != nullptr && m_route->goal.count() > 0 &&
           m_first_event_at.value_or(now) - m_arrived_at > m_route->goal;
}

milliseconds exchange::retry_after_time(result_code why) const
{
    const auto now = common::now();
    const auto& queue = m_gateway.service(m_service).queue;
    const auto draw = m_gateway.random();
    const auto by_queue = why == result_code::late_call_refused ? queue.late_retry_after(draw)
                                                                : queue.retry_after(now, draw);
    const auto back_at = m_gateway.eligibility().available_from(m_service, m_regions, now);
    if (!back_at)
        return by_queue;
    return std::chrono::duration_cast<milliseconds>(*back_at - now) + by_queue;
}

} // namespace kumquatgap::gateway
