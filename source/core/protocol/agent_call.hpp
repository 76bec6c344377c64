#pragma once

#include "common/failure.hpp"
#include "io/http_message.hpp"
#include "policy/picker.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace kumquatgap::protocol
{

/// The path on which an agent takes calls from routers.
inline constexpr std::string_view call_path = "/kqg/call";

/// A call as a router hands it to an agent.
struct agent_call
{
    /// The same in all attempts at a call; engines get it as the request's id.
    std::string call_id;
    /// Unique to this attempt; the agent repeats it in its answer.
    std::string attempt;
    std::string team;
    std::string member;
    std::string service;
    /// The target that the router means, so that an agent with other settings refuses the call.
    std::string target;
    std::int64_t level = 0;
    common::milliseconds predicted{0};
    /// The time that is left for the call.
    common::milliseconds time_left{0};
    /// True when the caller asked for a stream, which can be interrupted and go on later.
    bool streams = false;
    /// Set for calls that must not run twice.
    std::string idempotency_key;
    std::string traceparent;
    /// The caller's own request.
    std::string method;
    std::string path;
    std::string query;
    std::string content_type;
    std::string body;
};

/// The request for a call; `token` is the deployment's.
io::http_request to_request(const agent_call& call, std::string_view token);
/// Reads a call, without its token; none when a field is missing or malformed.
std::optional<agent_call> from_request(const io::http_request& request);

/// The target's status line and type.
struct answer_head
{
    int status = 0;
    std::string content_type;
};

/// One event of a model's stream, numbered from 1.
struct answer_token
{
    std::int64_t number = 0;
    std::string_view data;
};

/// A part of a whole body, numbered from 1.
struct answer_body
{
    std::int64_t number = 0;
    std::string bytes;
};

/// The answer is whole: its attempt and how many tokens and body parts it had.
struct answer_end
{
    std::string attempt;
    std::int64_t parts = 0;
    policy::load_report load;
};

/// The call was refused, or failed after it was taken.
struct answer_failure
{
    common::failure why;
    policy::load_report load;
};

/// Shows that the agent is alive while there is nothing to send.
struct answer_heartbeat
{
};

using answer_event = std::variant<answer_heartbeat, answer_head, answer_token, answer_body,
                                  answer_end, answer_failure>;

/// The event as the text of a server-sent event with its blank line.
std::string to_text(const answer_event& event);
/// Reads an event's text; none when it is malformed. Views point into the text.
std::optional<answer_event> from_text(std::string_view text);

} // namespace kumquatgap::protocol
