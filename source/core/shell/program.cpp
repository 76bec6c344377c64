#include "shell/program.hpp"

#include "common/text.hpp"

#include "common/hash.hpp"
#include "common/log.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>
#include <nlohmann/json.hpp>

#include <malloc.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, config, "", "the settings file (INI)");
ABSL_FLAG(bool, check_config, false, "check the settings, report every mistake, and exit");

namespace kumquatgap::shell
{

using common::failure;
using nlohmann::json;

namespace
{

constexpr std::string_view s_version = "0.1.0";
constexpr common::milliseconds max_store_timeout{60'000};
constexpr common::milliseconds min_apply_time{400};
constexpr common::milliseconds max_apply_time{600'000};
/// Upper bounds of the settings that describe the host: 1 TiB and the kernel's default fs.nr_open.
constexpr std::int64_t max_memory_mb = 1 << 20;
constexpr std::int64_t max_descriptors = 1 << 20;
/// Allocations from this size on are separate mappings. Without a fixed value the allocator raises
/// its threshold to the largest freed buffer, and later bodies fragment the heap.
constexpr int min_separate_allocation = 128 << 10;
constexpr int http_ok = 200;
constexpr int http_unavailable = 503;

json error_body(const failure& why)
{
    const auto& it = common::info(why.code);
    std::string message{it.text};
    if (!why.detail.empty())
        message += common::concat(" ", why.detail);
    json error = {{"message", message},
                  {"type", it.name},
                  {"param", nullptr},
                  {"code", common::number(why.code)},
                  {"not_run", common::is_not_run(why.code)}};
    if (why.retry_after)
        error["retry_after_ms"] = why.retry_after->count();
    return {{"error", std::move(error)}};
}

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Whole seconds, rounded up, since the Retry-After header takes no fractions.
std::string retry_after_header(common::milliseconds d)
{
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(d).count());
}

int report_settings_errors(const std::string& path,
                           const std::vector<common::settings_error>& errors)
{
    for (const auto& it : errors)
        std::cerr << path << ":" << it.line << ": " << it.text << "\n";
    std::cerr << "code=" << common::number(common::result_code::bad_settings) << " "
              << errors.size() << " mistake(s) in the settings\n";
    return exit_bad_settings;
}

} // namespace

void add_common_settings(common::settings_schema& schema, common_settings& s)
{
    schema.add("process", "host", common::text_setting{&s.host});
    schema.add("process", "data_centre", common::text_setting{&s.data_centre});
    schema.add("process", "log_level", common::text_setting{&s.log_level});
    schema.add("process", "deployment_token", common::text_setting{&s.deployment_token});
    schema.add("process", "memory_mb", common::number_setting{&s.memory_mb, 0, max_memory_mb});
    schema.add("process", "max_fds", common::number_setting{&s.max_fds, 0, max_descriptors});
    schema.add("control", "listen", common::address_setting{&s.control_address, false});
    schema.add("control", "seeds", common::text_setting{&s.control_seeds, false});
    schema.add("store", "address", common::address_setting{&s.store_address});
    schema.add(
        "store", "timeout_ms",
        common::duration_setting{&s.store_timeout, common::milliseconds{1}, max_store_timeout});
    schema.add("store", "apply_ms",
               common::duration_setting{&s.apply_time, min_apply_time, max_apply_time});
}

void ignore_early_signals()
{
    std::signal(SIGHUP, SIG_IGN);
}

std::optional<int> start_program(int argc, char** argv, std::string_view name,
                                 std::string_view usage, const common::settings_schema& schema,
                                 const common_settings& settings)
{
    absl::SetProgramUsageMessage({usage.data(), usage.size()});
    absl::FlagsUsageConfig usage_config;
    usage_config.version_string = [name] { return common::concat(name, " ", s_version, "\n"); };
    usage_config.contains_help_flags = [](absl::string_view file)
    { return absl::StrContains(file, "program.cpp"); };
    absl::SetFlagsUsageConfig(usage_config);
    absl::ParseCommandLine(argc, argv);

    const auto path = absl::GetFlag(FLAGS_config);
    std::ifstream file{path};
    if (!file)
        return report_settings_errors(path.empty() ? "--config" : path,
                                      {{0, "the settings file can't be read"}});
    std::stringstream text;
    text << file.rdbuf();
    auto errors = schema.read(text.str());
    if (!common::start_log(name, settings.log_level))
        errors.push_back({0, "[process] log_level is not debug, info, warn or error"});
    if (!errors.empty())
        return report_settings_errors(path, errors);
    if (!absl::GetFlag(FLAGS_check_config))
        return std::nullopt;
    std::cout << path << ": settings are right\n";
    return 0;
}

std::string settings_path()
{
    return absl::GetFlag(FLAGS_config);
}

void set_host_limits(io::event_loop& loop, const common_settings& settings)
{
    ::mallopt(M_MMAP_THRESHOLD, min_separate_allocation);
    loop.memory().set_limits(io::limits_of_host(settings.memory_mb, settings.max_fds));
}

failure memory_full_failure()
{
    return {common::result_code::memory_full, "", io::retry_after_memory_full};
}

io::http_response to_response(const failure& why)
{
    io::http_response out{common::info(why.code).http_status,
                          {{"Content-Type", "application/json"}},
                          dump(error_body(why))};
    if (why.retry_after)
        out.headers.add("Retry-After", retry_after_header(*why.retry_after));
    return out;
}

std::string to_stream_event(const failure& why)
{
    return common::concat("event: error\ndata: ", dump(error_body(why)), "\n\n");
}

bool answer_admin_request(const io::http_request& request, io::responder& responder, bool is_ready,
                          const common::metrics& m)
{
    if (request.path == "/livez")
        responder.reply({http_ok, {}, "ok\n"});
    else if (request.path == "/readyz")
        responder.reply(
            {is_ready ? http_ok : http_unavailable, {}, is_ready ? "ready\n" : "not ready\n"});
    else if (request.path == "/metrics")
        responder.reply({http_ok,
                         {{"Content-Type", "text/plain; version=0.0.4"}},
                         m.text() + common::concat("kqg_log_lines_dropped_total ",
                                                   common::dropped_log_lines(), "\n")});
    else
        return false;
    return true;
}

bool has_token(const io::http_request& request, std::string_view token)
{
    // Compares hashes so that the time of the comparison reveals nothing about the token.
    return common::sha256_hex(request.headers.find("authorization")) ==
           common::sha256_hex(common::concat("Bearer ", token));
}

} // namespace kumquatgap::shell
