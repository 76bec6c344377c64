#include "policy/late_call_limit.hpp"

#include <algorithm>

namespace kumquatgap::policy
{

void late_call_limit::record_arrival(int priority, timestamp now)
{
    m_arrivals.push_back({now, priority});
    while (now - m_arrivals.front().at > m_options.arrival_window)
        m_arrivals.pop_front();
}

double late_call_limit::urgent_arrival_rate(int priority, timestamp now) const
{
    const auto n = std::ranges::count_if(
        m_arrivals, [&](const auto& it)
        { return it.priority < priority && now - it.at <= m_options.arrival_window; });
    return static_cast<double>(n) / std::chrono::duration<double>{m_options.arrival_window}.count();
}

void late_call_limit::started(std::uint64_t id, slot_use use)
{
    ended(id);
    m_uses.emplace(id, use);
    ++m_occupied[static_cast<std::size_t>(use)];
}

void late_call_limit::ended(std::uint64_t id)
{
    const auto it = m_uses.find(id);
    if (it == m_uses.end())
        return;
    --m_occupied[static_cast<std::size_t>(it->second)];
    m_uses.erase(it);
}

double late_call_limit::start_rate() const
{
    const std::chrono::duration<double> seconds = m_capacity.slot_time;
    return is_active() ? m_capacity.slots / seconds.count() : 0;
}

double late_call_limit::min_slots() const
{
    return std::max(1.0, m_options.min_fraction * m_capacity.slots);
}

double late_call_limit::limit(timestamp now) const
{
    const auto oldest =
        std::ranges::lower_bound(m_arrivals, now - m_options.arrival_window, {}, &arrival::at);
    const auto arrivals = static_cast<double>(m_arrivals.end() - oldest);
    const auto windows = std::chrono::duration<double>{m_capacity.slot_time} /
                         std::chrono::duration<double>{m_options.arrival_window};
    return std::max(min_slots(), m_capacity.slots - m_options.reserved_part * arrivals * windows);
}

/// The late calls that may start now. Slots of resumed calls do not reduce the least number.
double late_call_limit::room(timestamp now) const
{
    const auto late = static_cast<double>(occupied(slot_use::late));
    const auto resumed = static_cast<double>(occupied(slot_use::resumed));
    return std::max({0.0, limit(now) - late - resumed, min_slots() - late});
}

timestamp late_call_limit::predicted_start(std::size_t ahead, timestamp now) const
{
    if (!is_active())
        return now;
    const auto waiting = static_cast<double>(ahead) + 1 - room(now);
    if (waiting <= 0)
        return now;
    const std::chrono::duration<double, std::milli> slot_time = m_capacity.slot_time;
    return now + std::chrono::duration_cast<milliseconds>(slot_time * (waiting / limit(now)));
}

} // namespace kumquatgap::policy
