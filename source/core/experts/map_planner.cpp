#include "experts/map_planner.hpp"

#include <algorithm>
#include <limits>
#include <numeric>
#include <ranges>

namespace kumquatgap::experts
{

map_optimizer::map_optimizer(const expert_map& current, const expert_loads& loads,
                             const plan_limits& limits, const rank_slowdowns& slowdowns)
    : m_limits{limits}, m_copied(current.empty() ? 0 : current.sets.front().size(), 0)
{
    m_sets.reserve(current.sets.size());
    for (std::size_t s = 0; s < current.sets.size(); ++s)
        m_sets.emplace_back(current.sets[s], loads[s], limits, slowdowns);
}

bool map_optimizer::apply_best_changes(std::size_t copies_per_rank)
{
    const auto find_best = [&](const set_planner& it)
    { return it.best_change(m_copied, copies_per_rank); };
    std::vector<std::optional<map_change>> best;
    best.reserve(m_sets.size());
    std::ranges::transform(m_sets, std::back_inserter(best), find_best);
    bool has_changed = false;
    for (; m_change_count < m_limits.max_changes; ++m_change_count)
    {
        const auto it = std::ranges::max_element(best, {},
                                                 [](const std::optional<map_change>& c)
                                                 { return c ? c->gain_per_copy() : 0; });
        if (it == best.end() || !*it)
            break;
        auto& set = m_sets[static_cast<std::size_t>(it - best.begin())];
        // Changes of other sets may have used up the copies of a rank since this one was computed.
        const auto updated = find_best(set);
        const bool is_still_best = updated && updated->gain_per_copy() >= (*it)->gain_per_copy();
        *it = updated;
        if (!is_still_best)
            continue;
        set.apply(*updated, m_copied);
        *it = find_best(set);
        has_changed = true;
    }
    return has_changed;
}

expert_map map_optimizer::map() const
{
    expert_map out;
    out.sets.reserve(m_sets.size());
    std::ranges::transform(m_sets, std::back_inserter(out.sets), &set_planner::map);
    return out;
}

double map_optimizer::skew() const
{
    const auto sum = std::accumulate(m_sets.begin(), m_sets.end(), 0.0,
                                     [](double n, const set_planner& it) { return n + it.skew(); });
    return m_sets.empty() ? 1 : sum / static_cast<double>(m_sets.size());
}

expert_map optimize_map(const expert_map& current, const expert_loads& loads,
                        const plan_limits& limits, const rank_slowdowns& slowdowns)
{
    map_optimizer out{current, loads, limits, slowdowns};
    out.apply_best_changes(limits.max_copies_per_rank);
    return out.map();
}

std::size_t best_switch_size(const std::vector<double>& skews, const switch_times& times)
{
    std::size_t best = 1;
    double min_integral = std::numeric_limits<double>::max();
    for (std::size_t size = 1; size < skews.size(); ++size)
    {
        const auto copying_ms = static_cast<double>(size) * times.copy_ms;
        const auto switch_ms = copying_ms + times.overhead_ms;
        const auto extra_copying_ms = copying_ms * (times.copying_slowdown - 1);
        double skew_integral = 0;
        double elapsed_ms = 0;
        for (std::size_t n = 0; elapsed_ms < times.horizon_ms; n += size)
        {
            // No switch follows the last improvement.
            const bool is_final = n + 1 >= skews.size();
            const auto skew = skews[std::min(n, skews.size() - 1)];
            const auto ms = is_final ? times.horizon_ms - elapsed_ms
                                     : std::min(switch_ms, times.horizon_ms - elapsed_ms);
            skew_integral +=
                skew * (is_final ? ms : ms * (switch_ms + extra_copying_ms) / switch_ms);
            elapsed_ms += ms;
        }
        if (skew_integral < min_integral)
        {
            min_integral = skew_integral;
            best = size;
        }
    }
    return best;
}

std::optional<planned_switch> plan_switch(const expert_map& current, const expert_loads& loads,
                                          const plan_limits& limits,
                                          const rank_slowdowns& slowdowns,
                                          const switch_times& times)
{
    map_optimizer optimizer{current, loads, limits, slowdowns};
    std::vector<double> skews{optimizer.skew()};
    std::vector<expert_map> maps;
    const auto max_size =
        std::min(limits.max_copies_per_rank, limits.max_copies_per_set * current.sets.size());
    for (std::size_t n = 1; n <= max_size && optimizer.apply_best_changes(n); ++n)
    {
        skews.push_back(optimizer.skew());
        maps.push_back(optimizer.map());
    }
    if (maps.empty())
        return std::nullopt;
    const auto size = best_switch_size(skews, times);
    return planned_switch{std::move(maps[size - 1]), size, skews.front(), skews[size]};
}

} // namespace kumquatgap::experts
