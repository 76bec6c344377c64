#pragma once

#include "common/failure.hpp"
#include "fleet/configuration.hpp"
#include "fleet/target_table.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::fleet
{

/// What is known of an attempt at a target once it has ended.
enum class attempt_outcome : std::uint8_t
{
    /// No byte of the call reached the target.
    not_sent,
    /// The target reports that it did not execute the call and will not.
    refused_unrun,
    /// The address now belongs to another target, which did not execute the call.
    other_target,
    /// The call was sent, and it is not known whether it was executed.
    unknown,
    /// The target executed the call and responded.
    answered
};

/// The name of an outcome, for logs and metrics.
std::string_view name_of(attempt_outcome outcome);

/// True when the attempt was certainly not executed.
constexpr bool is_not_executed(attempt_outcome outcome)
{
    return outcome == attempt_outcome::not_sent || outcome == attempt_outcome::refused_unrun ||
           outcome == attempt_outcome::other_target;
}

/// Which targets a call may be sent to after an attempt that did not serve it.
enum class next_target : std::uint8_t
{
    /// None: another attempt would end the same way.
    none,
    /// A target that the call has not been sent to yet.
    untried,
    /// Any target, including tried ones, since a failed network path may have recovered.
    any
};

/// Decides which targets a call may be sent to next. Once all targets have been tried, a refusal or
/// response by a target is final: waiting until the deadline for another outcome would keep the
/// caller waiting for nothing.
next_target next_target_after(attempt_outcome last, const std::vector<const target*>& usable,
                              const std::set<std::string>& tried);

/// The attempts of one call, which decide whether it may be retried and which code its caller gets.
class attempt_history
{
public:
    explicit attempt_history(call_kind kind, int max_attempts)
        : m_kind{kind}, m_max_attempts{max_attempts}
    {
    }

    /// An attempt has begun.
    void begin() { ++m_sent; }
    /// The current attempt has ended.
    void end(attempt_outcome outcome);

    /// True when the call may be sent once more. The retry budget is a separate condition.
    bool may_retry() const;
    /// True when no attempt so far can have been executed.
    bool is_certainly_not_executed() const { return !m_may_have_executed; }
    /// The code for a caller whose call fails now: `if_not_executed` only if that is certain, else
    /// `if_unknown`.
    common::result_code final_code(common::result_code if_not_executed,
                                   common::result_code if_unknown) const
    {
        return m_may_have_executed ? if_unknown : if_not_executed;
    }
    int sent() const { return m_sent; }

private:
    call_kind m_kind;
    int m_max_attempts;
    int m_sent = 0;
    /// Attempts that a target may have executed; only these count against the limit.
    int m_possibly_executed = 0;
    bool m_may_have_executed = false;
};

} // namespace kumquatgap::fleet
