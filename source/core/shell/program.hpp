#pragma once

#include "common/failure.hpp"
#include "common/metrics.hpp"
#include "common/settings.hpp"
#include "io/http_server.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::shell
{

/// The exit status for wrong settings, as in sysexits.h.
inline constexpr int exit_bad_settings = 78;
/// The exit status when an address can't be listened on.
inline constexpr int exit_no_address = 69;

/// The settings that every daemon has.
struct common_settings
{
    std::string host;
    std::string data_centre;
    std::string log_level = "info";
    std::string store_address;
    common::milliseconds store_timeout{2000};
    /// Shown by the system's own processes to each other.
    std::string deployment_token;
    /// `ip:port` for messages between the system's own processes; without it the process watches
    /// the store itself.
    std::string control_address;
    /// Addresses, divided by commas, of processes that are asked while the store gives no peers.
    std::string control_seeds;
};

/// Declares the settings that every daemon has.
void add_common_settings(common::settings_schema& schema, common_settings& s);

/// Ignores the signals that only a running daemon has a use for, until its loop handles them: their
/// default action ends the process. To be called first in main.
void ignore_early_signals();

/// Parses the command line (--config, --check_config, --version, --help) and reads the settings.
/// Returns the status to exit with, or nothing when the program is to run. Mistakes are all
/// written to standard error, each with its file and line.
std::optional<int> start_program(int argc, char** argv, std::string_view name,
                                 std::string_view usage, const common::settings_schema& schema,
                                 const common_settings& settings);

/// The settings file that the command line names.
std::string settings_path();

/// A daemon's main function: reads its settings and runs it. The settings' `common` member holds
/// those that every daemon has.
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

/// A failure as the whole answer to a caller, in the OpenAI error format.
io::http_answer to_answer(const common::failure& why);
/// A failure as an event of a stream that has already started.
std::string to_stream_event(const common::failure& why);

/// Answers /livez, /readyz and /metrics; false for any other path.
bool answer_admin_request(const io::http_request& request, io::responder& answer, bool is_ready,
                          const common::metrics& m);

/// True when a request carries the bearer token.
bool has_token(const io::http_request& request, std::string_view token);

} // namespace kumquatgap::shell
