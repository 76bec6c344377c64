#include "common/log.hpp"
#include "gateway/exchange.hpp"

#include <absl/strings/str_join.h>

/// The part of an exchange that acts on time alone: waits, deadlines and suspect prompts.
namespace kumquatgap::gateway
{

using common::result_code;
using fleet::attempt_outcome;
using policy::target_health;

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
    end_attempt(*m_attempt);
    // The former target goes on.
    if (m_attempt)
        return;
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
    end_attempts();
    if (has_fallback_response())
        return forward_response(*m_fallback);
    if (m_attempts.is_certainly_not_executed())
        return refuse(why, "");
    fail(result_code::target_timeout, "");
}

void exchange::check_timeouts(timestamp now)
{
    if (m_ended)
        return;
    if (is_quarantined())
        return m_former ? end_attempt(*m_attempt) : handle_quarantine();
    if (now >= m_deadline)
        return end_unanswered(result_code::deadline_unreachable);
    if (!m_attempt)
        return;
    if (may_crash_target())
        return withdraw(now);
    // Two targets have it, and it goes on at the first of them that answers.
    if (m_former)
        return;
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
    // The former target has already begun to answer it, or may still do.
    if (m_former)
        return end_attempt(*m_attempt);
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

void exchange::leave_queue()
{
    if (std::exchange(m_is_queued, false))
        m_gateway.service(m_service).queue.remove(m_number);
}

} // namespace kumquatgap::gateway
