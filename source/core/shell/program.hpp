#pragma once

#include "common/failure.hpp"
#include "common/metrics.hpp"
#include "common/settings.hpp"
#include "io/http_server.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::shell
{

/// The exit status for invalid settings, EX_CONFIG of sysexits.h.
inline constexpr int exit_bad_settings = 78;
/// The exit status when an address can't be listened on, EX_UNAVAILABLE of sysexits.h.
inline constexpr int exit_no_address = 69;

/// The settings that every daemon has.
struct common_settings
{
    std::string host;
    std::string data_centre;
    std::string log_level = "info";
    std::string store_address;
    common::milliseconds store_timeout{2000};
    /// A change in the store must be in effect this long after the store has confirmed it. The time
    /// for which a process relies on others to pass changes on follows from it.
    common::milliseconds apply_time{15'000};
    /// Authenticates the system's own processes to each other.
    std::string deployment_token;
    /// `ip:port` for messages between the system's own processes; if empty, the process watches
    /// the store itself.
    std::string control_address;
    /// Comma-separated addresses of processes that serve as peers while the store names no hosts.
    std::string control_seeds;
    /// The memory and the descriptors that the host allows the process; 0 when they are not given.
    std::int64_t memory_mb = 0;
    std::int64_t max_fds = 0;
};

/// Declares the settings that every daemon has.
void add_common_settings(common::settings_schema& schema, common_settings& s);

/// Ignores SIGHUP until the daemon's event loop handles it, since its default action would end a
/// process that is still starting. Must be called first in main.
void ignore_early_signals();

/// Parses the command line (--config, --check_config, --version, --help) and reads the settings.
/// Returns the exit status, or no value when the program should run. All errors in the settings are
/// written to standard error, each with its file and line.
std::optional<int> start_program(int argc, char** argv, std::string_view name,
                                 std::string_view usage, const common::settings_schema& schema,
                                 const common_settings& settings);

/// The path of the settings file from the command line.
std::string settings_path();

/// A daemon's main function: reads its settings, runs it and returns the exit status. The `common`
/// member of Settings holds the settings that every daemon has.
template <class Daemon, class Settings>
int run_daemon(int argc, char** argv, std::string_view name, std::string_view usage,
               void (*add_settings)(common::settings_schema&, Settings&))
{
    ignore_early_signals();
    Settings settings;
    common::settings_schema schema;
    add_settings(schema, settings);
    const auto status = start_program(argc, argv, name, usage, schema, settings.common);
    return status ? *status : Daemon{settings}.run();
}

/// Derives the limits of the loop's memory budget from the settings, and makes the allocator return
/// large buffers to the system as soon as they are freed.
void set_host_limits(io::event_loop& loop, const common_settings& settings);

/// The response to a request that was refused because memory is short.
common::failure memory_full_failure();

/// A failure as a complete HTTP response, in the OpenAI error format.
io::http_response to_response(const common::failure& why);
/// A failure as a server-sent event, for a response whose stream has already started.
std::string to_stream_event(const common::failure& why);

/// Responds to /livez, /readyz and /metrics; false for any other path.
bool answer_admin_request(const io::http_request& request, io::responder& responder, bool is_ready,
                          const common::metrics& m);

/// True when the request's Authorization header carries this bearer token.
bool has_token(const io::http_request& request, std::string_view token);

} // namespace kumquatgap::shell
