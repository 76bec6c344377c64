#pragma once

#include "common/clock.hpp"
#include "config/replica.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquatgap::membership
{

/// A process that watches the store, and how long ago it last heard from it.
struct watcher
{
    std::string name;
    common::milliseconds age{0};
};

/// What a process has and knows; the answer to one that is behind is a delta or a snapshot.
struct digest
{
    std::string name;
    std::string address;
    kv::revision as_of = 0;
    kv::revision last_change = 0;
    std::vector<watcher> watchers;
};

/// The changes that a peer misses.
struct delta_message
{
    config::delta changes;
};

/// Everything, for a peer that is too far behind for a delta.
struct snapshot_message
{
    kv::revision as_of = 0;
    std::vector<kv::key_value> items;
};

using message = std::variant<digest, delta_message, snapshot_message>;

/// The kind of a message, for logs.
std::string_view name_of(const message& m);
/// The revision that a message leads to.
kv::revision revision_of(const message& m);

/// The message in CBOR, with the deployment's token.
std::string to_bytes(const message& m, std::string_view token);
/// Reads a message; none when it is malformed or has another token.
std::optional<message> from_bytes(std::string_view bytes, std::string_view token);

} // namespace kumquatgap::membership
