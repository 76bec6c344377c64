#pragma once

#include "common/clock.hpp"

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// Detects when no target of a service sends any event, and when events resume. Load pattern: a
/// group in lock-step that stalls for seconds and then continues.
class stall_detector
{
public:
    /// The service counts as stalled when no event arrives for this long.
    static constexpr milliseconds max_gap{250};

    /// Some target has sent an event.
    void record_progress(timestamp now)
    {
        if (!is_progressing(now))
            m_progressing_since = now;
        m_last = now;
    }
    bool is_progressing(timestamp now) const { return now - m_last < max_gap; }
    /// The end of the last stall.
    timestamp progressing_since() const { return m_progressing_since; }

private:
    timestamp m_last;
    timestamp m_progressing_since;
};

} // namespace kumquatgap::policy
