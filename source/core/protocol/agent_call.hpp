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

/// The path on which an agent accepts calls from routers.
inline constexpr std::string_view call_path = "/kqg/call";

/// A call that a router forwards to an agent.
struct agent_call
{
    /// The same in all attempts of a call; sent to engines as the request id.
    std::string call_id;
    /// Unique to this attempt; the agent echoes it in its response.
    std::string attempt;
    std::string team;
    std::string member;
    std::string service;
    /// The target that the router chose; an agent that is configured for another one refuses the
    /// call.
    std::string target;
    std::int64_t level = 0;
    common::milliseconds predicted{0};
    /// Time until the call's deadline.
    common::milliseconds time_left{0};
    /// True when the caller asked for a stream, which can be interrupted and resumed later.
    bool streams = false;
    /// Set for at-most-once calls.
    std::string idempotency_key;
    std::string traceparent;
    /// The caller's own request.
    std::string method;
    std::string path;
    std::string query;
    std::string content_type;
    std::string body;
};

/// Builds the request for a call; `token` is the deployment's bearer token.
io::http_request to_request(const agent_call& call, std::string_view token);
/// Reads a call and does not check its token; none when a field is missing or malformed.
std::optional<agent_call> from_request(const io::http_request& request);

/// The status and content type of the target's response.
struct response_head
{
    int status = 0;
    std::string content_type;
};

/// One event of a model's stream, numbered from 1.
struct response_token
{
    std::int64_t number = 0;
    std::string_view data;
};

/// A part of a body that is not a stream, numbered from 1.
struct response_body
{
    std::int64_t number = 0;
    std::string bytes;
};

/// End of a complete response: its attempt and its number of tokens and body parts.
struct response_end
{
    std::string attempt;
    std::int64_t parts = 0;
    policy::load_report load;
};

/// The call was refused, or failed after it was accepted.
struct response_failure
{
    common::failure why;
    policy::load_report load;
};

/// Keep-alive that an agent sends while it has no other event.
struct response_heartbeat
{
};

using response_event = std::variant<response_heartbeat, response_head, response_token,
                                    response_body, response_end, response_failure>;

/// Formats the event as a server-sent event with its terminating blank line.
std::string to_text(const response_event& event);
/// Reads an event's text; none when it is malformed. Views point into the text.
std::optional<response_event> from_text(std::string_view text);

} // namespace kumquatgap::protocol
