#pragma once

#include "config/finding.hpp"
#include "fleet/configuration_listing.hpp"
#include "policy/windowed_retry_budget.hpp"

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

namespace kumquatgap::config
{

/// The limits of the gateways that a configuration is checked against; those that are not set are
/// not checked.
struct gateway_limits
{
    /// The time from SIGTERM to SIGKILL.
    std::optional<common::milliseconds> grace = {};
    /// The memory of the smallest host.
    std::optional<std::size_t> memory_bytes = {};
    std::optional<policy::retry_limits> retries = {};
    /// The regions of all data centres.
    std::optional<fleet::region_table> regions = {};
};

/// Checks a gateway configuration before it is written to the store. Which entry is used for a call
/// is decided by fleet::configuration, as in a gateway.
class configuration_check
{
public:
    explicit configuration_check(gateway_limits limits = {}) : m_limits{std::move(limits)} {}

    /// All findings, in the order of the checks and of the file.
    std::vector<finding> run(const fleet::configuration_listing& it) const;
    /// The same for a configuration that is to replace `in_force`.
    std::vector<finding> run(const fleet::configuration_listing& it,
                             const fleet::configuration& in_force) const;

private:
    gateway_limits m_limits;
};

/// The differences between two configurations, without the teams' keys themselves.
std::vector<difference> differences(const fleet::configuration& in_force,
                                    const fleet::configuration& next);

} // namespace kumquatgap::config
