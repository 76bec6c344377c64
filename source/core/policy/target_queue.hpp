#pragma once

#include "common/clock.hpp"
#include "common/failure.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// A call that waits for a slot of the target or holds one.
struct queued_call
{
    std::uint64_t id = 0;
    std::string team;
    /// Lower is more urgent.
    std::int64_t level = 0;
    /// How long the call is expected to hold its slot.
    milliseconds predicted{1000};
    /// The latest time at which the call may get a slot.
    timestamp start_by;
    /// True when the call can be interrupted and continued later.
    bool preemptible = false;
    /// How often the call was preempted.
    int preemptions = 0;
};

/// The limits of a target's queue.
struct queue_limits
{
    std::int64_t slots = 1;
    std::int64_t max_waiting = 256;
    /// Calls predicted to hold a slot for longer are long calls.
    milliseconds long_call{5000};
    /// The share of the slots that is reserved for short calls, in percent.
    std::int64_t short_reserve_percent = 25;
    /// A waiting call's level improves by one for each such interval, so that no call starves.
    milliseconds ageing_interval{10'000};
    /// A call holds its slot at least this long before it can be preempted.
    milliseconds min_run_time{1000};
    /// A call is preempted at most this often, so that long calls finish.
    int max_preemptions = 4;
};

/// Decides which call gets the next slot of a target.
///
/// A team with fewer calls in service than its guaranteed share of the slots goes before teams that
/// borrow slots beyond their share. The next criteria are urgency, and the slot time that the team
/// has had relative to its share, lowest first. A reserve of slots is kept for short calls.
class target_queue
{
public:
    explicit target_queue(queue_limits limits) : m_limits{limits} {}

    /// Sets a team's guaranteed share in percent of the slots.
    void set_share(const std::string& team, std::int64_t percent);
    void set_slots(std::int64_t slots) { m_limits.slots = slots; }

    /// Adds a call to the queue, or fails if the queue is full or the call can't start in time.
    common::result<void> offer(const queued_call& call, timestamp now);
    /// Starts the calls that get a slot now; returns them in order.
    std::vector<std::uint64_t> start_ready(timestamp now);
    /// The calls in service that should be interrupted to free slots for waiting short calls: long
    /// calls that are less urgent, or of teams that borrow slots while the waiting call's team is
    /// below its share.
    std::vector<std::uint64_t> calls_to_preempt(timestamp now) const;
    /// A call in service was interrupted; it waits again, ordered by its first arrival. `left` is
    /// its remaining slot time.
    void preempted(std::uint64_t id, milliseconds left, timestamp now);
    /// Removes and returns the calls whose latest start has passed.
    std::vector<std::uint64_t> expire(timestamp now);
    /// A call in service has ended.
    void finished(std::uint64_t id, timestamp now);
    /// Removes a waiting call; false when it is not waiting.
    bool withdraw(std::uint64_t id);

    std::int64_t in_service() const { return static_cast<std::int64_t>(m_running.size()); }
    std::int64_t waiting() const { return m_waiting_count; }
    std::int64_t in_service_of(const std::string& team) const;
    std::int64_t waiting_of(const std::string& team) const;
    /// A team's guaranteed share as a whole number of slots, at least one.
    std::int64_t guaranteed_slots(const std::string& team) const;
    /// The predicted time until a new call of a team gets a slot.
    milliseconds predicted_wait(const std::string& team, timestamp now) const;

private:
    struct queue_entry
    {
        queued_call call;
        timestamp arrived;
    };
    struct team_state
    {
        std::int64_t percent = 1;
        std::int64_t in_service = 0;
        /// Slot time used, divided by the share.
        double virtual_time = 0;
        std::list<queue_entry> calls;
    };
    struct running_call
    {
        queued_call call;
        bool is_long = false;
        timestamp arrived;
        timestamp started;
    };
    /// Orders the best call of each team; smaller goes first.
    struct dispatch_key
    {
        bool borrows = false;
        std::int64_t level = 0;
        double virtual_time = 0;
        timestamp arrived;
        bool operator<(const dispatch_key& other) const;
    };
    struct candidate
    {
        dispatch_key order;
        std::string team;
        std::list<queue_entry>::iterator call;
    };

    bool is_long(const queued_call& call) const { return call.predicted > m_limits.long_call; }
    std::int64_t long_slots() const;
    bool may_preempt(const running_call& it, timestamp now) const;
    std::vector<const queue_entry*> waiting_short_calls() const;
    bool may_displace(const queue_entry& waiting, const running_call& it) const;
    void leave_service(std::map<std::uint64_t, running_call>::iterator it, timestamp now);
    std::int64_t aged_level(const queue_entry& it, timestamp now) const;
    std::optional<candidate> best_of(const std::string& name, team_state& team, timestamp now);
    std::optional<candidate> next(timestamp now);
    void start(const candidate& it, timestamp now);
    milliseconds remaining_work(const std::string* team, timestamp now) const;
    double min_active_virtual_time() const;

    queue_limits m_limits;
    std::map<std::string, team_state> m_teams;
    std::map<std::uint64_t, running_call> m_running;
    std::int64_t m_waiting_count = 0;
    std::int64_t m_running_long = 0;
};

} // namespace kumquatgap::policy
