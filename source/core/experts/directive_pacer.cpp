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

milliseconds directive_pacer::time_of(std::size_t messages, std::size_t bytes) const
{
    const auto all = static_cast<double>(messages) * static_cast<double>(bytes);
    return milliseconds{static_cast<std::int64_t>(all / m_options.bytes_per_s * ms_per_s)};
}

bool directive_pacer::is_due(rank_number rank, std::int64_t directive_number, std::size_t ranks,
                             std::size_t bytes, timestamp now) const
{
    if (!was_told(rank, directive_number))
        return true;
    const auto& it = m_told.at(rank);
    // The relays are told one after the other, and then each tells its own.
    const auto time = it.by_relay ? time_of(2 * (m_fan + 1), bytes) : time_of(ranks, bytes);
    return now - it.at >= std::max(m_options.shortest_repeat, time);
}

std::vector<telling> directive_pacer::take_due(const std::vector<rank_number>& unconfirmed,
                                               std::int64_t directive_number, std::size_t bytes,
                                               timestamp now)
{
    const auto untold = static_cast<std::size_t>(std::ranges::count_if(
        unconfirmed, [&](rank_number it) { return !was_told(it, directive_number); }));
    // As many agents are told as each of them passes on to, so that no link carries more than twice
    // the root of the group.
    if (std::exchange(m_directive_number, directive_number) != directive_number)
        m_fan = std::max(m_options.relay_fan, static_cast<std::size_t>(std::sqrt(untold)));
    const bool needs_relays = static_cast<double>(bytes * untold) > m_options.burst_bytes;
    const auto fan = needs_relays ? m_fan : 0;
    std::vector<telling> out;
    const bool tells_own = std::ranges::find(unconfirmed, m_own_rank) != unconfirmed.end() &&
                           is_due(m_own_rank, directive_number, unconfirmed.size(), bytes, now);
    if (tells_own)
    {
        out.push_back({m_own_rank, {}});
        m_told.insert_or_assign(m_own_rank, last_telling{directive_number, now, false});
    }
    // Those that were told before get it from nobody else.
    bool is_relay = false;
    for (const auto rank : unconfirmed)
    {
        if (rank == m_own_rank || !is_due(rank, directive_number, unconfirmed.size(), bytes, now))
            continue;
        const bool is_new = !was_told(rank, directive_number);
        if (is_new && is_relay && out.back().passed_on.size() < fan)
            out.back().passed_on.push_back(rank);
        else if (!m_allowance.has_some(now))
            break;
        else
        {
            m_allowance.spend(bytes);
            out.push_back({rank, {}});
            is_relay = is_new && fan > 0;
        }
        m_told.insert_or_assign(rank, last_telling{directive_number, now, is_new && fan > 0});
    }
    return out;
}

} // namespace kumquatgap::experts
