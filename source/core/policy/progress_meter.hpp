#pragma once

#include "common/clock.hpp"

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// Whether the targets of a service send anything at all, and since when without a long pause.
/// Load pattern: a group in lock-step that stands still for seconds and then goes on.
class progress_meter
{
public:
    /// A pause longer than this means that the service stands still.
    static constexpr milliseconds longest_pause{250};

    /// Any target has sent something.
    void note(timestamp now)
    {
        if (!is_going(now))
            m_going_since = now;
        m_last = now;
    }
    bool is_going(timestamp now) const { return now - m_last < longest_pause; }
    /// The end of the last long pause.
    timestamp going_since() const { return m_going_since; }

private:
    timestamp m_last;
    timestamp m_going_since;
};

} // namespace kumquatgap::policy
