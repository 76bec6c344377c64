#pragma once

#include "common/clock.hpp"
#include "common/failure.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <variant>

namespace kumquatgap::policy
{

/// Send the call, as a new attempt, to a target that has not been tried yet.
struct try_another_target
{
};

/// Send the call again with the same idempotency key after `pause`, to learn the outcome of the
/// earlier attempt.
struct query_outcome
{
    common::milliseconds pause;
};

/// Continue an interrupted stream on another target.
struct resume_on_another_target
{
};

/// Report the failure to the caller.
struct fail_call
{
    common::failure what;
};

using retry_decision =
    std::variant<try_another_target, query_outcome, resume_on_another_target, fail_call>;

/// Which retries of a call are allowed.
enum class retry_rule : std::uint8_t
{
    /// A second execution is harmless.
    idempotent,
    /// The ledger keeps a retry from being executed twice.
    keyed,
    /// Retried only if no attempt can have been executed.
    at_most_once
};

/// A token bucket for retries: each first attempt adds a fraction of a token, and a small reserve
/// caps the bucket. It begins with few tokens, since the process may have started again after it
/// has used up its reserve.
class retry_budget
{
public:
    retry_budget(double fraction, double reserve)
        : m_fraction{fraction}, m_max_tokens{reserve}, m_tokens{std::min(reserve, first_tokens)}
    {
    }

    /// Records a first attempt.
    void earn();
    /// Takes one retry out of the budget; false when it is used up.
    bool spend();

private:
    static constexpr double first_tokens = 2;

    double m_fraction;
    double m_max_tokens;
    double m_tokens;
};

/// The limits on the retries of a call.
struct retry_options
{
    int max_attempts = 4;
    int max_outcome_queries = 4;
    common::milliseconds outcome_query_interval{100};
    common::milliseconds retry_after{1000};
};

/// Decides what follows each failed attempt of one call. Remembers whether any attempt may have
/// been executed, so that "not run" is reported only if none was and none will be.
class retry_state
{
public:
    retry_state(retry_rule rule, retry_options options) : m_rule{rule}, m_options{options} {}

    /// An attempt failed on the way, or its target's agent refused it with the code in `why`.
    /// `partly_delivered` is true when a part of the response has gone to the caller.
    retry_decision failed(const common::failure& why, bool partly_delivered, retry_budget& budget);
    /// No target is left to try.
    retry_decision no_target_left();

    bool may_have_executed() const { return m_last_unknown_outcome.has_value(); }
    int attempts() const { return m_attempts; }

private:
    retry_decision final_decision(common::failure why) const;
    retry_decision after_unknown(const common::failure& why, bool partly_delivered,
                                 retry_budget& budget);

    retry_rule m_rule;
    retry_options m_options;
    int m_attempts = 1;
    int m_outcome_queries = 0;
    std::optional<common::failure> m_last_failure;
    /// The last failure after which the call may have been executed.
    std::optional<common::failure> m_last_unknown_outcome;
};

} // namespace kumquatgap::policy
