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

/// The kind with this name; nullopt when there is none.
std::optional<kind> find_kind(std::string_view name);
std::string_view name_of(kind k);
std::span<const kind> all_kinds();

/// A configuration resource, which operators read and write.
struct resource
{
    kind type = kind::team;
    std::string name;
    nlohmann::json spec;
    /// The store's revision of the last change; 0 when the resource is not stored yet.
    kv::revision version = 0;
    /// A unique token of the last write. With it a writer whose response was lost finds out whether
    /// the stored resource is its own.
    std::string writer;
};

/// The prefix of all resources in the platform's store.
inline constexpr std::string_view resource_prefix = "/kqg/config/";
/// The key that is written with every change of any resource, so that its revision increases.
inline constexpr std::string_view head_key = "/kqg/config_head";
/// The prefix of the data centres' reports of the revision in effect; not replicated.
inline constexpr std::string_view status_prefix = "/kqg_status/";
/// The prefix of the platform's list of hosts, which is eventually consistent.
inline constexpr std::string_view host_prefix = "/kqg/hosts/";
/// The prefix of all keys that the processes replicate.
inline constexpr std::string_view replicated_prefix = "/kqg/";

/// The key of a resource in the store.
std::string key_of(kind k, std::string_view name);

/// Encodes a resource as the value of its key in the store.
std::string serialize(const resource& r);
/// Decodes a stored resource; nullopt when the key or value is malformed.
std::optional<resource> deserialize(const kv::key_value& kv);

/// A resource as JSON for the operators' API, with `resourceVersion`.
nlohmann::json to_json(const resource& r);
/// Parses a resource of the operators' API and checks each field by itself. Fails with
/// invalid_resource and a text that lists all errors.
common::result<resource> from_json(kind k, std::string_view name, const nlohmann::json& body);

/// Checks a resource against the others: references, sums of shares, values that must be unique.
/// Returns the first conflict; an empty text when there is none.
std::string find_conflict(const resource& r, std::span<const resource> others);

} // namespace kumquatgap::config
