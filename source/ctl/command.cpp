#include "ctl/command.hpp"

#include "common/text.hpp"

#include "common/settings.hpp"
#include "ctl/check.hpp"
#include "ctl/explain.hpp"
#include "io/http_client.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <optional>

namespace kumquatgap::ctl
{

using nlohmann::json;

namespace
{

constexpr int first_http_error = 400;
constexpr int first_server_error = 500;
constexpr common::milliseconds call_timeout{15'000};
/// The most log files of one command; a deployment has one for each process.
constexpr std::size_t max_log_files = 4000;

/// A blocking client of the API.
class api_client
{
public:
    explicit api_client(const command_options& options) : m_options{options} {}

    /// Sends one request and waits for the response; none when the API can't be reached.
    std::optional<io::http_response> call(const std::string& method, const std::string& path,
                                          const std::string& query = {},
                                          const std::string& body = {})
    {
        std::optional<io::http_response> out;
        const auto handle =
            m_client.send(m_options.api_address, request(method, path, query, body),
                          {{},
                           {},
                           [&](io::call_outcome outcome, const io::http_response& response)
                           {
                               if (outcome == io::call_outcome::complete)
                                   out = response;
                               m_loop.stop();
                           }},
                          {.silence_timeout = call_timeout});
        m_loop.run();
        return out;
    }

    /// Writes a response stream to `out` as it arrives, until it ends.
    void print_stream(const std::string& path, const std::string& query, std::ostream& out)
    {
        const auto handle =
            m_client.send(m_options.api_address, request("GET", path, query, ""),
                          {{},
                           [&](std::string_view data) { out << data << std::flush; },
                           [&](io::call_outcome, const io::http_response&) { m_loop.stop(); }});
        m_loop.run();
    }

private:
    io::http_request request(const std::string& method, const std::string& path,
                             const std::string& query, const std::string& body) const
    {
        return {
            method,
            path,
            query,
            {{"Authorization", "Bearer " + m_options.token}, {"Content-Type", "application/json"}},
            body};
    }

    const command_options& m_options;
    io::event_loop m_loop;
    io::http_client m_client{m_loop};
};

/// The options, API client and output streams of a command.
struct command_context
{
    const command_options& options;
    api_client& api;
    std::ostream& out;
    std::ostream& err;

    const std::string& argument(std::size_t n) const { return options.arguments.at(n); }
};

/// Prints the error of a failed request; the result is the exit status.
int report_failure(const command_context& c, const std::optional<io::http_response>& response)
{
    if (!response)
    {
        c.err << "kqgctl: no answer from the API at " << c.options.api_address << "\n";
        return exit_unavailable;
    }
    const auto body = json::parse(response->body, nullptr, false);
    if (body.is_object() && body.contains("error"))
        c.err << "kqgctl: code=" << body["error"].value("code", 0) << " "
              << body["error"].value("message", "") << "\n";
    else
        c.err << "kqgctl: status " << response->status << "\n";
    return response->status >= first_server_error ? exit_unavailable : exit_refused;
}

bool is_success(const std::optional<io::http_response>& response)
{
    return response && response->status < first_http_error;
}

void print_table(const json& items, std::ostream& out)
{
    out << fmt::format("{:<16} {:<28} {:<10} {}\n", "KIND", "NAME", "VERSION", "SPEC");
    for (const auto& it : items)
        out << fmt::format("{:<16} {:<28} {:<10} {}\n", it.value("kind", ""), it.value("name", ""),
                           it.value("resourceVersion", ""), it["spec"].dump());
}

std::string path_of(const std::string& kind, const std::string& name)
{
    return name.empty() ? common::concat("/v1/", kind) : common::concat("/v1/", kind, "/", name);
}

int get(const command_context& c)
{
    const auto name = c.options.arguments.size() > 2 ? c.argument(2) : "";
    const auto response = c.api.call("GET", path_of(c.argument(1), name));
    if (!is_success(response))
        return report_failure(c, response);
    if (c.options.output == "json")
    {
        c.out << response->body;
        return exit_ok;
    }
    const auto body = json::parse(response->body, nullptr, false);
    print_table(name.empty() ? body["items"] : json::array({body}), c.out);
    return exit_ok;
}

/// Sets a resource's version to the stored one, or to 0 for a new resource, so that the write
/// replaces whatever is stored.
int set_current_version(const command_context& c, json& resource)
{
    const auto path = path_of(resource.value("kind", ""), resource.value("name", ""));
    const auto response = c.api.call("GET", path);
    constexpr int http_not_found = 404;
    if (response && response->status == http_not_found)
        resource["resourceVersion"] = "0";
    else if (is_success(response))
        resource["resourceVersion"] = json::parse(response->body)["resourceVersion"];
    else
        return report_failure(c, response);
    return exit_ok;
}

int apply_one(const command_context& c, json resource)
{
    if (!resource.is_object() || !resource.value("kind", json()).is_string() ||
        !resource.value("name", json()).is_string())
    {
        c.err << "kqgctl: a resource needs kind and name\n";
        return exit_bad_file;
    }
    if (!resource.contains("resourceVersion"))
    {
        if (const int status = set_current_version(c, resource); status != exit_ok)
            return status;
    }
    const auto id = common::concat(resource.value("kind", ""), "/", resource.value("name", ""));
    const auto response =
        c.api.call("PUT", path_of(resource.value("kind", ""), resource.value("name", "")), "",
                   resource.dump());
    if (!is_success(response))
    {
        c.err << id << ": ";
        return report_failure(c, response);
    }
    c.out << id << " accepted at " << json::parse(response->body).value("resourceVersion", "")
          << "\n";
    return exit_ok;
}

/// Applies one resource or a list of them, in order; stops at the first failure.
int apply(const command_context& c)
{
    const auto text = read_file(c.options.file);
    const auto body = text ? json::parse(*text, nullptr, false) : json();
    if (!text || body.is_discarded())
    {
        c.err << "kqgctl: " << c.options.file << " can't be read as JSON\n";
        return exit_bad_file;
    }
    const auto list = body.is_array() ? body : json::array({body});
    for (const auto& it : list)
    {
        if (const int status = apply_one(c, it); status != exit_ok)
            return status;
    }
    return exit_ok;
}

int erase(const command_context& c)
{
    json resource = {{"kind", c.argument(1)}, {"name", c.argument(2)}};
    if (!c.options.version.empty())
        resource["resourceVersion"] = c.options.version;
    else if (const int status = set_current_version(c, resource); status != exit_ok)
        return status;
    const auto response =
        c.api.call("DELETE", path_of(c.argument(1), c.argument(2)),
                   common::concat("resourceVersion=", resource.value("resourceVersion", "")));
    if (!is_success(response))
        return report_failure(c, response);
    c.out << c.argument(1) << "/" << c.argument(2) << " deleted\n";
    return exit_ok;
}

int watch(const command_context& c)
{
    const auto response = c.api.call("GET", path_of(c.argument(1), ""));
    if (!is_success(response))
        return report_failure(c, response);
    const auto body = json::parse(response->body);
    for (const auto& it : body["items"])
        c.out << json{{"type", "ADDED"}, {"object", it}}.dump() << "\n";
    c.api.print_stream(
        path_of(c.argument(1), ""),
        common::concat("watch=true&resourceVersion=", body.value("resourceVersion", "0")), c.out);
    return exit_unavailable;
}

int status(const command_context& c)
{
    const auto response = c.api.call("GET", "/v1/status");
    if (!is_success(response))
        return report_failure(c, response);
    c.out << response->body;
    return exit_ok;
}

/// Reads all resources from the API; the result is the exit status.
int read_live_resources(const command_context& c, std::vector<config::resource>& out)
{
    for (const auto kind : config::all_kinds())
    {
        const auto response = c.api.call("GET", path_of(std::string{config::name_of(kind)}, ""));
        if (!is_success(response))
        {
            // A refusal's status would be taken for that of a check with warnings.
            report_failure(c, response);
            return exit_unavailable;
        }
        const auto body = json::parse(response->body, nullptr, false);
        const auto items = read_resources(body.value("items", json::array()).dump());
        if (!items)
        {
            c.err << "kqgctl: the API's resources can't be read\n";
            return exit_unavailable;
        }
        out.insert(out.end(), items->begin(), items->end());
    }
    return exit_ok;
}

/// Reads the resources that a check compares with, if any; the result is the exit status.
int read_in_force(const command_context& c, std::optional<std::vector<config::resource>>& out)
{
    if (c.options.against_live && !c.options.against.empty())
    {
        c.err << "kqgctl: --against and --against_live exclude each other\n";
        return exit_usage;
    }
    if (c.options.against_live)
        return read_live_resources(c, out.emplace());
    if (c.options.against.empty())
        return exit_ok;
    const auto text = read_file(c.options.against);
    out = text ? read_resources(*text) : std::nullopt;
    if (out)
        return exit_ok;
    c.err << "kqgctl: " << c.options.against << " can't be read as resources\n";
    return exit_bad_file;
}

/// Checks a file of resources without writing them.
int check(const command_context& c)
{
    const auto text = read_file(c.argument(1));
    if (!text)
    {
        c.err << "kqgctl: " << c.argument(1) << " can't be read\n";
        return exit_bad_file;
    }
    std::optional<std::vector<config::resource>> in_force;
    if (const int status = read_in_force(c, in_force); status != exit_ok)
        return status;
    const auto report = check_resources(*text, in_force);
    c.out << format(report, c.options.output);
    return exit_status_of(report);
}

/// Reads a log file's lines; false when it can't be read.
bool read_log(const std::string& path, std::vector<sourced_line>& lines)
{
    std::ifstream file{path};
    if (!file)
        return false;
    const auto name = std::filesystem::path{path}.stem().string();
    for (std::string text; std::getline(file, text);)
    {
        auto it = common::read_log_line(text);
        if (!it)
            continue;
        const auto source = it->origin.empty() ? name : it->origin;
        lines.push_back({source, std::move(*it)});
    }
    return true;
}

/// Prints the timeline of one request. Log files are given as arguments or as --logs=A,B.
int explain_request(const command_context& c)
{
    auto files = c.options.logs;
    files.insert(files.end(), c.options.arguments.begin() + 2, c.options.arguments.end());
    std::vector<sourced_line> lines;
    for (const auto& it : files)
    {
        if (read_log(it, lines))
            continue;
        c.err << "kqgctl: " << it << " can't be read\n";
        return exit_bad_file;
    }
    if (files.empty())
    {
        c.err << "kqgctl: explain needs log files: --logs=FILE,FILE\n";
        return exit_usage;
    }
    const auto timeline = explain(c.argument(1), lines);
    c.out << to_text(c.argument(1), timeline);
    return timeline.lines.empty() ? exit_refused : exit_ok;
}

/// A command's name, its number of arguments including the name, and its function.
struct command
{
    std::string_view name;
    std::size_t min_arguments;
    std::size_t max_arguments;
    bool needs_api;
    int (*run)(const command_context&);
};

constexpr auto s_commands = std::to_array<command>({
    {"get", 2, 3, true, get},
    {"apply", 1, 1, true, apply},
    {"delete", 3, 3, true, erase},
    {"watch", 2, 2, true, watch},
    {"status", 1, 1, true, status},
    {"check", 2, 2, false, check},
    {"explain", 2, max_log_files + 2, false, explain_request},
});

} // namespace

int run_command(const command_options& options, std::ostream& out, std::ostream& err)
{
    const auto n = options.arguments.size();
    const auto it = std::ranges::find_if(s_commands,
                                         [&](const command& c)
                                         {
                                             return n > 0 && c.name == options.arguments[0] &&
                                                    n >= c.min_arguments && n <= c.max_arguments;
                                         });
    if (it == s_commands.end())
    {
        err << "kqgctl: get, apply, delete, watch, status, check or explain; see --help\n";
        return exit_usage;
    }
    if ((it->needs_api || options.against_live) &&
        common::parse_address(options.api_address).port == 0)
    {
        err << "kqgctl: --api=ip:port is missing or wrong\n";
        return exit_usage;
    }
    if (options.output != "table" && options.output != "json")
    {
        err << "kqgctl: --output is table or json\n";
        return exit_usage;
    }
    api_client api{options};
    return it->run({options, api, out, err});
}

} // namespace kumquatgap::ctl
