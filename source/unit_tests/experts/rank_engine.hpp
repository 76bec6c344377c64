#pragma once

#include "experts/switch_message.hpp"

#include <algorithm>

namespace kumquatgap::experts
{

/// A guard taken out on purpose.
enum class mutation
{
    none,
    /// Ranks take orders with a lower fence.
    ranks_ignore_fences,
    /// All orders of a lease carry one fence.
    one_fence_per_lease,
    /// Ranks take orders of another epoch.
    ranks_ignore_epochs,
    /// The controller takes the pass for held without asking.
    hold_is_not_awaited,
    /// The controller takes all ranks for armed once one is.
    one_armed_is_enough,
    /// Agents call themselves settled whatever may still arrive.
    late_orders_are_forgotten,
    /// Agents take directives of an older lease.
    agents_ignore_leases,
    /// Agents take directives that were made for the agent before them.
    agents_ignore_names,
    /// Drivers from afar count as settled by what they knew under an earlier directive.
    stand_ins_trust_old_orders
};

/// A rank by the rules of the engines: it compares nothing with the other ranks.
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
        // A rank that restarted has forgotten its fences; that all do here is harder on the agents.
        highest_fence = 0;
    }

    order_end carry_out(const rank_order& it, mutation broken)
    {
        if (broken != mutation::ranks_ignore_epochs && it.epoch != state.epoch)
            return order_end::conflict;
        if (broken != mutation::ranks_ignore_fences && it.fence < highest_fence)
            return order_end::fenced;
        const auto end = apply(it);
        // An order that conflicts does not raise the fence.
        if (end == order_end::accepted)
            highest_fence = std::max(highest_fence, it.fence);
        return end;
    }

    order_end apply(const rank_order& it)
    {
        switch (it.kind)
        {
        case order_kind::prepare:
            return prepare(it);
        case order_kind::arm:
            if (state.prepared != it.version || state.pass >= it.pass)
                return order_end::conflict;
            state.armed = armed_switch{it.version, it.pass};
            return order_end::accepted;
        case order_kind::disarm:
            if (state.version == it.version)
                return order_end::conflict;
            if (state.armed && state.armed->version == it.version)
                state.armed.reset();
            return order_end::accepted;
        case order_kind::hold:
            if (state.held || state.pass >= it.pass)
                return order_end::conflict;
            state.held = it.pass;
            return order_end::accepted;
        case order_kind::release:
            if (state.held != it.pass)
                return order_end::conflict;
            state.held.reset();
            return order_end::accepted;
        }
        return order_end::conflict;
    }

    order_end prepare(const rank_order& it)
    {
        if (it.version == state.prepared)
            return order_end::accepted;
        if (it.version <= highest || state.armed)
            return order_end::conflict;
        highest = it.version;
        state.prepared = it.version;
        return order_end::accepted;
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
