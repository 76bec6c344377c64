#pragma once

#include "common/clock.hpp"

namespace kumquatgap::experts
{

using common::milliseconds;

/// How long a rank may take to answer an order before the order is made again, from the answers
/// before. Load pattern: orders get no answer and are carried out late, while the group stands and
/// waits for them; a host that is short of processor time, where all answers are slow.
class order_timer
{
public:
    /// The rank has answered after this long.
    void answered(milliseconds after);
    /// The rank has not answered in time.
    void lost() { m_losses = m_losses < most_losses ? m_losses + 1 : m_losses; }
    milliseconds timeout() const;

private:
    /// Weights of the newest answer, and how many mean deviations are waited for: as TCP does
    /// (RFC 6298).
    static constexpr double weight = 0.125;
    static constexpr double deviation_weight = 0.25;
    static constexpr double deviations = 4;
    /// A rank on the same host answers in 2 to 4 ms.
    static constexpr double mean_at_start_ms = 4;
    static constexpr double deviation_at_start_ms = 4;
    static constexpr double shortest_ms = 12;
    static constexpr double longest_ms = 80;
    /// Each loss in a row doubles the time, up to this many.
    static constexpr int most_losses = 3;

    double m_mean_ms = mean_at_start_ms;
    double m_deviation_ms = deviation_at_start_ms;
    int m_losses = 0;
};

} // namespace kumquatgap::experts
