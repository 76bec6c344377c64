#include "fleet/regions.hpp"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <iterator>

namespace kumquatgap::fleet
{

permitted_regions::permitted_regions(const std::vector<std::string>& names)
{
    if (!names.empty())
        m_names.emplace(names.begin(), names.end());
}

bool permitted_regions::permits(std::string_view region) const
{
    return !m_names || (!region.empty() && m_names->contains(region));
}

permitted_regions permitted_regions::intersected_with(const permitted_regions& other) const
{
    if (!m_names)
        return other;
    if (!other.m_names)
        return *this;
    permitted_regions out;
    out.m_names.emplace();
    std::ranges::set_intersection(*m_names, *other.m_names,
                                  std::inserter(*out.m_names, out.m_names->end()));
    return out;
}

std::string permitted_regions::text() const
{
    return m_names ? absl::StrJoin(*m_names, ", ") : "any";
}

} // namespace kumquatgap::fleet
