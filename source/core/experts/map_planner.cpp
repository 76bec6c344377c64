#include "experts/map_planner.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <ranges>

namespace kumquatgap::experts
{

map_improver::map_improver(const expert_map& current, const expert_loads& loads,
                           const plan_limits& limits, const rank_paces& paces)
    : m_limits{limits}, m_copied(current.empty() ? 0 : current.sets.front().size(), 0)
{
    m_sets.reserve(current.sets.size());
    for (std::size_t s = 0; s < current.sets.size(); ++s)
        m_sets.emplace_back(current.sets[s], loads[s], limits, paces);
}

bool map_improver::extend(std::size_t copies_per_rank)
{
    const auto best_of = [&](const set_planner& it)
    { return it.best_change(m_copied, copies_per_rank); };
    std::vector<std::optional<map_change>> best;
    best.reserve(m_sets.size());
    std::ranges::transform(m_sets, std::back_inserter(best), best_of);
    bool has_changed = false;
    for (; m_changes < m_limits.most_changes; ++m_changes)
    {
        const auto it = std::ranges::max_element(
            best, {}, [](const std::optional<map_change>& c) { return c ? c->gain_of_copy() : 0; });
        if (it == best.end() || !*it)
            break;
        auto& set = m_sets[static_cast<std::size_t>(it - best.begin())];
        // Another set may have used up the copies of its rank.
        const auto now = best_of(set);
        const bool is_still_best = now && now->gain_of_copy() >= (*it)->gain_of_copy();
        *it = now;
        if (!is_still_best)
            continue;
        set.apply(*now, m_copied);
        *it = best_of(set);
        has_changed = true;
    }
    return has_changed;
}

expert_map map_improver::map() const
{
    expert_map out;
    out.sets.reserve(m_sets.size());
    std::ranges::transform(m_sets, std::back_inserter(out.sets), &set_planner::map);
    return out;
}

double map_improver::skew() const
{
    const auto sum = std::accumulate(m_sets.begin(), m_sets.end(), 0.0,
                                     [](double n, const set_planner& it) { return n + it.skew(); });
    return m_sets.empty() ? 1 : sum / static_cast<double>(m_sets.size());
}

expert_map improve(const expert_map& current, const expert_loads& loads, const plan_limits& limits,
                   const rank_paces& paces)
{
    map_improver out{current, loads, limits, paces};
    out.extend(limits.new_per_rank);
    return out.map();
}

std::size_t best_switch_size(const std::vector<double>& skews, const switch_times& times)
{
    std::size_t best = 1;
    double least = std::numeric_limits<double>::max();
    for (std::size_t size = 1; size < skews.size(); ++size)
    {
        const auto copying_ms = static_cast<double>(size) * times.copy_ms;
        const auto whole_ms = copying_ms + times.overhead_ms;
        const auto slower_ms = copying_ms * (times.slower_while_copying - 1);
        double area = 0;
        double passed_ms = 0;
        for (std::size_t n = 0; passed_ms < times.horizon_ms; n += size)
        {
            // Once nothing is left to be improved, no switch follows.
            const bool is_done = n + 1 >= skews.size();
            const auto skew = skews[std::min(n, skews.size() - 1)];
            const auto ms = is_done ? times.horizon_ms - passed_ms
                                    : std::min(whole_ms, times.horizon_ms - passed_ms);
            area += skew * (is_done ? ms : ms * (whole_ms + slower_ms) / whole_ms);
            passed_ms += ms;
        }
        if (area < least)
        {
            least = area;
            best = size;
        }
    }
    return best;
}

std::optional<planned_switch> plan_switch(const expert_map& current, const expert_loads& loads,
                                          const plan_limits& limits, const rank_paces& paces,
                                          const switch_times& times)
{
    map_improver improver{current, loads, limits, paces};
    std::vector<double> skews{improver.skew()};
    std::vector<expert_map> maps;
    const auto most = std::min(limits.new_per_rank, limits.new_per_set * current.sets.size());
    for (std::size_t n = 1; n <= most && improver.extend(n); ++n)
    {
        skews.push_back(improver.skew());
        maps.push_back(improver.map());
    }
    if (maps.empty())
        return std::nullopt;
    const auto size = best_switch_size(skews, times);
    return planned_switch{std::move(maps[size - 1]), size, skews.front(), skews[size]};
}

} // namespace kumquatgap::experts
