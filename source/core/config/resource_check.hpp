#pragma once

#include "config/finding.hpp"
#include "config/resource.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace kumquatgap::config
{

/// Checks a file of resources before `kqgctl apply` writes them: one resource, or a list that is
/// written in its order. Each is checked as its write is, against the resources in force and those
/// before it in the file.
class resource_check
{
public:
    /// `in_force` are the resources that the file's are added to.
    explicit resource_check(std::vector<resource> in_force = {});

    void run(const nlohmann::json& file);

    const std::vector<finding>& findings() const { return m_findings; }
    /// What the valid resources of the file change.
    const std::vector<difference>& differences() const { return m_differences; }
    /// The resources in force after the file's valid resources have been written.
    const std::vector<resource>& result() const { return m_resources; }

private:
    void add(const nlohmann::json& entry, const std::string& place);
    /// The resource in force with the same kind and name; nullptr when there is none.
    resource* find(const resource& it);
    void put(resource it);
    void compare(const resource* before, const resource& after);
    void check_targets();
    void check_priorities();
    void report(severity level, finding_code code, std::string place, std::string text);

    std::vector<resource> m_resources;
    /// `kind/name` of the resources that the file has written so far.
    std::vector<std::string> m_written;
    std::vector<finding> m_findings;
    std::vector<difference> m_differences;
};

} // namespace kumquatgap::config
