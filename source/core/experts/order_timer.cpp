#include "experts/order_timer.hpp"

#include <algorithm>
#include <cmath>

namespace kumquatgap::experts
{

void order_timer::answered(milliseconds elapsed)
{
    const auto difference = static_cast<double>(elapsed.count()) - m_mean_ms;
    m_mean_ms += weight * difference;
    m_deviation_ms += deviation_weight * (std::abs(difference) - m_deviation_ms);
    m_losses_in_row = 0;
}

milliseconds order_timer::timeout() const
{
    const auto usual = std::max(m_mean_ms + deviation_factor * m_deviation_ms, min_timeout_ms);
    return milliseconds{std::llround(std::min(std::ldexp(usual, m_losses_in_row), max_timeout_ms))};
}

} // namespace kumquatgap::experts
