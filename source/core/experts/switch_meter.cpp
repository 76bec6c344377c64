#include "experts/switch_meter.hpp"

#include <algorithm>
#include <utility>

namespace kumquatgap::experts
{

void switch_meter::begun(double copying_ms, timestamp now)
{
    m_running = running_switch{now, copying_ms};
}

void switch_meter::ended(bool is_switched, timestamp now)
{
    const auto running = std::exchange(m_running, std::nullopt);
    if (!running || !is_switched)
        return;
    const auto measured_ms =
        static_cast<double>((now - running->began_at).count()) - running->copying_ms;
    m_overhead_ms += weight * (std::max(measured_ms, min_overhead_ms) - m_overhead_ms);
}

} // namespace kumquatgap::experts
