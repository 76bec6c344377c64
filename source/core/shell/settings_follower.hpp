#pragma once

#include "common/settings.hpp"
#include "io/event_loop.hpp"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquatgap::shell
{

/// Reads a daemon's settings file again at SIGHUP, and now and then, since a file may change
/// without a signal.
class settings_follower
{
public:
    /// Calls fn with the file's text whenever it differs from the one before.
    settings_follower(io::event_loop& loop, std::string path,
                      std::function<void(const std::string& text)> fn);

private:
    void check();

    std::string m_path;
    std::function<void(const std::string&)> m_on_change;
    std::string m_text;
    bool m_is_readable = true;
    io::timer_handle m_timer;
};

/// Logs a changed settings file: its mistakes, or the keys that changed, and which of these are
/// used only from the next start on.
void log_reload(const std::vector<common::settings_error>& mistakes,
                const std::vector<std::string>& changed,
                std::span<const std::string_view> reloadable);

/// Reads changed settings; nothing when they have a mistake, so that the daemon keeps its own.
/// `reloadable` are the keys, as `section.key`, that the daemon can change while it runs.
template <class Settings>
std::optional<Settings> read_changed(const std::string& text, Settings own,
                                     void (*add_settings)(common::settings_schema&, Settings&),
                                     std::span<const std::string_view> reloadable)
{
    common::settings_schema own_schema;
    add_settings(own_schema, own);
    Settings changed;
    common::settings_schema schema;
    add_settings(schema, changed);
    const auto mistakes = schema.read(text);
    log_reload(mistakes, schema.differences(own_schema), reloadable);
    return mistakes.empty() ? std::optional{std::move(changed)} : std::nullopt;
}

} // namespace kumquatgap::shell
