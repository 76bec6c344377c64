#pragma once

#include "common/clock.hpp"

namespace kumquatgap::experts
{

using common::milliseconds;

/// Estimates after which time without an answer an order is sent again, from the earlier response
/// times. Load pattern: orders get no answer and are executed late, while the group is stopped and
/// waits for them; on a host that is short of CPU time all answers are slow.
class order_timer
{
public:
    /// Takes the response time of an answered order.
    void answered(milliseconds elapsed);
    /// Takes an order that got no answer in time.
    void lost()
    {
        m_losses_in_row = m_losses_in_row < max_doublings ? m_losses_in_row + 1 : m_losses_in_row;
    }
    milliseconds timeout() const;

private:
    /// The weights of a new response time in the mean and the mean deviation, and the number of
    /// mean deviations in the timeout, as for TCP (RFC 6298).
    static constexpr double weight = 0.125;
    static constexpr double deviation_weight = 0.25;
    static constexpr double deviation_factor = 4;
    /// Ranks on the same host answer in 2 to 4 ms.
    static constexpr double initial_mean_ms = 4;
    static constexpr double initial_deviation_ms = 4;
    static constexpr double min_timeout_ms = 12;
    static constexpr double max_timeout_ms = 80;
    /// Each consecutive loss doubles the timeout, up to this many times.
    static constexpr int max_doublings = 3;

    double m_mean_ms = initial_mean_ms;
    double m_deviation_ms = initial_deviation_ms;
    int m_losses_in_row = 0;
};

} // namespace kumquatgap::experts
