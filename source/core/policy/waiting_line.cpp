#include "policy/waiting_line.hpp"

#include <algorithm>

namespace kumquatgap::policy
{

namespace
{

constexpr double ms_per_s = 1000;

milliseconds part_of(milliseconds d, double part)
{
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(d.count()) * part)};
}

} // namespace

void waiting_line::add(const waiting_call& call, timestamp now)
{
    if (m_calls.empty())
        m_waits_since = now;
    m_calls.insert_or_assign(call.id, call);
}

void waiting_line::put_back(const waiting_call& call, timestamp now)
{
    add(call, now);
}

void waiting_line::resume(timestamp now)
{
    m_halted_places.reset();
    m_waits_since = now;
    m_starts.clear();
}

std::optional<double> waiting_line::start_rate(timestamp now) const
{
    const auto measured = std::min(m_options.rate_window,
                                   std::chrono::duration_cast<milliseconds>(now - m_waits_since));
    if (m_calls.empty() || measured < m_options.shortest_measure)
        return std::nullopt;
    const auto n =
        std::ranges::count_if(m_starts, [&](timestamp at) { return now - at <= measured; });
    const auto rate = static_cast<double>(n) * ms_per_s / static_cast<double>(measured.count());
    return std::max(rate, m_options.least_rate);
}

milliseconds waiting_line::retry_after(timestamp now, double draw) const
{
    const auto rate = start_rate(now);
    // A group takes a second and more to form.
    if (m_halted_places)
        return part_of(m_options.longest_retry_after, (1 + draw) / 2);
    const auto drain_ms = rate ? static_cast<double>(m_calls.size()) / *rate * ms_per_s : 0;
    const auto lowest = static_cast<double>(m_options.shortest_retry_after.count());
    const auto highest = static_cast<double>(m_options.longest_retry_after.count());
    // Returns are spread over as long again as the line takes.
    const auto ms = std::clamp(drain_ms, lowest, highest / 2) * (1 + draw);
    return milliseconds{static_cast<std::int64_t>(ms)};
}

std::optional<milliseconds> waiting_line::offer(const waiting_call& call, timestamp now,
                                                double draw)
{
    if (m_halted_places && m_calls.size() >= *m_halted_places)
        return retry_after(now, draw);
    const auto before = std::ranges::count_if(m_calls, [&](const auto& it)
                                              { return it.second.priority <= call.priority; });
    const auto rate = m_halted_places ? std::nullopt : start_rate(now);
    const auto wait_ms = rate ? static_cast<double>(before) / *rate * ms_per_s : 0;
    const auto most = part_of(call.deadline - call.arrived, m_options.refused_wait_part);
    if (wait_ms > static_cast<double>(most.count()))
        return retry_after(now, draw);
    add(call, now);
    return std::nullopt;
}

bool waiting_line::goes_before(const waiting_call& a, const waiting_call& b, timestamp now) const
{
    const bool a_in_time = now <= a.in_time_until;
    const bool b_in_time = now <= b.in_time_until;
    if (a_in_time != b_in_time)
        return a_in_time;
    if (a.priority != b.priority)
        return a.priority < b.priority;
    return a_in_time ? a.in_time_until < b.in_time_until : a.deadline < b.deadline;
}

std::optional<std::uint64_t> waiting_line::next(timestamp now) const
{
    const auto it = std::ranges::min_element(m_calls, [&](const auto& a, const auto& b)
                                             { return goes_before(a.second, b.second, now); });
    return it == m_calls.end() ? std::nullopt : std::optional{it->first};
}

void waiting_line::started(std::uint64_t id, timestamp now)
{
    m_calls.erase(id);
    m_starts.push_back(now);
    while (now - m_starts.front() > m_options.rate_window)
        m_starts.pop_front();
}

std::vector<std::uint64_t> waiting_line::take_expired(timestamp now)
{
    std::vector<std::uint64_t> out;
    for (const auto& [id, it] : m_calls)
    {
        if (now - it.arrived > part_of(it.deadline - it.arrived, m_options.longest_wait_part))
            out.push_back(id);
    }
    for (const auto id : out)
        m_calls.erase(id);
    return out;
}

std::vector<std::uint64_t> waiting_line::take_hopeless(timestamp back_at)
{
    std::vector<std::uint64_t> out;
    for (const auto& [id, it] : m_calls)
    {
        if (it.deadline < back_at)
            out.push_back(id);
    }
    for (const auto id : out)
        m_calls.erase(id);
    return out;
}

} // namespace kumquatgap::policy
