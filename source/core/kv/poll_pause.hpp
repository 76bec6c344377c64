#pragma once

#include "common/clock.hpp"

namespace kumquatgap::kv
{

/// Decides how long a watch that is polled waits before its next call. Load pattern: hundreds of
/// targets write their entries within seconds, and a call for each of them, from each process that
/// watches, costs the service more than all that the fleet does in calm times. Changes that come
/// singly are seen at once; those that follow each other closely are seen together.
class poll_pause
{
public:
    /// A change that comes sooner than this after the last one belongs to a series.
    static constexpr common::milliseconds series_gap{400};
    /// What a change of a series may be seen late by.
    static constexpr common::milliseconds series_pause{150};

    /// Changes have arrived; the pause before the next call.
    common::milliseconds after_changes(common::timestamp now)
    {
        const bool is_series = now - m_last_change < series_gap;
        m_last_change = now;
        return is_series ? series_pause : common::milliseconds{0};
    }

private:
    common::timestamp m_last_change;
};

} // namespace kumquatgap::kv
