#pragma once

#include "common/log_line.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatgap::ctl
{

/// A line of a process's log.
struct sourced_line
{
    /// The process: its name in a collected log, or its own log file's.
    std::string source;
    common::log_line line;
};

/// Why a line belongs to a request's story.
enum class line_role : std::uint8_t
{
    /// It names the request.
    own,
    /// It changed what the process that decided on the request believed.
    belief,
    /// It tells of the request's targets, or of the group that they belong to.
    target
};

/// A line of a story. A line that repeats the one before it, but for its time, is counted there.
struct story_line
{
    line_role role = line_role::own;
    const sourced_line* what = nullptr;
    std::chrono::milliseconds after_arrival{0};
    int times = 1;
};

/// What several processes' logs tell of one request.
struct request_story
{
    /// The line that ends the request; a null pointer when no log has one.
    const sourced_line* end = nullptr;
    std::vector<story_line> lines;
};

/// How far around a request lines are looked for.
struct explain_options
{
    /// Longer than a lease of a target's entry and a group's new forming take to be noticed.
    std::chrono::milliseconds before{3000};
    std::chrono::milliseconds after{200};
};

/// Joins the lines on a request, in the order of their times, with those that explain them. The
/// lines must outlive the result, which is empty when no line names the request.
request_story explain(const std::string& request_id, const std::vector<sourced_line>& lines,
                      explain_options options = {});

/// The story as text for a reader.
std::string to_text(const std::string& request_id, const request_story& story);

} // namespace kumquatgap::ctl
