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

bool directive_pacer::was_sent(rank_number rank, std::int64_t directive_number) const
{
    const auto it = m_last_sends.find(rank);
    return it != m_last_sends.end() && it->second.directive_number == directive_number;
}

milliseconds directive_pacer::send_time(std::size_t messages, std::size_t bytes) const
{
    const auto all = static_cast<double>(messages) * static_cast<double>(bytes);
    return milliseconds{static_cast<std::int64_t>(all / m_options.bytes_per_s * ms_per_s)};
}

bool directive_pacer::is_due(rank_number rank, std::int64_t directive_number, std::size_t ranks,
                             std::size_t bytes, timestamp now) const
{
    if (!was_sent(rank, directive_number))
        return true;
    const auto& it = m_last_sends.at(rank);
    // Relays are sent the directive one after the other, and then each forwards it to its ranks.
    const auto time =
        it.uses_relays ? send_time(2 * (m_fanout + 1), bytes) : send_time(ranks, bytes);
    return now - it.at >= std::max(m_options.min_resend_interval, time);
}

std::vector<directive_send> directive_pacer::take_due(const std::vector<rank_number>& unconfirmed,
                                                      std::int64_t directive_number,
                                                      std::size_t bytes, timestamp now)
{
    const auto unsent = static_cast<std::size_t>(std::ranges::count_if(
        unconfirmed, [&](rank_number it) { return !was_sent(it, directive_number); }));
    // There are about as many relays as each has recipients, so that no link carries more messages
    // than twice the square root of the group size.
    if (std::exchange(m_directive_number, directive_number) != directive_number)
        m_fanout = std::max(m_options.min_fanout, static_cast<std::size_t>(std::sqrt(unsent)));
    const bool needs_relays = static_cast<double>(bytes * unsent) > m_options.burst_bytes;
    const auto fanout = needs_relays ? m_fanout : 0;
    std::vector<directive_send> out;
    const bool sends_to_own = std::ranges::find(unconfirmed, m_own_rank) != unconfirmed.end() &&
                              is_due(m_own_rank, directive_number, unconfirmed.size(), bytes, now);
    if (sends_to_own)
    {
        out.push_back({m_own_rank, {}});
        m_last_sends.insert_or_assign(m_own_rank, last_send{directive_number, now, false});
    }
    // Ranks that were already sent the directive get it again directly, without a relay.
    bool is_relay = false;
    for (const auto rank : unconfirmed)
    {
        if (rank == m_own_rank || !is_due(rank, directive_number, unconfirmed.size(), bytes, now))
            continue;
        const bool is_new = !was_sent(rank, directive_number);
        if (is_new && is_relay && out.back().forward_to.size() < fanout)
            out.back().forward_to.push_back(rank);
        else if (!m_rate_limiter.may_send(now))
            break;
        else
        {
            m_rate_limiter.consume(bytes);
            out.push_back({rank, {}});
            is_relay = is_new && fanout > 0;
        }
        m_last_sends.insert_or_assign(rank, last_send{directive_number, now, is_new && fanout > 0});
    }
    return out;
}

} // namespace kumquatgap::experts
