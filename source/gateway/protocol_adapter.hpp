#pragma once

#include "common/failure.hpp"
#include "fleet/configuration.hpp"
#include "fleet/target_table.hpp"
#include "io/http_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::gateway
{

using common::milliseconds;

/// What the header fields of a caller's request say.
struct caller_request
{
    std::string id;
    /// How long the caller will wait; none when it does not say.
    std::optional<milliseconds> time_allowed;
    /// The API key that identifies the team; empty when the request has none.
    std::string api_key;
    /// Id of the last stream event that the caller has; empty when the stream starts from its
    /// first event.
    std::string last_event_id;
    double prompt_tokens = 0;
    double completion_tokens = 0;
    /// How many completion tokens the caller expects, which is often far off; 0 when it does not
    /// say.
    double length_hint = 0;
    /// Ids of the parts of the prompt, in order. Requests share parts, but the last one belongs to
    /// the request or its session alone.
    std::vector<std::string> prompt_parts;
};

/// What the gateway adds to a request that it forwards to a target.
struct forwarding_context
{
    std::string_view target;
    std::string_view team;
    milliseconds time_left{0};
    /// The target resumes the stream after this event; empty for a stream from its first event.
    std::string_view last_event_id;
};

/// What the status and header fields of a target's response say.
struct target_response
{
    std::string request_id;
    /// The target did not run the request, and will not.
    bool is_not_executed = false;
    /// Another target has the address now.
    bool is_misdirected = false;
    /// The body was encoded on the way, so it is not the target's.
    bool is_encoded = false;
    /// The failed member of the target's group; empty when there is none.
    std::string failed_member;
    /// The target takes no new work from now on.
    bool is_draining = false;
    /// For how long a target that refused the request asks for no more requests from this gateway;
    /// empty when the response does not say.
    std::optional<milliseconds> busy_for;
    /// The requests per second that the target accepts from all gateways together; empty when it
    /// sets no limit.
    std::optional<double> rate_limit;
    /// How much longer the target is cold; empty when the response does not say.
    std::optional<milliseconds> cold_for = std::nullopt;
};

/// Maps a deployment's HTTP header fields and store keys to the gateway's types. Implementations
/// translate only; all decisions are made by the gateway.
class protocol_adapter
{
public:
    protocol_adapter() = default;
    protocol_adapter(const protocol_adapter&) = delete;
    protocol_adapter& operator=(const protocol_adapter&) = delete;
    virtual ~protocol_adapter() = default;

    virtual caller_request read_request(const io::http_request& request) const = 0;
    /// The header fields to send to a target: those of the caller without hop-by-hop and
    /// gateway-only fields, and those of the forwarding context.
    virtual io::header_list target_request_headers(const io::http_request& request,
                                                   const forwarding_context& how) const = 0;
    virtual target_response read_response(const io::http_response& answer) const = 0;
    /// The header fields of a target's response that are forwarded to the caller.
    virtual io::header_list caller_response_headers(const io::http_response& answer) const = 0;
    /// The response to a caller whose call failed in the gateway.
    virtual io::http_response error_response(const common::failure& why) const = 0;

    /// The prefix of all keys of the store that are followed.
    virtual std::string_view replicated_prefix() const = 0;
    virtual bool is_configuration(std::string_view key) const = 0;
    /// The id of the target whose entry is stored under the key; empty for other keys.
    virtual std::string_view target_id(std::string_view key) const = 0;
    /// The data centre that the operator evacuates as long as the key exists; empty for other keys.
    virtual std::string_view evacuated_data_centre(std::string_view key) const = 0;
    /// Reads the operators' configuration; none when it can't be read.
    virtual std::optional<fleet::configuration>
    read_configuration(const std::string& text) const = 0;
    /// Reads a target's entry; none when it names no target that can be used.
    virtual std::optional<fleet::target> read_target(std::string_view id,
                                                     const std::string& text) const = 0;
};

} // namespace kumquatgap::gateway
