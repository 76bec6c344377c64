#pragma once

#include "experts/map_delta.hpp"
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

/// Reports a rank's state; sent by its agent to the group's controller.
struct status_message
{
    /// Control address at which the agent receives directives.
    std::string address;
    /// Address of the rank itself.
    std::string target;
    rank_status status;
    /// Version of the map in effect if the agent has the complete map, map_cache::unknown
    /// otherwise.
    map_version known_map_version = map_cache::unknown;
};

/// Lists the experts of one rank, for a controller that does not have the map in effect.
struct rank_experts_message
{
    std::string group;
    std::int64_t epoch = 0;
    rank_number rank = 0;
    map_version version = 0;
    /// The experts that the rank holds, by set.
    std::vector<std::vector<int>> experts;
};

/// Counts how often requests on some ranks selected each expert since the previous message.
struct selection_counts_message
{
    std::string group;
    std::int64_t epoch = 0;
    /// By set and expert. Encoding keeps each count to within 1/255 of the largest one.
    std::vector<std::vector<std::int64_t>> counts;
};

/// Sent periodically by the controller to all agents, also while no switch is under way.
struct beacon_message
{
    std::string group;
    fencing_token token = 0;
    /// Control address of the controller.
    std::string leader;
    relay_tree tree;
    /// Control addresses of all agents by rank; an entry is empty if the address is unknown. With
    /// an empty list, the receiver keeps the addresses that it has.
    std::vector<std::string> addresses;
    /// Epoch and version of the map that the controller has. Agents whose ranks use another version
    /// send the experts of their rank.
    std::int64_t epoch = 0;
    map_version known_map_version = map_cache::unknown;
    /// True if the receiver must forward the beacon to its block.
    bool forward_to_block = false;
};

/// A further agent to which the receiver forwards a directive.
struct directive_recipient
{
    std::string address;
    /// Instance id of the agent.
    std::int64_t instance_id = 0;
};

/// Carries a directive to an agent, which also forwards it to other agents.
struct directive_message
{
    directive body;
    /// Replaces the directive's map if all recipients have the map in effect.
    std::optional<map_delta> delta = {};
    std::vector<directive_recipient> forward_to = {};
};

using agent_message = std::variant<status_message, rank_experts_message, selection_counts_message,
                                   beacon_message, directive_message>;

/// Estimated size in bytes of an encoded directive message, with its map or with a delta.
std::size_t estimated_message_bytes(const directive& d);
std::size_t estimated_message_bytes(const map_delta& it);
/// Estimated size in bytes of an encoded selection_counts_message.
std::size_t estimated_counts_message_bytes(std::size_t sets, std::size_t experts);
/// Encodes a message as CBOR with the deployment token.
std::string to_bytes(const agent_message& m, std::string_view token);
/// Decodes a message; returns nullopt if it is malformed or has another token.
std::optional<agent_message> from_bytes(std::string_view bytes, std::string_view token);

} // namespace kumquatgap::experts
