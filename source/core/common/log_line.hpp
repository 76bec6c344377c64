#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::common
{

/// A parsed log line of one of this project's programs.
struct log_line
{
    /// The last word before the log line, the name that a log collector gives the process; empty
    /// when nothing precedes the line.
    std::string origin;
    /// Wall clock time of the host that wrote the line.
    std::chrono::sys_time<std::chrono::milliseconds> time;
    std::string level;
    std::string program;
    std::string event;
    /// The key=value pairs except time, level, program and event.
    std::map<std::string, std::string, std::less<>> fields;

    /// A field's value; empty when the line has none.
    std::string_view field(std::string_view key) const;
};

/// Parses a line that `log` wrote, with or without a log collector's prefix; no result for a line
/// in any other format.
std::optional<log_line> read_log_line(std::string_view text);

} // namespace kumquatgap::common
