#pragma once

#include "common/clock.hpp"
#include "policy/call_value.hpp"
#include "policy/late_call_limit.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// Which calls wait and which are refused when there are more than the targets can serve.
enum class admission_policy : std::uint8_t
{
    /// Calls on time by priority and remaining time, then late calls in any number.
    deadline,
    /// Resumed calls first; late calls are limited to the slots that calls on time don't need.
    value
};

/// The time that the calls of a process have left when it shuts down.
struct remaining_time
{
    /// Calls that have not ended by then are cut off.
    timestamp ends_at;
    /// From then on a call is refused if no start rate shows that it will be served.
    timestamp patience_ends_at;
    /// How long a call usually takes at a target; 0 when nothing is known.
    milliseconds run_time{0};
};

/// The limits of an admission queue.
struct admission_queue_options
{
    admission_policy policy = admission_policy::deadline;
    /// The order of calls under the policy `value`.
    call_value_options value = {};
    late_call_limit_options late = {};
    /// The part of its time, from arrival to deadline, that a call may wait. What remains is for
    /// the refusal to reach a caller that still listens.
    double max_wait_fraction = 0.85;
    /// A call is refused on arrival when the calls ahead of it are predicted to take this fraction
    /// of its time.
    double max_predicted_wait_fraction = 0.6;
    /// The span over which starts are counted to predict waits.
    milliseconds rate_window{2000};
    /// Calls must have waited for so long without a break before waits are predicted.
    milliseconds min_rate_sample{250};
    /// The start rate, per second, that is assumed when the measured one is lower.
    double min_start_rate = 4;
    /// The bounds of the time after which a refused caller is asked to retry.
    milliseconds min_retry_after{300};
    milliseconds max_retry_after{2500};
    /// A call is predicted to be late when this fraction of its predicted wait is more than the
    /// time that it has: the start rate is an estimate.
    double certain_wait_fraction = 0.75;
    /// The least fraction of the start rate that calls of a priority are predicted to get.
    double min_rate_fraction = 0.1;
    /// During a halt this many times the calls that may wait are taken until the next check, which
    /// keeps the most valuable ones.
    std::size_t max_halted_excess = 2;
};

/// Calls that wait at this gateway for a slot of one service. Load pattern: a load spike of some
/// seconds above the capacity of the targets. Calls that can still be in time go first, by priority
/// and then by the time they have left. Calls that can't are served with the remaining capacity,
/// the oldest first, so that a load spike delays some calls and not all. Calls that would be served
/// too late for their callers are refused on arrival. The start rate is measured only while calls
/// wait: starts while the queue is empty measure the arrival rate and not the capacity of the
/// targets, and starts before a group re-formed do not predict the rate afterwards.
class admission_queue
{
public:
    explicit admission_queue(admission_queue_options options)
        : m_options{options}, m_late_calls{options.late}, m_value{options.value}
    {
    }

