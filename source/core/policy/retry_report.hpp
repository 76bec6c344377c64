#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// Calls for a service, and retries of them, that a gateway counted in a span of time.
struct usage_slot
{
    timestamp start;
    std::int64_t calls = 0;
    std::int64_t retries = 0;

    bool operator==(const usage_slot&) const = default;
};

/// What one run of a gateway counted for a service: one slot after the other, newest first.
using service_usage = std::vector<usage_slot>;

/// What one run of a gateway, from its start to its end, counted.
struct run_usage
{
    milliseconds slot_length{0};
    std::map<std::string, service_usage> services = {};

    bool operator==(const run_usage&) const = default;
};

/// One run of a gateway.
struct gateway_run
{
    std::string gateway;
    /// Differs from run to run.
    std::uint64_t number = 0;

    bool operator==(const gateway_run&) const = default;
    bool operator<(const gateway_run& it) const
    {
        return std::tie(gateway, number) < std::tie(it.gateway, it.number);
    }
};

/// What a gateway reports to the others about the retries of all of them.
struct retry_report
{
    /// The number of the sender's run.
    std::uint64_t run = 0;
    /// The sender has started lately, and asks for what it can't know.
    bool is_asking = false;
    /// The sender's own usage.
    run_usage own = {};
    /// The usage of runs that the sender no longer hears; only when it is asked for.
    std::map<gateway_run, run_usage> others = {};
    /// Since when `others` and the reports of running gateways have all retries; none when `others`
    /// is not complete.
    std::optional<timestamp> known_since = std::nullopt;

    bool operator==(const retry_report&) const = default;
};

} // namespace kumquatgap::policy
