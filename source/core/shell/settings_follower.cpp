#include "shell/settings_follower.hpp"

#include "common/log.hpp"
#include "common/result_code.hpp"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>

namespace kumquatgap::shell
{

namespace
{

/// Configuration must be in effect within 15 s of a change, the users' limit; this leaves most of
/// the time for the steps before and after the check.
constexpr common::milliseconds check_period{2000};
/// Errors of one settings file that are written to the log.
constexpr std::size_t max_logged_errors = 5;

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file{path};
    if (!file)
        return std::nullopt;
    std::stringstream out;
    out << file.rdbuf();
    return out.str();
}

} // namespace

settings_follower::settings_follower(io::event_loop& loop, std::string path,
                                     std::function<void(const std::string&)> fn)
    : m_path{std::move(path)}, m_on_change{std::move(fn)}, m_text{read_file(m_path).value_or("")}
{
    loop.on_signal(SIGHUP,
                   [this]
                   {
                       common::log(common::log_level::info, "reload_asked");
                       check();
                   });
    m_timer = loop.every(check_period, [this] { check(); });
}

void settings_follower::check()
{
    const auto text = read_file(m_path);
    if (!text)
    {
        if (std::exchange(m_is_readable, false))
            common::log(common::log_level::warn, "settings_unreadable", {{"file", m_path}});
        return;
    }
    m_is_readable = true;
    if (*text == m_text)
        return;
    m_text = *text;
    m_on_change(m_text);
}

void log_reload(const std::vector<common::settings_error>& errors,
                const std::vector<std::string>& changed,
                std::span<const std::string_view> reloadable)
{
    using common::log_level;
    const auto logged = std::span{errors}.first(std::min(errors.size(), max_logged_errors));
    for (const auto& it : logged)
        common::log(log_level::error, "settings_refused",
                    {{"code", common::number(common::result_code::bad_settings)},
                     {"line", it.line},
                     {"mistake", it.text},
                     {"mistakes", errors.size()}});
    if (!errors.empty())
        return;
    std::vector<std::string> at_next_start;
    std::ranges::copy_if(changed, std::back_inserter(at_next_start),
                         [&](const std::string& it)
                         { return std::ranges::find(reloadable, it) == reloadable.end(); });
    common::log(log_level::info, "settings_reloaded",
                {{"changed", absl::StrJoin(changed, ",")},
                 {"at_next_start", absl::StrJoin(at_next_start, ",")}});
}

} // namespace kumquatgap::shell
