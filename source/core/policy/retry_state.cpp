#include "policy/retry_state.hpp"

#include <algorithm>

namespace kumquatgap::policy
{

using common::failure;
using common::result_code;

namespace
{

/// True for refusals that every other target would give as well.
bool is_permanent_refusal(result_code code)
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
    m_tokens = std::min(m_max_tokens, m_tokens + m_fraction);
}

bool retry_budget::spend()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

retry_decision retry_state::failed(const failure& why, bool partly_delivered, retry_budget& budget)
{
    m_last_failure = why;
    if (!common::is_not_run(why.code))
        return after_unknown(why, partly_delivered, budget);
    if (is_permanent_refusal(why.code) || m_attempts >= m_options.max_attempts || !budget.spend())
        return final_decision(why);
    ++m_attempts;
    if (partly_delivered)
        return resume_on_another_target{};
    return try_another_target{};
}

retry_decision retry_state::after_unknown(const failure& why, bool partly_delivered,
                                          retry_budget& budget)
{
    m_last_unknown_outcome = why;
    if (m_rule == retry_rule::at_most_once || why.code == result_code::answer_not_kept)
        return final_decision(why);
    if (why.code == result_code::in_progress)
    {
        if (m_outcome_queries >= m_options.max_outcome_queries)
            return final_decision(why);
        ++m_outcome_queries;
        return query_outcome{m_options.outcome_query_interval * m_outcome_queries};
    }
    // The agent took this outcome from the ledger, so a retry would get the same one.
    const bool known_to_ledger =
        m_rule == retry_rule::keyed && why.code == result_code::outcome_unknown;
    if (known_to_ledger || m_attempts >= m_options.max_attempts || !budget.spend())
        return final_decision(why);
    ++m_attempts;
    if (partly_delivered)
        return resume_on_another_target{};
    return try_another_target{};
}

retry_decision retry_state::no_target_left()
{
    return final_decision(
        m_last_failure.value_or(failure{result_code::no_target, "", m_options.retry_after}));
}

retry_decision retry_state::final_decision(failure why) const
{
    // A refusal of the last attempt says nothing about the outcome of earlier attempts.
    if (may_have_executed() && common::is_not_run(why.code))
        why = m_rule == retry_rule::idempotent
                  ? *m_last_unknown_outcome
                  : failure{result_code::outcome_unknown, "an earlier attempt may have run"};
    if (!why.retry_after)
        why.retry_after = m_options.retry_after;
    return fail_call{std::move(why)};
}

} // namespace kumquatgap::policy
