#include "common/log.hpp"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace kumquatgap::common
{

namespace
{

/// Lines that wait for a slow reader of standard output; when the queue is full, the oldest line is
/// dropped.
constexpr std::size_t max_queued_lines = 1024;

struct level_name
{
    log_level level;
    std::string_view name;
    spdlog::level::level_enum spdlog_level;
};

constexpr auto s_levels = std::to_array<level_name>({
    {log_level::debug, "debug", spdlog::level::debug},
    {log_level::info, "info", spdlog::level::info},
    {log_level::warn, "warn", spdlog::level::warn},
    {log_level::error, "error", spdlog::level::err},
});

/// Appends text, quoted when it is empty or has characters that key=value parsing can't take.
/// Control characters become spaces.
void append_text(std::string& line, std::string_view text)
{
    constexpr std::string_view needs_quotes = " =\"\\\n\r\t";
    if (!text.empty() && text.find_first_of(needs_quotes) == std::string_view::npos)
    {
        line += text;
        return;
    }
    line += '"';
    for (const char c : text)
    {
        if (c == '"' || c == '\\')
            line += '\\';
        line += (static_cast<unsigned char>(c) < ' ') ? ' ' : c;
    }
    line += '"';
}

void append_field(std::string& line, const log_field& field)
{
    line += ' ';
    line += field.key;
    line += '=';
    if (const auto* n = std::get_if<std::int64_t>(&field.value))
        line += std::to_string(*n);
    else
        append_text(line, std::get<std::string_view>(field.value));
}

} // namespace

bool start_log(std::string_view program, std::string_view level)
{
    const auto it = std::ranges::find(s_levels, level, &level_name::name);
    if (it == s_levels.end())
        return false;
    spdlog::init_thread_pool(max_queued_lines, 1);
    auto logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>(std::string{program});
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l program=%n %v",
                        spdlog::pattern_time_type::utc);
    logger->set_level(it->spdlog_level);
    logger->flush_on(spdlog::level::debug);
    spdlog::set_default_logger(std::move(logger));
    std::atexit([] { spdlog::shutdown(); });
    return true;
}

bool set_log_level(std::string_view level)
{
    const auto it = std::ranges::find(s_levels, level, &level_name::name);
    if (it == s_levels.end())
        return false;
    spdlog::set_level(it->spdlog_level);
    return true;
}

std::size_t dropped_log_lines()
{
    const auto pool = spdlog::thread_pool();
    return pool ? pool->overrun_counter() : 0;
}

void log(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    const auto spdlog_level = s_levels[static_cast<std::size_t>(level)].spdlog_level;
    if (!spdlog::should_log(spdlog_level))
        return;
    std::string line = "event=";
    line += event;
    for (const auto& it : fields)
        append_field(line, it);
    spdlog::log(spdlog_level, line);
}

} // namespace kumquatgap::common
