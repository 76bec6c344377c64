#include "policy/call_plan.hpp"

#include <algorithm>

namespace kumquatgap::policy
{

using common::failure;
using common::result_code;

namespace
{

/// True for refusals that another target would give as well.
bool is_final_refusal(result_code code)
{
    switch (code)
    {
    case result_code::no_target:
    case result_code::target_draining:
    case result_code::queue_full:
    case result_code::deadline_unreachable:
    case result_code::not_ready:
    case result_code::target_unreachable:
    case result_code::wrong_target:
    case result_code::attempt_sealed:
        return false;
    default:
        return true;
    }
}

} // namespace

void retry_budget::earn()
{
    m_tokens = std::min(m_most, m_tokens + m_fraction);
}

bool retry_budget::spend()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

plan_step call_plan::failed(const failure& why, bool delivered_part, retry_budget& budget)
{
    m_last_failure = why;
    if (!common::is_not_run(why.code))
        return after_unknown(why, delivered_part, budget);
    if (is_final_refusal(why.code) || m_attempts >= m_options.max_attempts || !budget.spend())
        return final_answer(why);
    ++m_attempts;
    if (delivered_part)
        return resume_elsewhere{};
    return try_elsewhere{};
}

plan_step call_plan::after_unknown(const failure& why, bool delivered_part, retry_budget& budget)
{
    m_last_unknown = why;
    if (m_rule == repeat_rule::forward_once || why.code == result_code::answer_not_kept)
        return final_answer(why);
    if (why.code == result_code::in_progress)
    {
        if (m_questions >= m_options.max_questions)
            return final_answer(why);
        ++m_questions;
        return ask_again{m_options.question_pause * m_questions};
    }
    // An agent that says so has read it in the ledger: asking again changes nothing.
    const bool read_in_ledger =
        m_rule == repeat_rule::keyed && why.code == result_code::outcome_unknown;
    if (read_in_ledger || m_attempts >= m_options.max_attempts || !budget.spend())
        return final_answer(why);
    ++m_attempts;
    if (delivered_part)
        return resume_elsewhere{};
    return try_elsewhere{};
}

plan_step call_plan::no_target_left()
{
    return final_answer(
        m_last_failure.value_or(failure{result_code::no_target, "", m_options.retry_after}));
}

plan_step call_plan::final_answer(failure why) const
{
    // A refusal of the last attempt says nothing about the earlier ones.
    if (may_have_run() && common::is_not_run(why.code))
        why = m_rule == repeat_rule::idempotent
                  ? *m_last_unknown
                  : failure{result_code::outcome_unknown, "an earlier attempt may have run"};
    if (!why.retry_after)
        why.retry_after = m_options.retry_after;
    return give_answer{std::move(why)};
}

} // namespace kumquatgap::policy
