#pragma once

#include "config/resource.hpp"
#include "ctl/check_report.hpp"

#include <optional>
#include <string>
#include <vector>

namespace kumquatgap::ctl
{

/// The contents of a file, or of the standard input for `-`; none when it can't be read.
std::optional<std::string> read_file(const std::string& path);

/// Reads the resources of a file or of an API's list; none when one of them is wrong.
std::optional<std::vector<config::resource>> read_resources(const std::string& text);

/// Checks the text of a file of resources. Without `in_force` nothing is compared, and the file
/// must hold all resources that its own refer to.
check_report check_resources(const std::string& text,
                             const std::optional<std::vector<config::resource>>& in_force);

} // namespace kumquatgap::ctl
