#include "policy/late_call_limit.hpp"

#include <algorithm>

namespace kumquatgap::policy
{

void late_call_limit::record_arrival(timestamp now)
{
    m_arrivals.push_back(now);
    while (now - m_arrivals.front() > m_options.arrival_window)
        m_arrivals.pop_front();
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

double late_call_limit::min_slots() const
{
    return std::max(1.0, m_options.min_fraction * m_capacity.slots);
}

double late_call_limit::limit(timestamp now) const
{
    const auto oldest = std::ranges::lower_bound(m_arrivals, now - m_options.arrival_window);
    const auto arrivals = static_cast<double>(m_arrivals.end() - oldest);
    const auto windows = std::chrono::duration<double>{m_capacity.slot_time} /
                         std::chrono::duration<double>{m_options.arrival_window};
    return std::max(min_slots(), m_capacity.slots - arrivals * windows);
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
