#pragma once

#include "common/clock.hpp"

namespace kumquatgap::kv
{

/// The pause of a polled watch before its next call. When hundreds of targets write their entries
/// within seconds, one call for each change from each watching process would cost the service more
/// than all other calls of the deployment. An isolated change is therefore polled for at once,
/// while changes of a burst are batched.
class poll_pause
{
public:
    /// A change that arrives sooner than this after the previous one belongs to a burst.
    static constexpr common::milliseconds burst_gap{400};
    /// The pause after a change of a burst, by which the next changes may be delayed.
    static constexpr common::milliseconds burst_pause{150};

    /// Records that changes have arrived and returns the pause before the next call.
    common::milliseconds after_changes(common::timestamp now)
    {
        const bool is_burst = now - m_last_change < burst_gap;
        m_last_change = now;
        return is_burst ? burst_pause : common::milliseconds{0};
    }

private:
    common::timestamp m_last_change;
};

} // namespace kumquatgap::kv
