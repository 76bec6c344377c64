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

/// What all routers together may repeat.
struct retry_limits
{
    /// Repeats for each call, over the window.
    double ratio = 0.2;
    /// Repeats beyond the ratio in one window, over all routers.
    double extra = 0;
    milliseconds window{10'000};
    /// The part of the limit that is used, so that calls counted at the window's edge by one side
    /// and not by the other do no harm.
    double used_part = 0.8;
};

/// One router's share of the repeats that all routers may send to a service. Load pattern: callers
/// and targets that fail in waves, while routers come and go and may not hear of each other.
/// Each router earns by the calls that it has seen, and holds an equal part of the extra.
class retry_share
{
public:
    explicit retry_share(retry_limits limits) : m_limits{limits} {}

    void set_limits(retry_limits limits) { m_limits = limits; }
    /// How many routers share the extra, this one included.
    void set_routers(std::size_t n) { m_routers = n == 0 ? 1 : n; }
    /// A call for the service has arrived.
    void note_call(const std::string& service, timestamp now);
    /// Takes one repeat out of the share; false when it is used up.
    bool take(const std::string& service, timestamp now);
    /// Repeats that are left now.
    double left(const std::string& service, timestamp now) const;

private:
    struct counts
    {
        std::deque<timestamp> calls;
        std::deque<timestamp> repeats;
    };

    void drop_old(std::deque<timestamp>& times, timestamp now) const;
    double allowed(const counts& it) const;

    retry_limits m_limits;
    std::size_t m_routers = 1;
    std::map<std::string, counts> m_services;
};

} // namespace kumquatgap::policy
