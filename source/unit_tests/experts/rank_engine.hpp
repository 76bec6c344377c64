#pragma once

#include "experts/switch_message.hpp"

#include <algorithm>

namespace kumquatgap::experts
{

/// A fault that is put into the simulation: a safeguard that is missing.
enum class mutation
{
    none,
    /// Ranks accept orders with a lower fence.
    ranks_ignore_fences,
    /// All orders of a lease have the same fence.
    one_fence_per_lease,
    /// Ranks accept orders of another epoch.
    ranks_ignore_epochs,
    /// The controller assumes that the pass is held without waiting for the report.
    hold_not_awaited,
    /// The controller assumes that all ranks are armed once one is.
    one_armed_rank_suffices,
    /// Agents report that they are settled although late orders are possible.
    late_orders_ignored,
    /// Agents accept directives of an older lease.
    agents_ignore_leases,
    /// Agents accept directives for an earlier agent of their rank.
    agents_ignore_instance_ids,
    /// Remote drivers stay settled by orders that they sent under an earlier directive.
    remote_drivers_trust_old_orders
};

/// A rank that follows the protocol of the engines. It compares nothing with the other ranks.
struct rank_engine
{
    rank_report state;
    map_version highest = 0;
    order_fence highest_fence = 0;

    void restart(std::int64_t epoch)
    {
        const auto rank = state.rank;
        const auto size = state.size;
        state = {};
        state.rank = rank;
        state.size = size;
        state.epoch = epoch;
        state.is_open = true;
        // Only the restarted rank loses its highest fence; resetting it on all ranks is a stricter
        // test of the agents.
        highest_fence = 0;
    }

    order_outcome carry_out(const rank_order& it, mutation active)
    {
        if (active != mutation::ranks_ignore_epochs && it.epoch != state.epoch)
            return order_outcome::conflict;
        if (active != mutation::ranks_ignore_fences && it.fence < highest_fence)
            return order_outcome::fenced;
        const auto outcome = apply(it);
        // A conflicting order does not raise the fence.
        if (outcome == order_outcome::accepted)
            highest_fence = std::max(highest_fence, it.fence);
        return outcome;
    }

    order_outcome apply(const rank_order& it)
    {
        switch (it.kind)
        {
        case order_kind::prepare:
            return prepare(it);
        case order_kind::arm:
            if (state.prepared != it.version || state.pass >= it.pass)
                return order_outcome::conflict;
            state.armed = armed_switch{it.version, it.pass};
            return order_outcome::accepted;
        case order_kind::disarm:
            if (state.version == it.version)
                return order_outcome::conflict;
            if (state.armed && state.armed->version == it.version)
                state.armed.reset();
            return order_outcome::accepted;
        case order_kind::hold:
            if (state.held || state.pass >= it.pass)
                return order_outcome::conflict;
            state.held = it.pass;
            return order_outcome::accepted;
        case order_kind::release:
            if (state.held != it.pass)
                return order_outcome::conflict;
            state.held.reset();
            return order_outcome::accepted;
        }
        return order_outcome::conflict;
    }

    order_outcome prepare(const rank_order& it)
    {
        if (it.version == state.prepared)
            return order_outcome::accepted;
        if (it.version <= highest || state.armed)
            return order_outcome::conflict;
        highest = it.version;
        state.prepared = it.version;
        return order_outcome::accepted;
    }

    void begin_pass()
    {
        ++state.pass;
        if (!state.armed || state.armed->pass != state.pass)
            return;
        state.version = state.armed->version;
        state.armed.reset();
    }
};

} // namespace kumquatgap::experts
