#pragma once

#include "experts/switch_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquatgap::experts
{

/// A rank's state, from its agent to the group's controller.
struct status_message
{
    /// Where the agent takes directives.
    std::string address;
    /// Where the rank itself is.
    std::string target;
    rank_status status;
};

/// What a rank's requests chose since the last such message, and what the rank holds.
struct choices_message
{
    std::string group;
    std::int64_t epoch = 0;
    rank_number rank = 0;
    map_version version = 0;
    /// By set and expert. The message keeps them to within one part in 255 of the largest.
    std::vector<std::vector<std::int64_t>> choices;
    /// The rank's own experts by set, as of `version`.
    std::vector<std::vector<int>> held;
};

/// Another agent that a directive is for.
struct other_agent
{
    std::string address;
    /// Its number, see directive::agent.
    std::int64_t agent = 0;
};

/// What the controller wants, for an agent, and for others that this one passes it on to.
struct directive_message
{
    directive what;
    std::vector<other_agent> pass_on = {};
};

using agent_message = std::variant<status_message, choices_message, directive_message>;

/// About how many bytes a directive takes as a message.
std::size_t message_bytes(const directive& d);
/// The message in CBOR, with the deployment's token.
std::string to_bytes(const agent_message& m, std::string_view token);
/// Reads a message; none when it is malformed or has another token.
std::optional<agent_message> from_bytes(std::string_view bytes, std::string_view token);

} // namespace kumquatgap::experts
