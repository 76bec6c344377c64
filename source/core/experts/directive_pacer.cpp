#include "experts/directive_pacer.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquatgap::experts
{

namespace
{

constexpr double ms_per_s = 1000;

} // namespace

bool directive_pacer::was_told(rank_number rank, std::int64_t directive_number) const
{
    const auto it = m_told.find(rank);
    return it != m_told.end() && it->second.directive_number == directive_number;
}

bool directive_pacer::is_due(rank_number rank, std::int64_t directive_number, milliseconds repeat,
                             timestamp now) const
{
    return !was_told(rank, directive_number) || now - m_told.at(rank).at >= repeat;
}

std::vector<telling> directive_pacer::take_due(const std::vector<rank_number>& unconfirmed,
                                               std::int64_t directive_number, std::size_t bytes,
                                               timestamp now)
{
    const auto size = static_cast<double>(bytes);
    const auto passed_ms = static_cast<double>((now - m_filled_at).count());
    m_filled_at = now;
    m_allowance =
        std::min(m_options.burst_bytes, m_allowance + passed_ms / ms_per_s * m_options.bytes_per_s);
    const auto all_bytes = size * static_cast<double>(unconfirmed.size());
    const milliseconds all_time{
        static_cast<std::int64_t>(all_bytes / m_options.bytes_per_s * ms_per_s)};
    const auto repeat = std::max(m_options.shortest_repeat, all_time);
    const auto untold = static_cast<std::size_t>(std::ranges::count_if(
        unconfirmed, [&](rank_number it) { return !was_told(it, directive_number); }));
    // As many agents are told as each of them passes on to, so that no link carries more than twice
    // the root of the group.
    if (std::exchange(m_directive_number, directive_number) != directive_number)
        m_fan = std::max(m_options.relay_fan, static_cast<std::size_t>(std::sqrt(untold)));
    const bool needs_relays = size * static_cast<double>(untold) > m_options.burst_bytes;
    const auto fan = needs_relays ? m_fan : 0;
    std::vector<telling> out;
    /// Those that were told before get it from nobody else.
    bool is_relay = false;
    for (const auto rank : unconfirmed)
    {
        if (!is_due(rank, directive_number, repeat, now))
            continue;
        const bool is_new = !was_told(rank, directive_number);
        if (is_new && is_relay && out.back().passed_on.size() < fan)
            out.back().passed_on.push_back(rank);
        else if (m_allowance <= 0)
            break;
        else
        {
            // A message that is larger than what is left goes out and is paid for afterwards.
            m_allowance -= size;
            out.push_back({rank, {}});
            is_relay = is_new && fan > 0;
        }
        m_told.insert_or_assign(rank, last_telling{directive_number, now});
    }
    return out;
}

} // namespace kumquatgap::experts
