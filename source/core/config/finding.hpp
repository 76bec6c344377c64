#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::config
{

/// How serious a finding is.
enum class severity : std::uint8_t
{
    /// The configuration can be used, but part of it has no effect or is likely a mistake.
    warning,
    /// The configuration is refused, or calls fail because of it.
    error
};

std::string_view name_of(severity it);

/// What is wrong with an entry of a configuration.
enum class finding_code : std::uint8_t
{
    /// The text is not JSON, or a field is missing or has the wrong type.
    malformed,
    /// A resource's fields are wrong.
    invalid_resource,
    /// A resource conflicts with the others, so that its write would be refused.
    conflict,
    /// Of two resources, services or teams with the same name, only the last is used.
    duplicate_entry,
    /// Of two routes with the same host and prefix, only the last is used.
    duplicate_route,
    /// Of two teams with the same key, only the last is found by it.
    duplicate_key,
    /// No path leads to the route.
    unreachable_route,
    unknown_service,
    /// A route without a service that receives its calls.
    no_service,
    /// A service with a weight of zero receives none of its route's calls.
    zero_share,
    /// A value is outside of its range.
    out_of_range,
    /// A latency goal is longer than the time after which the call fails.
    goal_over_timeout,
    /// A call may take longer than a gateway has for its shutdown.
    timeout_over_grace,
    /// A single request may need more memory than the host has.
    limits_over_memory,
    /// The retry budget does not cover the retries of a single call.
    retries_over_budget,
    /// A priority rule that changes no call's priority at any time of the day.
    covered_rule,
    /// A service that no target serves.
    no_target,
    /// A team that no caller can prove to belong to.
    no_key,
    /// No data centre lies in a region that may serve the calls, so all of them are refused.
    no_permitted_region,
    /// The version is not newer than the one in force, so gateways keep that one.
    stale_version
};

std::string_view name_of(finding_code it);

/// An error or warning about one entry.
struct finding
{
    severity level = severity::error;
    finding_code code = finding_code::malformed;
    /// The entry, such as `routes[2]` or `share/shop-chat`.
    std::string place;
    /// An explanation for the operator.
    std::string text;

    bool operator==(const finding&) const = default;
};

/// A difference from the configuration in force.
struct difference
{
    std::string place;
    std::string text;

    bool operator==(const difference&) const = default;
};

} // namespace kumquatgap::config
