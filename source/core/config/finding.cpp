#include "config/finding.hpp"

#include <array>

namespace kumquatgap::config
{

namespace
{

constexpr auto s_severity_names = std::to_array<std::string_view>({"warning", "error"});

constexpr auto s_code_names = std::to_array<std::string_view>(
    {"malformed",           "invalid_resource",   "conflict",
     "duplicate_entry",     "duplicate_route",    "duplicate_key",
     "unreachable_route",   "unknown_service",    "no_service",
     "zero_share",          "out_of_range",       "goal_over_timeout",
     "timeout_over_grace",  "limits_over_memory", "retries_over_budget",
     "covered_rule",        "no_target",          "no_key",
     "no_permitted_region", "stale_version"});
static_assert(s_code_names.size() == static_cast<std::size_t>(finding_code::stale_version) + 1);

} // namespace

std::string_view name_of(severity it)
{
    return s_severity_names[static_cast<std::size_t>(it)];
}

std::string_view name_of(finding_code it)
{
    return s_code_names[static_cast<std::size_t>(it)];
}

} // namespace kumquatgap::config
