#pragma once

#include "common/clock.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// What a gateway may use of a service's targets.
struct service_capacity
{
    /// This gateway's share of the slots.
    double slots = 0;
    /// The mean time for which a call occupies a slot; 0 when nothing is known.
    milliseconds slot_time{0};
};

/// Why a call occupies a slot.
enum class slot_use : std::uint8_t
{
    on_time,
    late,
    /// A response that its caller has got in part is continued.
    resumed
};

/// The parameters of a late_call_limit.
struct late_call_limit_options
{
    /// The fraction of the slots that late calls may occupy however many calls arrive, so that
    /// they are not starved.
    double min_fraction = 0.1;
    /// The span over which arrivals are counted.
    milliseconds arrival_window{2000};
    /// The part of a slot time whose arrivals on time are reserved slots.
    double reserved_part = 1;
};

/// Limits the slots that late calls occupy. Load pattern: all targets of a service fail for some
/// seconds. When they are back, the calls that waited are late, and if they took all slots at once,
/// every call that arrives within the next slot time would be late too. Late calls may occupy the
/// slots that the calls that arrive in one slot time don't need. Slots of resumed calls count, but
/// resumed calls are never held back.
class late_call_limit
{
public:
    explicit late_call_limit(late_call_limit_options options = {}) : m_options{options} {}

    void set_capacity(const service_capacity& it) { m_capacity = it; }
    /// False until the capacity has been measured; nothing is limited before that.
    bool is_active() const { return m_capacity.slots > 0 && m_capacity.slot_time.count() > 0; }
    void record_arrival(int priority, timestamp now);
    /// The arrivals per second that are more urgent than the priority.
    double urgent_arrival_rate(int priority, timestamp now) const;
    void started(std::uint64_t id, slot_use use);
    void ended(std::uint64_t id);
    /// The calls that start per second while all slots are occupied; 0 when nothing is known.
    double start_rate() const;
    /// The slots that late and resumed calls may occupy together.
    double limit(timestamp now) const;
    /// True if a late call may take a slot that is free.
    bool may_start(timestamp now) const { return !is_active() || room(now) >= 1; }
    /// When a late call starts that has `ahead` other late calls before it. It assumes that free
    /// slots are found as soon as the limit permits.
    timestamp predicted_start(std::size_t ahead, timestamp now) const;
    std::size_t occupied(slot_use use) const { return m_occupied[static_cast<std::size_t>(use)]; }

private:
    double min_slots() const;
    double room(timestamp now) const;

    late_call_limit_options m_options;
    service_capacity m_capacity;
    struct arrival
    {
        timestamp at;
        int priority;
    };

    std::deque<arrival> m_arrivals;
    std::map<std::uint64_t, slot_use> m_uses;
    std::array<std::size_t, 3> m_occupied{};
};

} // namespace kumquatgap::policy
