#include "experts/order_timer.hpp"

#include <algorithm>
#include <cmath>

namespace kumquatgap::experts
{

void order_timer::answered(milliseconds after)
{
    const auto difference = static_cast<double>(after.count()) - m_mean_ms;
    m_mean_ms += weight * difference;
    m_deviation_ms += deviation_weight * (std::abs(difference) - m_deviation_ms);
    m_losses = 0;
}

milliseconds order_timer::timeout() const
{
    const auto usual = std::max(m_mean_ms + deviations * m_deviation_ms, shortest_ms);
    return milliseconds{std::llround(std::min(std::ldexp(usual, m_losses), longest_ms))};
}

} // namespace kumquatgap::experts
