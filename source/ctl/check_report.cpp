#include "ctl/check_report.hpp"

#include "common/text.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace kumquatgap::ctl
{

using config::severity;
using nlohmann::json;

namespace
{

std::ptrdiff_t count(const check_report& report, severity level)
{
    return std::ranges::count(report.findings, level, &config::finding::level);
}

} // namespace

int exit_status_of(const check_report& report)
{
    if (count(report, severity::error) > 0)
        return check_has_errors;
    return report.findings.empty() ? check_clean : check_has_warnings;
}

std::string to_text(const check_report& report)
{
    std::string out;
    for (const auto& it : report.findings)
        out += fmt::format("{:<8} {:<20} {}: {}\n", config::name_of(it.level),
                           config::name_of(it.code), it.place, it.text);
    for (const auto& it : report.differences)
        out += fmt::format("{:<8} {}: {}\n", "change", it.place, it.text);
    return out + common::concat(count(report, severity::error), " errors, ",
                                count(report, severity::warning), " warnings, ",
                                report.differences.size(), " changes\n");
}

std::string to_json_text(const check_report& report)
{
    auto findings = json::array();
    for (const auto& it : report.findings)
        findings.push_back({{"severity", config::name_of(it.level)},
                            {"code", config::name_of(it.code)},
                            {"place", it.place},
                            {"text", it.text}});
    auto changes = json::array();
    for (const auto& it : report.differences)
        changes.push_back({{"place", it.place}, {"text", it.text}});
    const json out = {{"findings", std::move(findings)}, {"changes", std::move(changes)}};
    // Names of a malformed file may not be UTF-8.
    return out.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
}

std::string format(const check_report& report, const std::string& output)
{
    return output == "json" ? to_json_text(report) : to_text(report);
}

} // namespace kumquatgap::ctl
