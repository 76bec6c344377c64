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

/// Reads a daemon's settings file again at SIGHUP and at a fixed period, since the file may change
/// without a signal.
class settings_follower
{
public:
    /// Calls fn with the file's text whenever it differs from the text read before.
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

/// Logs a changed settings file: its errors if there are any, otherwise the keys that changed and
/// which of these take effect only at the next start.
void log_reload(const std::vector<common::settings_error>& errors,
                const std::vector<std::string>& changed,
                std::span<const std::string_view> reloadable);

/// Reads changed settings. Returns no value when they have an error, so that the daemon keeps its
/// `current` settings. `reloadable` are the keys, as `section.key`, that the daemon can change
/// while it runs.
template <class Settings>
std::optional<Settings> read_changed(const std::string& text, Settings current,
                                     void (*add_settings)(common::settings_schema&, Settings&),
                                     std::span<const std::string_view> reloadable)
{
    common::settings_schema current_schema;
    add_settings(current_schema, current);
    Settings changed;
    common::settings_schema schema;
    add_settings(schema, changed);
    const auto errors = schema.read(text);
    log_reload(errors, schema.differences(current_schema), reloadable);
    return errors.empty() ? std::optional{std::move(changed)} : std::nullopt;
}

} // namespace kumquatgap::shell