    /// Adds a call, or returns the time after which its caller should retry. `draw`, a random
    /// number in [0, 1), spreads the retries.
    std::optional<milliseconds> offer(const waiting_call& call, timestamp now, double draw);
    /// True if a call that joins now is predicted to start well before its caller leaves, at the
    /// measured start rate or at `usual_rate`, in starts per second, if that is higher.
    bool is_start_predicted(const waiting_call& call, double usual_rate, timestamp now) const;
    /// Puts a call back that a target refused without executing it.
    void requeue(const waiting_call& call, timestamp now);
    /// The call to start next among those for which `may_start` is true; it stays in the queue.
    std::optional<std::uint64_t> next(timestamp now,
                                      const std::function<bool(std::uint64_t)>& may_start) const;
    std::optional<std::uint64_t> next(timestamp now) const
    {
        return next(now, [](std::uint64_t) { return true; });
    }
    /// The call has started.
    void started(std::uint64_t id, timestamp now);
    /// The call no longer occupies a slot.
    void slot_freed(std::uint64_t id) { m_late_calls.ended(id); }
    void remove(std::uint64_t id) { m_calls.erase(id); }
    /// What the service's targets offer to this gateway. The policy `value` needs it.
    void set_capacity(const service_capacity& it)
    {
        m_late_calls.set_capacity(it);
        m_value.set_mean_slot_time(it.slot_time);
    }
    const late_call_limit& late_calls() const { return m_late_calls; }
    /// Removes and returns the calls that have waited too long to be served.
    std::vector<std::uint64_t> take_expired(timestamp now);
    /// Removes and returns the calls that are late, or are predicted to be, and do not start in
    /// time for their callers under the limit of late calls. Only those are refused that no target
    /// can have executed.
    std::vector<std::uint64_t> take_unstartable_late(timestamp now);
    /// Removes and returns the least valuable calls beyond those that may wait during a halt. Only
    /// those are refused that no target can have executed.
    std::vector<std::uint64_t> take_excess(timestamp now);
    /// Removes and returns the calls whose deadline is before `available_at`, the time at which the
    /// first target accepts calls again.
    std::vector<std::uint64_t> take_unservable(timestamp available_at);
    /// Removes and returns the calls that are predicted not to end in the time that is left, in
    /// the order in which they would have started. Calls that are answered in part stay.
    std::vector<std::uint64_t> take_unfinishable(const remaining_time& left, timestamp now);
    /// No call can start until a group of targets has re-formed; then `slots` calls can start at
    /// once. Until then at most `slots` calls may wait, since no start rate can be measured.
    void halt(std::size_t slots) { m_halted_slots = slots; }
    /// Calls can start again after a halt or a stall: the start rate is measured from now on.
    void resume(timestamp now);
    /// The slots of the service have changed by this factor, and `usual_rate` calls usually start
    /// per second with the new ones; 0 when that is not known. With fewer slots the measured start
    /// rate falls at once, before the queue has grown; with more it is measured anew.
    void scale_capacity(double factor, double usual_rate, timestamp now);
    /// The time after which a caller that is refused now should retry.
    milliseconds retry_after(timestamp now, double draw) const;
    /// The time after which a late caller that is refused should retry. Many are refused at once
    /// after a failure, so their retries are spread widely.
    milliseconds late_retry_after(double draw) const;

    std::size_t size() const { return m_calls.size(); }
    bool empty() const { return m_calls.empty(); }
    /// Starts per second over the last window while calls waited; none until the queue has been
    /// non-empty for min_rate_sample.
    std::optional<double> start_rate(timestamp now) const;

private:
    void add(const waiting_call& call, timestamp now);
    std::optional<double> measured_start_rate(timestamp now) const;
    std::optional<double> shutdown_start_rate(const remaining_time& left, timestamp now) const;
    bool goes_before(const waiting_call& a, const waiting_call& b, timestamp now) const;
    slot_use use_of(const waiting_call& call, timestamp now) const;
    timestamp latest_start(const waiting_call& call) const;
    bool is_predicted_late(const waiting_call& call, std::size_t ahead, timestamp now) const;
    std::vector<const waiting_call*> in_order(timestamp now) const;
    void record_start(const waiting_call& call, timestamp now);
    void erase_refused(const std::vector<std::uint64_t>& ids);
    bool limits_late_calls() const { return m_options.policy == admission_policy::value; }

    admission_queue_options m_options;
    std::map<std::uint64_t, waiting_call> m_calls;
    late_call_limit m_late_calls;
    call_value m_value;
    std::deque<timestamp> m_starts;
    std::optional<std::size_t> m_halted_slots;
    /// The start rate that is assumed for a time after the capacity has shrunk, as long as none is
    /// measured; 0 for none.
    double m_assumed_rate = 0;
    timestamp m_assumed_until;
    /// Since when calls have waited without a break.
    timestamp m_waiting_since;
};

} // namespace kumquatgap::policy
