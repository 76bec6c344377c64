#include "experts/choice_sum.hpp"

#include <algorithm>
#include <functional>

namespace kumquatgap::experts
{

choice_table chosen_since(const std::vector<std::int64_t>& before,
                          const std::vector<std::int64_t>& now, std::size_t sets)
{
    if (sets == 0 || before.size() != now.size() || now.size() % sets != 0 ||
        !std::ranges::equal(before, now, std::less_equal{}))
        return {};
    const auto experts = now.size() / sets;
    choice_table out(sets, std::vector<std::int64_t>(experts));
    for (std::size_t i = 0; i < now.size(); ++i)
        out[i / experts][i % experts] = now[i] - before[i];
    return out;
}

void choice_sum::add(std::int64_t epoch, const choice_table& choices)
{
    if (epoch < m_epoch || choices.empty())
        return;
    if (epoch > m_epoch || m_sum.size() != choices.size())
        m_sum.assign(choices.size(), {});
    m_epoch = epoch;
    for (std::size_t s = 0; s < choices.size(); ++s)
    {
        auto& sum = m_sum[s];
        sum.resize(std::max(sum.size(), choices[s].size()), 0);
        std::ranges::transform(choices[s], sum, sum.begin(), std::plus{});
    }
}

} // namespace kumquatgap::experts
