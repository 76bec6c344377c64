#include "experts/switch_meter.hpp"

#include <algorithm>
#include <utility>

namespace kumquatgap::experts
{

void switch_meter::begun(double copying_ms, timestamp now)
{
    m_open = open_switch{now, copying_ms};
}

void switch_meter::ended(bool is_switched, timestamp now)
{
    const auto open = std::exchange(m_open, std::nullopt);
    if (!open || !is_switched)
        return;
    const auto measured_ms = static_cast<double>((now - open->at).count()) - open->copying_ms;
    m_overhead_ms += weight * (std::max(measured_ms, least_overhead_ms) - m_overhead_ms);
}

} // namespace kumquatgap::experts
