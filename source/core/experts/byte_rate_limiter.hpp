#pragma once

#include "common/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace kumquatgap::experts
{

/// Token bucket that limits the bytes sent per second, with a burst. A message larger than the
/// remaining budget is still sent; the budget becomes negative and must refill before the next
/// message.
class byte_rate_limiter
{
public:
    /// Default burst in bytes. The queue of a link holds this much and drops the excess.
    static constexpr double default_burst_bytes = 32'000;

    explicit byte_rate_limiter(double bytes_per_s, double burst_bytes = default_burst_bytes)
        : m_bytes_per_s{bytes_per_s}, m_burst_bytes{burst_bytes}
    {
    }

    /// Refills the bucket and returns true if a message may be sent now.
    bool may_send(common::timestamp now)
    {
        constexpr double ms_per_s = 1000;
        const auto passed_ms = static_cast<double>((now - m_refilled_at).count());
        m_refilled_at = now;
        m_available_bytes =
            std::min(m_burst_bytes, m_available_bytes + passed_ms / ms_per_s * m_bytes_per_s);
        return m_available_bytes > 0;
    }
    void consume(std::size_t bytes) { m_available_bytes -= static_cast<double>(bytes); }

private:
    double m_bytes_per_s;
    double m_burst_bytes;
    double m_available_bytes = 0;
    common::timestamp m_refilled_at;
};

} // namespace kumquatgap::experts
