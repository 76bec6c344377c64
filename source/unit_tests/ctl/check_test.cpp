#include "ctl/check.hpp"
#include "ctl/command.hpp"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <unistd.h>
#include <vector>

using namespace kumquatgap;
using nlohmann::json;

namespace
{

json resource(const char* kind, const char* name, json spec)
{
    return {{"kind", kind}, {"name", name}, {"spec", std::move(spec)}};
}

/// A file without a fault. The positions of its resources are used below.
json sound_file()
{
    const std::string hash(64, 'a');
    return {
        resource("team", "shop", {{"member", "m"}, {"token_sha256", hash}}),
        resource("service", "chat", {{"type", "model"}, {"model", "large"}}),
        resource("target", "chat-1",
                 {{"service", "chat"},
                  {"host", "h1"},
                  {"data_centre", "a"},
                  {"agent", "127.0.0.1:9000"},
                  {"slots", 4}}),
        resource("share", "shop-chat", {{"team", "shop"}, {"service", "chat"}, {"percent", 60}}),
        resource("priority", "day",
                 {{"team", "shop"},
                  {"service", "chat"},
                  {"level", 2},
                  {"from", "08:00"},
                  {"to", "18:00"}}),
    };
}

/// A fault that is put into the sound file, and what the check must say about it.
struct planted_fault
{
    config::severity level;
    config::finding_code code;
    std::string place;
    std::function<void(json&)> plant;
};

using config::finding_code;
using enum config::severity;

std::vector<planted_fault> all_faults()
{
    return {
        {error, finding_code::malformed, "[5]", [](json& f) { f.push_back(7); }},
        {error, finding_code::malformed, "[3] x",
         [](json& f) { f[3] = resource("sharing", "x", json::object()); }},
        {error, finding_code::invalid_resource, "[3] share/shop-chat",
         [](json& f) { f[3]["spec"]["percent"] = 0; }},
        {error, finding_code::invalid_resource, "[3] share/shop-chat",
         [](json& f) { f[3]["spec"]["precent"] = 10; }},
        {error, finding_code::invalid_resource, "[4] priority/day",
         [](json& f) { f[4]["spec"].erase("level"); }},
        {error, finding_code::duplicate_entry, "[5] share/shop-chat",
         [](json& f) { f.push_back(f[3]); }},
        {error, finding_code::conflict, "[3] share/shop-chat",
         [](json& f) { f[3]["spec"]["service"] = "chats"; }},
        {error, finding_code::conflict, "[5] share/second",
         [](json& f)
         {
             f.push_back(f[3]);
             f[5]["name"] = "second";
         }},
        {error, finding_code::conflict, "[5] service/chat-2",
         [](json& f)
         {
             f.push_back(f[1]);
             f[5]["name"] = "chat-2";
         }},
        {warning, finding_code::no_target, "service/chat", [](json& f) { f.erase(2); }},
        {warning, finding_code::covered_rule, "priority/noon",
         [](json& f)
         {
             f.push_back(f[4]);
             f[5]["name"] = "noon";
             f[5]["spec"].update({{"level", 3}, {"from", "11:00"}, {"to", "13:00"}});
         }},
        {warning, finding_code::covered_rule, "priority/day",
         [](json& f) { f[4]["spec"]["level"] = 5; }},
    };
}

/// A file that is removed at the end of the test.
class temporary_file
{
public:
    explicit temporary_file(const std::string& text)
        : m_path{std::filesystem::temp_directory_path() /
                 ("kqg-check-" + std::to_string(::getpid()) + "-" + std::to_string(++s_count))}
    {
        std::ofstream{m_path} << text;
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;
    ~temporary_file() { std::filesystem::remove(m_path); }
    std::string path() const { return m_path.string(); }

private:
    static inline int s_count = 0;
    std::filesystem::path m_path;
};

struct run_result
{
    int status = 0;
    std::string out;
};

run_result run(const std::string& file, const std::string& against = "",
               const std::string& output = "table")
{
    std::ostringstream out;
    std::ostringstream err;
    ctl::command_options options;
    options.arguments = {"check", file};
    options.against = against;
    options.output = output;
    const int status = ctl::run_command(options, out, err);
    return {status, out.str()};
}

} // namespace

/// Guards against a check that reports what is right.
Test(check, sound_file_is_clean)
{
    const auto report = ctl::check_resources(sound_file().dump(), std::nullopt);
    cr_assert(report.findings.empty(), "%s", ctl::to_text(report).c_str());
}

/// Guards against a fault that is not found, is taken for another, or hides behind a second one.
Test(check, each_planted_fault_is_the_only_finding)
{
    for (const auto& it : all_faults())
    {
        auto file = sound_file();
        it.plant(file);
        const auto report = ctl::check_resources(file.dump(), std::nullopt);
        const auto text = ctl::to_text(report) + file.dump();
        cr_assert_eq(report.findings.size(), 1U, "%s", text.c_str());
        cr_assert(report.findings[0].level == it.level, "%s", text.c_str());
        cr_assert(report.findings[0].code == it.code, "%s", text.c_str());
        cr_assert_eq(report.findings[0].place, it.place, "%s", text.c_str());
    }
}

/// Guards against references to resources in force that count as missing.
Test(check, resources_in_force_are_referred_to_and_compared)
{
    const temporary_file in_force{sound_file().dump()};
    auto share = sound_file()[3];
    share["spec"]["percent"] = 80;
    const temporary_file file{share.dump()};
    cr_assert_eq(run(file.path()).status, 2, "alone, its team and service are missing");
    const auto result = run(file.path(), in_force.path());
    cr_assert_eq(result.status, 0, "%s", result.out.c_str());
    cr_assert(result.out.find("share/shop-chat: percent: 60 -> 80") != std::string::npos, "%s",
              result.out.c_str());
}

/// Guards against a file that was written from an older version of a resource.
Test(check, older_version_than_in_force_is_a_conflict)
{
    auto live = sound_file();
    live[3]["resourceVersion"] = "7";
    const auto in_force = ctl::read_resources(live.dump());
    auto share = live[3];
    cr_assert(ctl::check_resources(share.dump(), in_force).findings.empty());
    share["resourceVersion"] = "6";
    const auto report = ctl::check_resources(share.dump(), in_force);
    cr_assert_eq(report.findings.size(), 1U);
    cr_assert(report.findings[0].code == finding_code::conflict);
    share.erase("resourceVersion");
    cr_assert(ctl::check_resources(share.dump(), in_force).findings.empty());
}

Test(check, exit_status_tells_the_worst_finding)
{
    auto file = sound_file();
    cr_assert_eq(run(temporary_file{file.dump()}.path()).status, 0);
    file.erase(2);
    cr_assert_eq(run(temporary_file{file.dump()}.path()).status, 1);
    file[0].erase("spec");
    cr_assert_eq(run(temporary_file{file.dump()}.path()).status, 2);
    cr_assert_eq(run(temporary_file{"{"}.path()).status, 2);
    cr_assert_eq(run("/no/such/file").status, ctl::exit_bad_file);
}

Test(check, json_output_has_all_findings_and_changes)
{
    const temporary_file in_force{"[]"};
    auto file = sound_file();
    file.erase(2);
    const auto result = run(temporary_file{file.dump()}.path(), in_force.path(), "json");
    const auto report = json::parse(result.out);
    cr_assert_eq(report["findings"].size(), 1U);
    cr_assert_eq(report["findings"][0]["severity"], "warning");
    cr_assert_eq(report["findings"][0]["code"], "no_target");
    cr_assert_eq(report["findings"][0]["place"], "service/chat");
    cr_assert_eq(report["changes"].size(), 4U);
    cr_assert_eq(report["changes"][0], (json{{"place", "team/shop"}, {"text", "added"}}));
}
