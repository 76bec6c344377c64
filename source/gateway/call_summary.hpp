#pragma once

#include "common/limited_log.hpp"
#include "common/metrics.hpp"
#include "common/result_code.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatgap::gateway
{

/// How a call ended, and the state on which the decision was based.
struct call_summary
{
    /// `request_answered`, `request_refused`, `request_failed` or `caller_gone`.
    std::string_view event;
    std::string_view id;
    std::string_view route;
    std::string_view service;
    std::string_view team;
    /// 0 is the most urgent.
    int priority = 0;
    /// The latency goal had passed at the first event, or at the end of a call without events.
    bool is_late = false;
    common::result_code code = common::result_code::ok;
    int status = 0;
    int attempts = 0;
    /// Milliseconds from arrival to the first attempt and to the first event; -1 if there was none.
    std::int64_t wait_ms = -1;
    std::int64_t first_ms = -1;
    std::int64_t events = 0;
    std::int64_t ms = 0;
    /// Queued calls of the service, and targets that accept work.
    std::size_t waiting = 0;
    std::size_t targets = 0;
    /// The store revision of the known targets, and the version of the configuration.
    std::int64_t state = 0;
    std::int64_t config = 0;
};

/// Writes the call's last log line.
void write_log_line(common::limited_log& out, const call_summary& summary, common::timestamp now);

/// Adds the call to the counters and histograms.
void record_metrics(common::metrics& m, const call_summary& summary);

} // namespace kumquatgap::gateway
