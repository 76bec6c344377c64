#include "experts/popularity.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace kumquatgap::experts
{

namespace
{

double sum_of(const std::vector<double>& set)
{
    return std::accumulate(set.begin(), set.end(), 0.0);
}

double sum_of(const expert_loads& loads)
{
    return std::accumulate(loads.begin(), loads.end(), 0.0,
                           [](double sum, const auto& set) { return sum + sum_of(set); });
}

void add_to(expert_loads& loads, const std::vector<std::vector<std::int64_t>>& counts)
{
    if (loads.size() != counts.size())
        loads.assign(counts.size(), {});
    for (std::size_t s = 0; s < counts.size(); ++s)
    {
        loads[s].resize(std::max(loads[s].size(), counts[s].size()), 0);
        std::ranges::transform(counts[s], loads[s], loads[s].begin(),
                               [](std::int64_t n, double sum)
                               { return sum + static_cast<double>(n); });
    }
}

/// Subtracts loads element by element; the result is at least 0.
expert_loads subtract(expert_loads loads, const expert_loads& part)
{
    for (std::size_t s = 0; s < std::min(loads.size(), part.size()); ++s)
        std::ranges::transform(loads[s], part[s], loads[s].begin(),
                               [](double all, double n) { return std::max(0.0, all - n); });
    return loads;
}

} // namespace

double total_variation_distance(const expert_loads& a, const expert_loads& b)
{
    double sum = 0;
    const auto sets = std::min(a.size(), b.size());
    for (std::size_t s = 0; s < sets; ++s)
    {
        const auto all_a = sum_of(a[s]);
        const auto all_b = sum_of(b[s]);
        if (all_a <= 0 || all_b <= 0)
            continue;
        for (std::size_t e = 0; e < std::min(a[s].size(), b[s].size()); ++e)
            sum += std::abs(a[s][e] / all_a - b[s][e] / all_b) / 2;
    }
    return sets == 0 ? 0 : sum / static_cast<double>(sets);
}

void popularity::decay(timestamp now)
{
    const auto elapsed = static_cast<double>((now - m_decayed_at).count());
    const double factor = std::exp2(-elapsed / static_cast<double>(m_options.half_life.count()));
    m_decayed_at = now;
    for (auto& set : m_loads)
        std::ranges::transform(set, set.begin(), [factor](double n) { return n * factor; });
}

void popularity::add(const std::vector<std::vector<std::int64_t>>& counts, timestamp now)
{
    decay(now);
    add_to(m_loads, counts);
    add_to(m_window, counts);
    if (now - m_window_start >= m_options.window)
        close_window(now);
}

void popularity::clear()
{
    m_loads.clear();
    m_window.clear();
    m_changed_at = {};
}

bool popularity::has_enough_selections(const expert_loads& loads) const
{
    return !loads.empty() && sum_of(loads) >= m_options.min_selections_per_expert *
                                                  static_cast<double>(loads.size()) *
                                                  static_cast<double>(loads.front().size());
}

/// The distance between the window and the earlier selections; none when either has too few.
std::optional<double> popularity::window_distance() const
{
    if (!has_enough_selections(m_window))
        return std::nullopt;
    const auto before = subtract(m_loads, m_window);
    return has_enough_selections(before) ? std::optional{total_variation_distance(m_window, before)}
                                         : std::nullopt;
}

bool popularity::is_change(double distance) const
{
    return distance > std::max(m_options.min_change_distance,
                               m_options.change_threshold_factor * m_mean_distance);
}

bool popularity::may_be_changing() const
{
    const auto distance = window_distance();
    return distance && is_change(*distance);
}

void popularity::close_window(timestamp now)
{
    if (const auto distance = window_distance())
    {
        if (is_change(*distance))
            handle_demand_change(now);
        else
            m_mean_distance += m_options.distance_weight * (*distance - m_mean_distance);
    }
    m_window.clear();
    m_window_start = now;
}

void popularity::handle_demand_change(timestamp now)
{
    m_loads = m_window;
    // A change within a window is detected in that window and in the next one, but counts once.
    const auto elapsed = now - m_changed_at;
    if (m_changed_at != timestamp{} && elapsed <= 2 * m_options.window)
        return;
    if (m_changed_at != timestamp{})
        m_demand_duration_ms += m_options.demand_duration_weight *
                                (static_cast<double>(elapsed.count()) - m_demand_duration_ms);
    m_changed_at = now;
    ++m_changes;
}

milliseconds popularity::demand_duration(timestamp now) const
{
    const auto measured = milliseconds{std::llround(m_demand_duration_ms)};
    // A demand that has lasted longer than the mean is expected to last as long again.
    if (m_changed_at == timestamp{})
        return measured;
    return std::max(measured, std::chrono::duration_cast<milliseconds>(now - m_changed_at));
}

double popularity::total() const
{
    return sum_of(m_loads);
}

} // namespace kumquatgap::experts
