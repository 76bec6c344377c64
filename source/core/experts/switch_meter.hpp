#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <optional>

namespace kumquatgap::experts
{

using common::milliseconds;
using common::timestamp;

/// Measures how long switches take beside their copies: the messages, the hold and the release, and
/// the wait until the next plan. It differs with the size of a group and the links of its hosts.
class switch_meter
{
public:
    /// A switch has begun, in which ranks copy for so long.
    void begun(double copying_ms, timestamp now);
    /// The group is at rest again. `is_switched` is false when the switch was given up.
    void ended(bool is_switched, timestamp now);
    /// What a switch takes beside its copies, in milliseconds.
    double overhead_ms() const { return m_overhead_ms; }

private:
    /// The weight of the newest switch.
    static constexpr double weight = 0.2;
    /// Until one was measured; a group of 129 ranks needs about this much.
    static constexpr double overhead_at_start_ms = 150;
    /// Below this it is an error of the published figures, and not a faster switch.
    static constexpr double least_overhead_ms = 40;

    struct open_switch
    {
        timestamp at;
        double copying_ms = 0;
    };

    std::optional<open_switch> m_open;
    double m_overhead_ms = overhead_at_start_ms;
};

} // namespace kumquatgap::experts
