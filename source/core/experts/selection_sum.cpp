#include "experts/selection_sum.hpp"

#include <algorithm>
#include <functional>

namespace kumquatgap::experts
{

selection_counts selections_since(const std::vector<std::int64_t>& before,
                                  const std::vector<std::int64_t>& now, std::size_t sets)
{
    if (sets == 0 || before.size() != now.size() || now.size() % sets != 0 ||
        !std::ranges::equal(before, now, std::less_equal{}))
        return {};
    const auto experts = now.size() / sets;
    selection_counts out(sets, std::vector<std::int64_t>(experts));
    for (std::size_t i = 0; i < now.size(); ++i)
        out[i / experts][i % experts] = now[i] - before[i];
    return out;
}

void selection_sum::add(std::int64_t epoch, const selection_counts& counts)
{
    if (epoch < m_epoch || counts.empty())
        return;
    if (epoch > m_epoch || m_sum.size() != counts.size())
        m_sum.assign(counts.size(), {});
    m_epoch = epoch;
    for (std::size_t s = 0; s < counts.size(); ++s)
    {
        auto& sum = m_sum[s];
        sum.resize(std::max(sum.size(), counts[s].size()), 0);
        std::ranges::transform(counts[s], sum, sum.begin(), std::plus{});
    }
}

} // namespace kumquatgap::experts
