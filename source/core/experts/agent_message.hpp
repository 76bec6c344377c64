#pragma once

#include "experts/map_changes.hpp"
#include "experts/relay_tree.hpp"
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
    /// The version of the map in force, where the agent knows that map whole.
    map_version known_map = map_archive::unknown;
};

/// What a rank holds, for a controller that does not know the map in force.
struct held_message
{
    std::string group;
    std::int64_t epoch = 0;
    rank_number rank = 0;
    map_version version = 0;
    /// The rank's own experts by set.
    std::vector<std::vector<int>> held;
};

/// What the requests of some ranks chose since the last such message.
struct choices_message
{
    std::string group;
    std::int64_t epoch = 0;
    /// By set and expert. The message keeps them to within one part in 255 of the largest.
    std::vector<std::vector<std::int64_t>> choices;
};

/// What the controller tells all agents from time to time, whether there is something to do or not.
struct beacon_message
{
    std::string group;
    fencing_token token = 0;
    /// The controller's control address.
    std::string leader;
    relay_tree tree;
    /// The control addresses of all agents by rank, empty where unknown; none at all where the
    /// receiver is to keep those that it has.
    std::vector<std::string> addresses;
    /// The map that the controller knows; agents whose ranks have another one tell what they hold.
    std::int64_t epoch = 0;
    map_version known_map = map_archive::unknown;
    /// The receiver is to pass it on to its block.
    bool is_for_block = false;
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
    /// In the place of the map, for agents that know the one in force.
    std::optional<map_changes> changes = {};
    std::vector<other_agent> pass_on = {};
};

using agent_message =
    std::variant<status_message, held_message, choices_message, beacon_message, directive_message>;

/// About how many bytes a directive takes as a message, with its map or with the changes.
std::size_t message_bytes(const directive& d);
std::size_t message_bytes(const map_changes& it);
/// About how many bytes a message of choices takes.
std::size_t choices_bytes(std::size_t sets, std::size_t experts);
/// The message in CBOR, with the deployment's token.
std::string to_bytes(const agent_message& m, std::string_view token);
/// Reads a message; none when it is malformed or has another token.
std::optional<agent_message> from_bytes(std::string_view bytes, std::string_view token);

} // namespace kumquatgap::experts
