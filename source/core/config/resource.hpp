#pragma once

#include "common/failure.hpp"
#include "kv/store.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace kumquatgap::config
{

/// The kinds of resource that operators write.
enum class kind : std::uint8_t
{
    team,
    service,
    target,
    share,
    priority,
    rebalance_limit
};

/// The kind with this name, if there is one.
std::optional<kind> find_kind(std::string_view name);
std::string_view name_of(kind k);
std::span<const kind> all_kinds();

/// A resource as operators read and write it.
struct resource
{
    kind type = kind::team;
    std::string name;
    nlohmann::json spec;
    /// The store's revision of its last change; 0 for one that is not stored yet.
    kv::revision version = 0;
    /// Tells the writer of the last change whether a write with a lost answer was its own.
    std::string writer;
};

/// The prefix of all resources in the platform's store.
inline constexpr std::string_view resource_prefix = "/kqg/config/";
/// The key whose revision grows with every change of any resource.
inline constexpr std::string_view head_key = "/kqg/config_head";
/// The prefix of the data centres' reports of what is in force; not followed by the daemons.
inline constexpr std::string_view status_prefix = "/kqg_status/";
/// The prefix of the platform's lagging list of hosts.
inline constexpr std::string_view host_prefix = "/kqg/hosts/";
/// The prefix of everything that the daemons follow.
inline constexpr std::string_view followed_prefix = "/kqg/";

/// The store's key of a resource.
std::string key_of(kind k, std::string_view name);

/// The resource's form in the platform's store.
std::string to_stored(const resource& r);
/// Reads a stored resource; none when the key or value is malformed.
std::optional<resource> from_stored(const kv::key_value& kv);

/// The resource's form in the operators' API, with `resourceVersion`.
nlohmann::json to_json(const resource& r);
/// Reads what an operator wrote and checks every field on its own.
common::result<resource> from_json(kind k, std::string_view name, const nlohmann::json& body);

/// Checks a resource against the others: references, sums of shares, names that must be unique.
/// Returns what is wrong, empty when nothing is.
std::string conflict_with(const resource& r, std::span<const resource> others);

} // namespace kumquatgap::config
