#pragma once

#include "common/limited_log.hpp"
#include "common/metrics.hpp"
#include "common/result_code.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatgap::gateway
{

/// How a call ended, and what that was decided by.
struct call_summary
{
    /// `request_answered`, `request_refused`, `request_failed` or `caller_gone`.
    std::string_view event;
    std::string_view id;
    std::string_view route;
    std::string_view service;
    std::string_view team;
    common::result_code code = common::result_code::ok;
    int status = 0;
    int attempts = 0;
    /// Milliseconds from arrival to the first attempt and to the first event; -1: none.
    std::int64_t wait_ms = -1;
    std::int64_t first_ms = -1;
    std::int64_t events = 0;
    std::int64_t ms = 0;
    /// Calls in the service's line, and targets that take work.
    std::size_t waiting = 0;
    std::size_t targets = 0;
    /// The store's revision of what was known of targets, and the configuration's version.
    std::int64_t state = 0;
    std::int64_t config = 0;
};

/// Writes the call's last log line.
void write_line(common::limited_log& out, const call_summary& it, common::timestamp now);

/// Adds the call to the counters and histograms.
void count(common::metrics& m, const call_summary& it);

} // namespace kumquatgap::gateway
