#pragma once

#include "common/log_line.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatgap::ctl
{

/// A log line with the process that wrote it.
struct sourced_line
{
    /// The process's name in a collected log, or the name of its own log file.
    std::string source;
    common::log_line line;
};

/// Why a line is part of a request's timeline.
enum class line_role : std::uint8_t
{
    /// The line contains the request's id.
    request,
    /// It logs a state change of a process that handled the request.
    process_state,
    /// It concerns the request's targets or their group.
    target
};

/// An entry of a timeline. Consecutive lines that differ only in their time are one entry.
struct timeline_entry
{
    line_role role = line_role::request;
    const sourced_line* source_line = nullptr;
    std::chrono::milliseconds after_arrival{0};
    int occurrences = 1;
};

/// The lines about one request, from the logs of several processes.
struct request_timeline
{
    /// The line that logs the request's end; a null pointer when no log has one.
    const sourced_line* end = nullptr;
    std::vector<timeline_entry> lines;
};

/// The time before and after a request from which other lines are included.
struct explain_options
{
    /// Longer than it takes to detect an expired lease of a target's entry or a re-formed group.
    std::chrono::milliseconds before{3000};
    std::chrono::milliseconds after{200};
};

/// Collects the lines about a request and the lines that explain them, in the order of their times.
/// `lines` must outlive the result, which is empty when no line contains the request's id.
request_timeline explain(const std::string& request_id, const std::vector<sourced_line>& lines,
                         explain_options options = {});

/// Formats a timeline as the text that kqgctl prints.
std::string to_text(const std::string& request_id, const request_timeline& timeline);

} // namespace kumquatgap::ctl
