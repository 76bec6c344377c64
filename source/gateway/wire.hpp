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

/// What a caller's request says beside its method, path and body.
struct caller_request
{
    std::string id;
    /// How long the caller will wait; none when it does not say.
    std::optional<milliseconds> time_allowed;
    /// The team's key; empty when there is none.
    std::string key;
    /// The last event that the caller has of a stream; empty when it starts anew.
    std::string last_event_id;
    double prompt_tokens = 0;
    double answer_tokens = 0;
};

/// What a target is told with a request.
struct forwarding
{
    std::string_view target;
    std::string_view team;
    milliseconds time_left{0};
    /// A stream is to go on behind this event.
    std::string_view last_event_id;
};

/// What the head of a target's answer says.
struct target_answer
{
    std::string request_id;
    /// The target did not run the request, and will not.
    bool is_unrun = false;
    /// Another target has the address now.
    bool is_other_target = false;
    /// The body was encoded on the way, so it is not the target's.
    bool is_encoded = false;
    /// The member of the target's group that is at fault; empty when there is none.
    std::string fault_target;
    /// The target takes no new work from now on.
    bool is_leaving = false;
    /// For how long a target that turned the request away wants nothing from this gateway; none
    /// when it does not say.
    std::optional<milliseconds> busy_for;
};

/// How callers, targets and operators name things. An implementation decides nothing.
class wire
{
public:
    wire() = default;
    wire(const wire&) = delete;
    wire& operator=(const wire&) = delete;
    virtual ~wire() = default;

    virtual caller_request read_request(const io::http_request& request) const = 0;
    /// The fields that a target gets: the caller's, without those that concern one connection or
    /// only this system, and those of the forwarding.
    virtual io::header_list target_fields(const io::http_request& request,
                                          const forwarding& how) const = 0;
    virtual target_answer read_answer(const io::http_answer& answer) const = 0;
    /// The fields of a target's answer that go on to the caller.
    virtual io::header_list caller_fields(const io::http_answer& answer) const = 0;
    /// The answer to a caller whose call has failed here.
    virtual io::http_answer failure_answer(const common::failure& why) const = 0;

    /// The prefix of all keys of the store that are followed.
    virtual std::string_view followed_prefix() const = 0;
    virtual bool is_configuration(std::string_view key) const = 0;
    /// The id of the target whose entry stands under the key; empty for other keys.
    virtual std::string_view target_id(std::string_view key) const = 0;
    /// Reads the operators' configuration; none when it can't be read.
    virtual std::optional<fleet::configuration>
    read_configuration(const std::string& text) const = 0;
    /// Reads a target's entry; none when it names no target that can be used.
    virtual std::optional<fleet::target> read_target(std::string_view id,
                                                     const std::string& text) const = 0;
};

} // namespace kumquatgap::gateway
