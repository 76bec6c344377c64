#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace kumquatgap::common
{

/// Severity of a log line.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warn,
    error
};

/// One key=value pair of a log line.
struct log_field
{
    std::string_view key;
    std::variant<std::string_view, std::int64_t> value;

    log_field(std::string_view k, std::string_view v) : key{k}, value{v} {}
    log_field(std::string_view k, const char* v) : key{k}, value{std::string_view{v}} {}
    log_field(std::string_view k, const std::string& v) : key{k}, value{std::string_view{v}} {}
    template <std::integral T>
    log_field(std::string_view k, T v) : key{k}, value{static_cast<std::int64_t>(v)}
    {
    }
};

/// Starts the log with the program's name, which every line carries, and the lowest level that is
/// written. Returns false when the level's name is unknown.
bool start_log(std::string_view program, std::string_view level);

/// Changes the lowest level that is written; false when the level's name is unknown.
bool set_log_level(std::string_view level);

/// Number of lines dropped because standard output was read too slowly.
std::size_t dropped_log_lines();

/// Writes one event as one line of key=value pairs to standard output. Never blocks on the reader:
/// a separate thread writes the lines, and lines that overflow its queue are dropped.
void log(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace kumquatgap::common
