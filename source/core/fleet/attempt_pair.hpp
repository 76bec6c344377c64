#pragma once

#include <cstdint>

namespace kumquatgap::fleet
{

/// What one of a call's two attempts reports.
enum class attempt_report : std::uint8_t
{
    /// The response head of a stream.
    head,
    /// An event that carries no data, such as a comment.
    blank_event,
    event,
    /// The complete end of a stream.
    stream_end,
    /// A complete response that is no stream and no error of the target.
    response,
    /// A complete response with an error of the target.
    error_response,
    /// A refusal, a lost connection or a malformed response.
    failure
};

/// What becomes of the two attempts.
enum class pair_decision : std::uint8_t
{
    /// Both go on.
    keep_both,
    /// The call goes on at the attempt that has reported; the other one ends.
    settle,
    /// The attempt that has reported is over; the call goes on at the other one.
    drop
};

/// Decides between the two attempts of a call that leaves a silent or slow target for another one.
/// A target has taken the call only once it answers it: until then it may refuse the call, and the
/// former target may go on. With `caller_has_head` the caller has the head of a stream, which only
/// events can continue.
constexpr pair_decision decide_between_attempts(attempt_report it, bool caller_has_head)
{
    switch (it)
    {
    case attempt_report::head:
        return caller_has_head ? pair_decision::keep_both : pair_decision::settle;
    case attempt_report::blank_event:
        return pair_decision::keep_both;
    case attempt_report::event:
    case attempt_report::stream_end:
        return pair_decision::settle;
    case attempt_report::response:
        return caller_has_head ? pair_decision::drop : pair_decision::settle;
    case attempt_report::error_response:
    case attempt_report::failure:
        return pair_decision::drop;
    }
    return pair_decision::drop;
}

} // namespace kumquatgap::fleet
