#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <optional>

namespace kumquatgap::experts
{

using common::milliseconds;
using common::timestamp;

/// Measures the overhead of switches, which is their time apart from copying: the messages, the
/// hold and the release, and the wait until the next plan. It depends on the size of the group and
/// on the links of its hosts.
class switch_meter
{
public:
    /// A switch begins. `copying_ms` is the expected time for copying.
    void begun(double copying_ms, timestamp now);
    /// The group is at rest again. `is_switched` is false when the switch was aborted.
    void ended(bool is_switched, timestamp now);
    /// The mean overhead of a switch in milliseconds.
    double overhead_ms() const { return m_overhead_ms; }

private:
    /// The weight of a new switch in the mean.
    static constexpr double weight = 0.2;
    /// The overhead before any was measured. A group of 129 ranks needs about this much.
    static constexpr double initial_overhead_ms = 150;
    /// Lower measurements come from errors in the published copy times, not from faster switches.
    static constexpr double min_overhead_ms = 40;

    struct running_switch
    {
        timestamp began_at;
        double copying_ms = 0;
    };

    std::optional<running_switch> m_running;
    double m_overhead_ms = initial_overhead_ms;
};

} // namespace kumquatgap::experts
