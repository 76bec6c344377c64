#include "experts/expert_map.hpp"

#include <algorithm>
#include <numeric>

namespace kumquatgap::experts
{

std::vector<double> rank_loads(const expert_set_map& map, const std::vector<double>& loads)
{
    std::vector<int> replicas(loads.size(), 0);
    for (const auto& rank : map)
    {
        for (const int e : rank)
            ++replicas[static_cast<std::size_t>(e)];
    }
    std::vector<double> out;
    out.reserve(map.size());
    for (const auto& rank : map)
    {
        out.push_back(std::accumulate(rank.begin(), rank.end(), 0.0,
                                      [&](double sum, int e)
                                      {
                                          const auto i = static_cast<std::size_t>(e);
                                          return sum + loads[i] / replicas[i];
                                      }));
    }
    return out;
}

double slowdown_of(const rank_slowdowns& slowdowns, std::size_t rank)
{
    return rank < slowdowns.size() ? slowdowns[rank] : 1;
}

double skew(const expert_map& map, const expert_loads& loads, const rank_slowdowns& slowdowns)
{
    double sum = 0;
    for (std::size_t s = 0; s < map.sets.size(); ++s)
    {
        const auto by_rank = rank_loads(map.sets[s], loads[s]);
        const double total = std::accumulate(by_rank.begin(), by_rank.end(), 0.0);
        double max_time = 0;
        for (std::size_t r = 0; r < by_rank.size(); ++r)
            max_time = std::max(max_time, by_rank[r] * slowdown_of(slowdowns, r));
        sum += total == 0 ? 1 : max_time * static_cast<double>(by_rank.size()) / total;
    }
    return map.sets.empty() ? 1 : sum / static_cast<double>(map.sets.size());
}

std::size_t max_copy_count(const expert_map& from, const expert_map& to)
{
    std::size_t max_copies = 0;
    for (std::size_t s = 0; s < to.sets.size(); ++s)
    {
        for (std::size_t r = 0; r < to.sets[s].size(); ++r)
        {
            const auto& old = from.sets[s][r];
            const auto n = std::ranges::count_if(
                to.sets[s][r], [&](int e) { return std::ranges::find(old, e) == old.end(); });
            max_copies = std::max(max_copies, static_cast<std::size_t>(n));
        }
    }
    return max_copies;
}

} // namespace kumquatgap::experts
