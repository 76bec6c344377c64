#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// The limits on the retries of all gateways together.
struct retry_limits
{
    /// Retries per call, over the window.
    double ratio = 0.2;
    /// Retries beyond the ratio in one window, over all gateways.
    double extra = 0;
    milliseconds window{10'000};
    /// The fraction of the limit that is used. The rest is a margin for calls at the edge of the
    /// window that are counted by one side and not by the other.
    double used_fraction = 0.8;
};

/// What a decision on a retry was based on.
struct retry_budget_state
{
    /// Calls and retries in the window that ends now.
    std::size_t calls = 0;
    std::size_t retries = 0;
    /// The retries that are allowed in that window.
    double allowed = 0;
    /// The number of gateways that the allowance is shared with, this one included.
    std::size_t gateways = 1;
};

/// One gateway's share of the retries that all gateways may send to a service, over a sliding
/// window. Load pattern: callers and targets that fail in waves, while gateways start and stop and
/// may not know of each other. Each gateway gets retries in proportion to the calls that it has
/// received, and an equal share of `extra`.
class windowed_retry_budget
{
public:
    explicit windowed_retry_budget(retry_limits limits) : m_limits{limits} {}

    void set_limits(retry_limits limits) { m_limits = limits; }
    /// How many gateways share `extra`, this one included.
    void set_gateways(std::size_t n) { m_gateways = n == 0 ? 1 : n; }
    /// A call for the service has arrived.
    void record_call(const std::string& service, timestamp now);
    /// Takes one retry out of the budget; false when it is used up.
    bool take(const std::string& service, timestamp now);
    retry_budget_state state(const std::string& service, timestamp now) const;

private:
    struct counts
    {
        std::deque<timestamp> calls;
        std::deque<timestamp> retries;
    };

    void drop_old(std::deque<timestamp>& times, timestamp now) const;
    double allowed(const counts& it) const;

    retry_limits m_limits;
    std::size_t m_gateways = 1;
    std::map<std::string, counts> m_services;
};

} // namespace kumquatgap::policy
