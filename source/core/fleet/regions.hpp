#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::fleet
{

/// The region of each data centre, by the data centre's name.
using region_table = std::map<std::string, std::string, std::less<>>;

/// The regions whose targets may serve a call. Without a restriction, all may.
class permitted_regions
{
public:
    permitted_regions() = default;
    /// An empty list is no restriction.
    explicit permitted_regions(const std::vector<std::string>& names);

    bool is_restricted() const { return m_names.has_value(); }
    /// True when targets in the region may serve the call. An empty region stands for an unknown
    /// one, which no restriction permits.
    bool permits(std::string_view region) const;
    /// The regions that both permit; it may permit none at all.
    permitted_regions intersected_with(const permitted_regions& other) const;

    /// The names, separated by commas; `any` without a restriction.
    std::string text() const;

    bool operator==(const permitted_regions&) const = default;

private:
    std::optional<std::set<std::string, std::less<>>> m_names;
};

} // namespace kumquatgap::fleet
