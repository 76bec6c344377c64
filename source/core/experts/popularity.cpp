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

void add_to(expert_loads& loads, const std::vector<std::vector<std::int64_t>>& choices)
{
    if (loads.size() != choices.size())
        loads.assign(choices.size(), {});
    for (std::size_t s = 0; s < choices.size(); ++s)
    {
        loads[s].resize(std::max(loads[s].size(), choices[s].size()), 0);
        std::ranges::transform(choices[s], loads[s], loads[s].begin(),
                               [](std::int64_t n, double sum)
                               { return sum + static_cast<double>(n); });
    }
}

/// The loads less a part of them; nothing becomes less than 0.
expert_loads without(expert_loads loads, const expert_loads& part)
{
    for (std::size_t s = 0; s < std::min(loads.size(), part.size()); ++s)
        std::ranges::transform(loads[s], part[s], loads[s].begin(),
                               [](double all, double n) { return std::max(0.0, all - n); });
    return loads;
}

} // namespace

double difference_of(const expert_loads& a, const expert_loads& b)
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

void popularity::age(timestamp now)
{
    const auto passed = static_cast<double>((now - m_aged_at).count());
    const double factor = std::exp2(-passed / static_cast<double>(m_options.half_life.count()));
    m_aged_at = now;
    for (auto& set : m_loads)
        std::ranges::transform(set, set.begin(), [factor](double n) { return n * factor; });
}

void popularity::add(const std::vector<std::vector<std::int64_t>>& choices, timestamp now)
{
    age(now);
    add_to(m_loads, choices);
    add_to(m_window, choices);
    if (now - m_window_began >= m_options.window)
        close_window(now);
}

void popularity::clear()
{
    m_loads.clear();
    m_window.clear();
    m_changed_at = {};
}

bool popularity::is_enough(const expert_loads& loads) const
{
    return !loads.empty() && sum_of(loads) >= m_options.least_choices_per_expert *
                                                  static_cast<double>(loads.size()) *
                                                  static_cast<double>(loads.front().size());
}

/// How much the newest choices differ from those before them; none when either are too few.
std::optional<double> popularity::difference_of_window() const
{
    if (!is_enough(m_window))
        return std::nullopt;
    const auto before = without(m_loads, m_window);
    return is_enough(before) ? std::optional{difference_of(m_window, before)} : std::nullopt;
}

bool popularity::is_change(double difference) const
{
    return difference > std::max(m_options.least_difference,
                                 m_options.times_usual_difference * m_usual_difference);
}

bool popularity::may_be_changing() const
{
    const auto difference = difference_of_window();
    return difference && is_change(*difference);
}

void popularity::close_window(timestamp now)
{
    if (const auto difference = difference_of_window())
    {
        if (is_change(*difference))
            demand_changed(now);
        else
            m_usual_difference += m_options.difference_weight * (*difference - m_usual_difference);
    }
    m_window.clear();
    m_window_began = now;
}

void popularity::demand_changed(timestamp now)
{
    m_loads = m_window;
    // A change shows in two windows when it falls into one of them.
    const auto since = now - m_changed_at;
    if (m_changed_at != timestamp{} && since <= 2 * m_options.window)
        return;
    if (m_changed_at != timestamp{})
        m_life_ms += m_options.life_weight * (static_cast<double>(since.count()) - m_life_ms);
    m_changed_at = now;
    ++m_changes;
}

milliseconds popularity::life(timestamp now) const
{
    const auto measured = milliseconds{std::llround(m_life_ms)};
    // A demand that has lasted for longer than those before it may do so on.
    if (m_changed_at == timestamp{})
        return measured;
    return std::max(measured, std::chrono::duration_cast<milliseconds>(now - m_changed_at));
}

double popularity::total() const
{
    return sum_of(m_loads);
}

} // namespace kumquatgap::experts
