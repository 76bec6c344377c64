#include "experts/directive_pacer.hpp"

#include <algorithm>

namespace kumquatgap::experts
{

namespace
{

constexpr double ms_per_s = 1000;

} // namespace

bool directive_pacer::is_due(rank_number rank, std::int64_t directive_number, milliseconds repeat,
                             timestamp now) const
{
    const auto it = m_told.find(rank);
    return it == m_told.end() || it->second.directive_number != directive_number ||
           now - it->second.at >= repeat;
}

std::vector<rank_number> directive_pacer::take_due(const std::vector<rank_number>& unconfirmed,
                                                   std::int64_t directive_number, std::size_t bytes,
                                                   timestamp now)
{
    const auto size = static_cast<double>(bytes);
    const auto passed_ms = static_cast<double>((now - m_filled_at).count());
    m_filled_at = now;
    m_allowance =
        std::min(m_options.burst_bytes, m_allowance + passed_ms / ms_per_s * m_options.bytes_per_s);
    const auto all_ms =
        size * static_cast<double>(unconfirmed.size()) / m_options.bytes_per_s * ms_per_s;
    const auto repeat =
        std::max(m_options.shortest_repeat, milliseconds{static_cast<std::int64_t>(all_ms)});
    std::vector<rank_number> out;
    for (const auto rank : unconfirmed)
    {
        if (m_allowance <= 0)
            break;
        if (!is_due(rank, directive_number, repeat, now))
            continue;
        // A message that is larger than what is left goes out and is paid for afterwards.
        m_allowance -= size;
        m_told.insert_or_assign(rank, telling{directive_number, now});
        out.push_back(rank);
    }
    return out;
}

} // namespace kumquatgap::experts
