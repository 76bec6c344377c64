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

/// What is known of one attempt at a target once it has ended.
enum class attempt_outcome : std::uint8_t
{
    /// No byte of the call reached the target.
    not_sent,
    /// The target says that it did not run the call and will not.
    refused_unrun,
    /// Another target has the address now and did not run the call.
    other_target,
    /// The call was sent, and what became of it is not known.
    unknown,
    /// The target ran the call and answered.
    answered
};

/// The name of an outcome, for logs and metrics.
std::string_view name_of(attempt_outcome outcome);

/// True when the attempt certainly did not run.
constexpr bool is_unrun(attempt_outcome outcome)
{
    return outcome == attempt_outcome::not_sent || outcome == attempt_outcome::refused_unrun ||
           outcome == attempt_outcome::other_target;
}

/// Where a call may go on after an attempt that did not serve it.
enum class next_target : std::uint8_t
{
    /// Nowhere: another attempt would end the same way.
    none,
    /// At a target that it was not sent to yet.
    untried,
    /// At any target again, since the path to one may be whole by now.
    any
};

/// Decides where a call may go on. What a target itself has said is final once all were tried; a
/// call that waited for none of them until its deadline would keep its caller for nothing.
next_target next_after(attempt_outcome last, const std::vector<const target*>& usable,
                       const std::set<std::string>& tried);

/// The attempts of one call, as far as they decide what may be done next and what may be said.
class attempt_record
{
public:
    explicit attempt_record(call_kind kind, int max_attempts)
        : m_kind{kind}, m_max_attempts{max_attempts}
    {
    }

    /// An attempt has begun.
    void begin() { ++m_sent; }
    /// The running attempt has ended.
    void end(attempt_outcome outcome);

    /// True when the call may be sent to one more target. The retry budget is asked besides.
    bool may_send_again() const;
    /// True when it is certain that the call has not run and, once no attempt is open, never will.
    bool is_certainly_unrun() const { return !m_may_have_run; }
    /// The code for a caller whose call ends here: a promise that it did not run only where that
    /// is certain, and `if_unknown` otherwise.
    common::result_code final_code(common::result_code if_unrun,
                                   common::result_code if_unknown) const
    {
        return m_may_have_run ? if_unknown : if_unrun;
    }
    int sent() const { return m_sent; }

private:
    call_kind m_kind;
    int m_max_attempts;
    int m_sent = 0;
    /// Attempts that count against the limit: those that a target may have run.
    int m_ran = 0;
    bool m_may_have_run = false;
};

} // namespace kumquatgap::fleet
