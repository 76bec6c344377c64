#pragma once

#include "config/finding.hpp"

#include <string>
#include <vector>

namespace kumquatgap::ctl
{

/// The exit statuses of a check.
enum check_status : int
{
    check_clean = 0,
    check_has_warnings = 1,
    check_has_errors = 2
};

/// What a check has found, and what would change.
struct check_report
{
    std::vector<config::finding> findings;
    /// Empty when there was no configuration to compare with.
    std::vector<config::difference> differences;
};

int exit_status_of(const check_report& report);
/// A line for each finding and difference, and a summary.
std::string to_text(const check_report& report);
std::string to_json_text(const check_report& report);
/// The report in the form `table` or `json`.
std::string format(const check_report& report, const std::string& output);

} // namespace kumquatgap::ctl
