#pragma once

#include "common/clock.hpp"
#include "common/failure.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace kumquatgap::policy
{

/// Send the call, as a new attempt, to a target that was not tried yet.
struct try_elsewhere
{
};

/// Send the call again with the same idempotency key after a pause, to learn what became of it.
struct ask_again
{
    common::milliseconds pause;
};

/// Go on with the rest of a stream at another target.
struct resume_elsewhere
{
};

/// Tell the caller how the call ended.
struct give_answer
{
    common::failure what;
};

using plan_step = std::variant<try_elsewhere, ask_again, resume_elsewhere, give_answer>;

/// How a call may be repeated.
enum class repeat_rule : std::uint8_t
{
    /// A second execution does no harm.
    idempotent,
    /// The ledger keeps a repeat from running twice.
    keyed,
    /// Forwarded at most once, unless it certainly was not run.
    forward_once
};

/// A budget of repeats: a fraction of first attempts, and a small reserve.
class retry_budget
{
public:
    retry_budget(double fraction, double reserve)
        : m_fraction{fraction}, m_most{reserve}, m_tokens{reserve}
    {
    }

    /// A first attempt was made.
    void earn();
    /// Takes one repeat out of the budget; false when it is used up.
    bool spend();

private:
    double m_fraction;
    double m_most;
    double m_tokens;
};

/// What a call does after each failed attempt.
struct plan_options
{
    int max_attempts = 4;
    int max_questions = 4;
    common::milliseconds question_pause{100};
    common::milliseconds retry_after{1000};
};

/// The attempts at one call. It remembers whether any of them may have run, so that "not run" is
/// only ever said when none did and none will.
class call_plan
{
public:
    call_plan(repeat_rule rule, plan_options options) : m_rule{rule}, m_options{options} {}

    /// An attempt was refused by its target's agent, with the agent's code, or failed on the way.
    /// `delivered_part` is true when a part of the answer has gone to the caller.
    plan_step failed(const common::failure& why, bool delivered_part, retry_budget& budget);
    /// No target is left that could be tried.
    plan_step no_target_left();

    bool may_have_run() const { return m_last_unknown.has_value(); }
    int attempts() const { return m_attempts; }

private:
    plan_step final_answer(common::failure why) const;
    plan_step after_unknown(const common::failure& why, bool delivered_part, retry_budget& budget);

    repeat_rule m_rule;
    plan_options m_options;
    int m_attempts = 1;
    int m_questions = 0;
    std::optional<common::failure> m_last_failure;
    /// The last failure after which the call may have run.
    std::optional<common::failure> m_last_unknown;
};

} // namespace kumquatgap::policy
