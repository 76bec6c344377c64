#pragma once

#include "common/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace kumquatgap::experts
{

/// What may be sent now, at a rate with a burst. A message that is larger than what is left goes
/// out and is paid for afterwards.
class byte_allowance
{
public:
    /// Bytes that may go out at once; a link's queue holds this much, and loses what is over.
    static constexpr double usual_burst = 32'000;

    explicit byte_allowance(double bytes_per_s, double burst = usual_burst)
        : m_bytes_per_s{bytes_per_s}, m_burst{burst}
    {
    }

    /// True when something may be sent now.
    bool has_some(common::timestamp now)
    {
        constexpr double ms_per_s = 1000;
        const auto passed_ms = static_cast<double>((now - m_filled_at).count());
        m_filled_at = now;
        m_left = std::min(m_burst, m_left + passed_ms / ms_per_s * m_bytes_per_s);
        return m_left > 0;
    }
    void spend(std::size_t bytes) { m_left -= static_cast<double>(bytes); }

private:
    double m_bytes_per_s;
    double m_burst;
    double m_left = 0;
    common::timestamp m_filled_at;
};

} // namespace kumquatgap::experts
