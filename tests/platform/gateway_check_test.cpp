#include "check_command.hpp"
#include "config/configuration_check.hpp"
#include "ctl/check_report.hpp"
#include "gateway_deployment.hpp"
#include "platform_wire.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <unistd.h>
#include <vector>

using namespace kumquatgap;
using common::milliseconds;
using config::finding_code;
using nlohmann::json;
using enum config::severity;

namespace
{

json route(const std::string& prefix, const char* kind, const char* service)
{
    return {{"name", "r" + prefix}, {"host", "site.example"}, {"prefix", prefix},
            {"routeType", kind},    {"timeoutMs", 2000},      {"goalMs", 200},
            {"priority", 1},        {"service", service},     {"maxAttempts", 2}};
}

/// A configuration without a fault.
json sound_configuration()
{
    return {{"version", 5},
            {"routes", {route("/read/", "safe", "plain"), route("/act/", "unsafe", "plain")}},
            {"services",
             json::array({{{"name", "plain"}, {"healthPath", "/health"}, {"maxConnections", 50}}})},
            {"limits", {{"maxHeaderBytes", 4096}, {"maxBodyBytes", 100'000}}},
            {"tenants",
             {{{"name", "shop"}, {"apiKeys", {"key-1", "key-2"}}},
              {{"name", "desk"}, {"apiKeys", json::array({"key-3"})}}}}};
}

config::gateway_limits limits()
{
    return {.grace = milliseconds{6000},
            .memory_bytes = std::size_t{64} << 20,
            .retries = policy::retry_limits{.ratio = 0.2, .extra = 20},
            .regions = fleet::region_table{{"east-a", "east"}, {"west-a", "west"}}};
}

ctl::check_report check(const json& file)
{
    const auto listing = platform::platform_adapter{}.list_configuration(file.dump());
    if (!listing)
        return {{{error, finding_code::malformed, "file", listing.error().detail}}, {}};
    return {config::configuration_check{limits()}.run(listing.value()), {}};
}

/// A fault that is put into the sound configuration, and what the check must say about it.
struct planted_fault
{
    config::severity level;
    finding_code code;
    std::string place;
    std::function<void(json&)> plant;
};

std::vector<planted_fault> all_faults()
{
    const std::string read = "routes[0] r/read/";
    const std::string act = "routes[1] r/act/";
    return {
        {error, finding_code::malformed, "file", [](json& c) { c = 7; }},
        {error, finding_code::malformed, "file", [](json& c) { c.erase("version"); }},
        {error, finding_code::malformed, "file", [](json& c) { c["routes"][0].erase("host"); }},
        {error, finding_code::malformed, "file",
         [](json& c) { c["tenants"][0]["apiKeys"][0] = 7; }},
        {error, finding_code::duplicate_route, "routes[2] r/read/",
         [](json& c)
         {
             c["routes"].push_back(c["routes"][0]);
             c["routes"][2]["host"] = "SITE.example:80";
         }},
        {error, finding_code::unreachable_route, read,
         [](json& c) { c["routes"][0]["prefix"] = "/read"; }},
        {error, finding_code::unreachable_route, read,
         [](json& c) { c["routes"][0]["prefix"] = "read/"; }},
        {error, finding_code::unknown_service, act,
         [](json& c) { c["routes"][1]["service"] = "other"; }},
        {error, finding_code::no_service, act, [](json& c) { c["routes"][1].erase("service"); }},
        {warning, finding_code::zero_share, read,
         [](json& c)
         {
             c["services"].push_back({{"name", "spare"}});
             c["routes"][0]["backends"] = {{{"service", "plain"}, {"weight", 1}},
                                           {{"service", "spare"}, {"weight", 0}}};
         }},
        {error, finding_code::no_permitted_region, read,
         [](json& c) { c["routes"][0]["allowedRegions"] = {"north"}; }},
        {error, finding_code::no_permitted_region, "tenants desk",
         [](json& c) { c["tenants"][1]["allowedRegions"] = {"north"}; }},
        {warning, finding_code::no_permitted_region, read,
         [](json& c)
         {
             c["routes"][0]["allowedRegions"] = {"east"};
             c["tenants"][1]["allowedRegions"] = {"west"};
         }},
        {error, finding_code::out_of_range, read, [](json& c) { c["routes"][0]["timeoutMs"] = 0; }},
        {error, finding_code::out_of_range, read, [](json& c) { c["routes"][0]["goalMs"] = -1; }},
        {error, finding_code::out_of_range, read,
         [](json& c) { c["routes"][0]["maxAttempts"] = 0; }},
        {error, finding_code::out_of_range, "limits",
         [](json& c) { c["limits"]["maxBodyBytes"] = -1; }},
        {error, finding_code::out_of_range, "limits",
         [](json& c) { c["limits"]["idleTimeoutMs"] = 0; }},
        {error, finding_code::out_of_range, "services plain",
         [](json& c) {
             c["services"][0]["engine"] = {{"slots", 0}};
         }},
        {error, finding_code::goal_over_timeout, read,
         [](json& c) { c["routes"][0]["goalMs"] = 2001; }},
        {warning, finding_code::timeout_over_grace, act,
         [](json& c) { c["routes"][1]["timeoutMs"] = 6001; }},
        {error, finding_code::limits_over_memory, "limits",
         [](json& c) { c["limits"]["maxBodyBytes"] = 64 << 20; }},
        {error, finding_code::retries_over_budget, read,
         [](json& c) { c["routes"][0]["maxAttempts"] = 40; }},
        {error, finding_code::duplicate_entry, "services[1] plain",
         [](json& c) { c["services"].push_back(c["services"][0]); }},
        {error, finding_code::duplicate_entry, "tenants[2] desk",
         [](json& c) {
             c["tenants"].push_back({{"name", "desk"}, {"apiKeys", json::array({"key-4"})}});
         }},
        {error, finding_code::duplicate_key, "tenants desk",
         [](json& c) { c["tenants"][1]["apiKeys"].push_back("key-1"); }},
        {warning, finding_code::duplicate_key, "tenants shop",
         [](json& c) { c["tenants"][0]["apiKeys"].push_back("key-1"); }},
        {error, finding_code::no_key, "tenants desk",
         [](json& c) { c["tenants"][1]["apiKeys"].push_back(""); }},
        {warning, finding_code::no_key, "tenants desk",
         [](json& c) { c["tenants"][1]["apiKeys"] = json::array(); }},
    };
}

template <class T>
T pick(std::initializer_list<T> from)
{
    // With braces, the list would become a single JSON array.
    return *rc::gen::elementOf(std::vector<T>(from));
}

/// True in one of 25 cases, and less often for the first and smallest configurations: RapidCheck
/// begins with the least value.
bool is_faulty()
{
    constexpr int cases = 25;
    return *rc::gen::inRange(0, cases) == cases - 1;
}

/// A sound value, or now and then one of the faulty ones.
template <class T>
T mostly(std::initializer_list<T> sound, std::initializer_list<T> faulty)
{
    return pick(is_faulty() ? faulty : sound);
}

/// A route with random fields.
json arbitrary_route(const std::string& name)
{
    auto out = route(mostly<std::string>({"/", "/a/", "/b/", "/a/b/", "//"}, {"/a", "", "a/"}),
                     pick({"safe", "unsafe", "streaming"}), mostly({"plain", "spare"}, {"other"}));
    out["name"] = name;
    out["host"] = mostly<json>({"a.example", "A.example:80", "b.example", "c.example"}, {"", 7});
    out["timeoutMs"] = mostly<json>({2000, 500.5}, {0, -1, 1e300, "2000"});
    out["goalMs"] = mostly<json>({200, 0}, {3000, nullptr, -1});
    out["maxAttempts"] = mostly<json>({1, 2}, {0, 1e9, "2"});
    if (*rc::gen::inRange(0, 4) == 0)
        out["backends"] =
            mostly<json>({json::array(), json::array({{{"service", "plain"}, {"weight", 1}}}),
                          json::array({{{"service", "plain"}, {"weight", -1}}})},
                         {json::array({7}), json::array({{{"service", "other"}, {"weight", 1}}})});
    if (is_faulty())
        out.erase(pick<std::string>({"host", "service", "routeType", "goalMs"}));
    return out;
}

/// A configuration with random entries, some of them with a fault.
json arbitrary_configuration()
{
    json out = {{"version", *rc::gen::inRange(0, 9)},
                {"services", json::array({{{"name", "plain"}}, {{"name", "spare"}}})},
                {"routes", json::array()}};
    const auto routes = *rc::gen::inRange(0, 4);
    for (int i = 0; i < routes; ++i)
        out["routes"].push_back(arbitrary_route("r" + std::to_string(i)));
    if (*rc::gen::arbitrary<bool>())
        out["tenants"] = json::array(
            {{{"name", "shop"}, {"apiKeys", json::array({mostly<json>({"k", "l"}, {"", 7})})}},
             {{"name", "desk"}, {"apiKeys", json::array({pick<json>({"k", "m", "n"})})}}});
    if (*rc::gen::inRange(0, 4) == 0)
        out["limits"] = {{"maxBodyBytes", mostly<json>({100, 5000}, {0, -1, 1e12, "100"})}};
    return out;
}

/// What an accepted configuration must be like in a gateway: in force, with each of its routes and
/// keys.
void check_loaded(const json& file)
{
    const auto loaded = platform::platform_adapter{}.read_configuration(file.dump());
    RC_ASSERT(loaded.has_value());
    RC_ASSERT(loaded->version == file["version"].get<std::int64_t>());
    for (const auto& it : file["routes"])
    {
        const auto path = it["prefix"].get<std::string>() + "x";
        const auto* found = loaded->find_route(it["host"].get<std::string>(), path);
        RC_ASSERT(found != nullptr);
        RC_ASSERT(found->name == it["name"].get<std::string>());
        RC_ASSERT(loaded->services.contains(fleet::pick_service(*found, 0)));
        RC_ASSERT(found->timeout.count() > 0);
    }
    for (const auto& team : file.value("tenants", json::array()))
    {
        for (const auto& key : team["apiKeys"])
        {
            const auto* found = loaded->find_team(key.get<std::string>());
            RC_ASSERT(found != nullptr);
            RC_ASSERT(found->name == team["name"].get<std::string>());
        }
    }
}

/// Writes the text to a file of this process and returns its path.
std::string write_file(const std::string& name, const std::string& text)
{
    const auto path = std::filesystem::temp_directory_path() /
                      ("kqg-check-" + std::to_string(::getpid()) + "-" + name);
    std::ofstream{path} << text;
    return path.string();
}

struct run_result
{
    int status = 0;
    std::string out;
};

run_result run(const platform::check_options& options)
{
    std::ostringstream out;
    std::ostringstream err;
    const int status = platform::run_check(options, out, err);
    for (const auto& path : {options.file, options.against, options.settings})
        std::filesystem::remove(path);
    return {status, out.str()};
}

} // namespace

/// Guards against a check that reports what is right.
Test(gateway_check, sound_configuration_is_clean)
{
    const auto report = check(sound_configuration());
    cr_assert(report.findings.empty(), "%s", ctl::to_text(report).c_str());
}

/// Guards against a fault that is not found, is taken for another, or hides behind a second one.
Test(gateway_check, each_planted_fault_is_the_only_finding)
{
    for (const auto& it : all_faults())
    {
        auto file = sound_configuration();
        it.plant(file);
        const auto report = check(file);
        const auto text = ctl::to_text(report) + file.dump();
        cr_assert_eq(report.findings.size(), 1U, "%s", text.c_str());
        cr_assert(report.findings[0].level == it.level, "%s", text.c_str());
        cr_assert(report.findings[0].code == it.code, "%s", text.c_str());
        cr_assert_eq(report.findings[0].place, it.place, "%s", text.c_str());
    }
}

/// Guards against a configuration that passes the check and is then refused by the gateways, or
/// differs there from what its file says.
Test(gateway_check, gateways_load_what_the_check_accepts)
{
    std::size_t accepted_routes = 0;
    const bool holds = rc::check(
        [&]
        {
            const auto file = arbitrary_configuration();
            const auto report = check(file);
            if (ctl::exit_status_of(report) == ctl::check_has_errors)
                return;
            accepted_routes += file["routes"].size();
            check_loaded(file);
        });
    cr_assert(holds);
    cr_assert_gt(accepted_routes, 500U, "too few to show anything: %zu", accepted_routes);
}

Test(gateway_check, exit_status_tells_the_worst_finding)
{
    auto file = sound_configuration();
    cr_assert_eq(run({.file = write_file("a", file.dump())}).status, 0);
    file["tenants"][1]["apiKeys"] = json::array();
    cr_assert_eq(run({.file = write_file("b", file.dump())}).status, 1);
    file["routes"][0]["service"] = "other";
    cr_assert_eq(run({.file = write_file("c", file.dump())}).status, 2);
    cr_assert_eq(run({.file = write_file("d", "{")}).status, 2);
    cr_assert_eq(run({.file = "/no/such/file"}).status, 66);
}

/// Guards against a version that gateways ignore, and against keys in the output.
Test(gateway_check, json_output_compares_with_the_version_in_force)
{
    const auto in_force = sound_configuration();
    auto next = in_force;
    next["routes"][0]["timeoutMs"] = 1500;
    next["routes"].erase(1);
    next["tenants"][1]["apiKeys"] = json::array({"key-9"});
    const auto stale = run({.file = write_file("a", next.dump()),
                            .against = write_file("b", in_force.dump()),
                            .output = "json"});
    cr_assert_eq(stale.status, 2);
    cr_assert_eq(json::parse(stale.out)["findings"][0]["code"], "stale_version");
    next["version"] = 6;
    const auto result = run({.file = write_file("a", next.dump()),
                             .against = write_file("b", in_force.dump()),
                             .output = "json"});
    cr_assert_eq(result.status, 0, "%s", result.out.c_str());
    cr_assert(result.out.find("key-") == std::string::npos);
    const json expected = {
        {{"place", "version"}, {"text", "5 -> 6"}},
        {{"place", "routes site.example /act/"}, {"text", "removed"}},
        {{"place", "routes site.example /read/"}, {"text", "timeout: 2000 ms -> 1500 ms"}},
        {{"place", "tenants desk"}, {"text", "keys: 1 added, 1 removed"}}};
    cr_assert_eq(json::parse(result.out)["changes"], expected, "%s", result.out.c_str());
}

/// Guards against a comparison with another configuration than the gateways follow.
Test(gateway_check, configuration_in_the_store_is_compared_with)
{
    platform_tests::gateway_deployment deployment{1};
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    const auto file = write_file("a", deployment.config(6).dump());
    const auto log = write_file("out", "");
    failures::process check{{std::string{BINARY_FOLDER} + "/kqg-check", file,
                             "--against_store=" + deployment.store().address()},
                            log};
    cr_assert(deployment.wait_until([&] { return check.has_ended(); }));
    cr_assert_eq(check.wait(), 0);
    std::ifstream lines{log};
    std::string first;
    std::getline(lines, first);
    cr_assert_eq(first, "change   version: 5 -> 6", "%s", first.c_str());
    std::filesystem::remove(file);
    std::filesystem::remove(log);
}

/// The grace period and the retry budget are those of the gateways' settings file.
Test(gateway_check, limits_are_read_from_the_settings)
{
    const std::string settings =
        "[process]\nhost = g\ndata_centre = a\nlog_level = info\ndeployment_token = t\n"
        "[store]\naddress = 127.0.0.1:1\ntimeout_ms = 800\n"
        "[gateway]\nlisten = 127.0.0.1:2\nready_listen = 127.0.0.1:3\ngrace_ms = 1000\n"
        "[retries]\nratio = 0.2\nextra = 20\nwindow_ms = 10000\n";
    const auto result = run({.file = write_file("a", sound_configuration().dump()),
                             .settings = write_file("b", settings)});
    cr_assert_eq(result.status, 1, "%s", result.out.c_str());
    cr_assert(result.out.find("timeout_over_grace") != std::string::npos);
}
