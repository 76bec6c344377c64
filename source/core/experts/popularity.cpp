#include "experts/popularity.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kumquatgap::experts
{

void popularity::age(common::timestamp now)
{
    const auto passed = static_cast<double>((now - m_aged_at).count());
    const double factor = std::exp2(-passed / static_cast<double>(m_half_life.count()));
    m_aged_at = now;
    for (auto& set : m_loads)
        std::ranges::transform(set, set.begin(), [factor](double n) { return n * factor; });
}

void popularity::add(const std::vector<std::vector<std::int64_t>>& choices, common::timestamp now)
{
    age(now);
    if (m_loads.size() != choices.size())
        m_loads.assign(choices.size(), {});
    for (std::size_t s = 0; s < choices.size(); ++s)
    {
        m_loads[s].resize(std::max(m_loads[s].size(), choices[s].size()), 0);
        std::ranges::transform(choices[s], m_loads[s], m_loads[s].begin(),
                               [](std::int64_t n, double sum)
                               { return sum + static_cast<double>(n); });
    }
}

double popularity::total() const
{
    return std::accumulate(m_loads.begin(), m_loads.end(), 0.0,
                           [](double sum, const auto& set)
                           { return std::accumulate(set.begin(), set.end(), sum); });
}

} // namespace kumquatgap::experts
