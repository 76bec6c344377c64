#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::common
{

/// A log line of this project's programs, read back.
struct log_line
{
    /// The last word before the line, by which a collector of logs names the process; empty when
    /// the line stands alone.
    std::string origin;
    /// By the wall clock of the host that wrote it.
    std::chrono::sys_time<std::chrono::milliseconds> time;
    std::string level;
    std::string program;
    std::string event;
    /// The other pairs of the line.
    std::map<std::string, std::string, std::less<>> fields;

    /// A field's value; empty when the line has none.
    std::string_view field(std::string_view key) const;
};

/// Reads a line as `log` writes it, alone or behind what a collector of logs puts there; no result
/// for a line of anybody else.
std::optional<log_line> read_log_line(std::string_view text);

} // namespace kumquatgap::common
