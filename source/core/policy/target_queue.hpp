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

/// A call that waits for a slot of the target.
struct waiting_call
{
    std::uint64_t id = 0;
    std::string team;
    /// Lower is more urgent.
    std::int64_t level = 0;
    /// How long the call is expected to hold its slot.
    milliseconds predicted{1000};
    /// The call must have a slot by then.
    timestamp start_by;
    /// True when the call can be interrupted and go on later.
    bool can_pause = false;
    /// How often it was interrupted.
    int pauses = 0;
};

/// The limits of a target's queue.
struct queue_limits
{
    std::int64_t slots = 1;
    std::int64_t max_waiting = 256;
    /// Calls predicted to hold a slot for longer are long ones.
    milliseconds long_call{5000};
    /// The part of the slots that long calls never take, in percent.
    std::int64_t short_reserve_percent = 25;
    /// What a waiting call's level improves by one for, so that every call is served in the end.
    milliseconds ageing{10'000};
    /// A call holds its slot at least this long before it can be interrupted.
    milliseconds least_run{1000};
    /// No call is interrupted more often, so that long calls end.
    int max_pauses = 4;
};

/// Decides which call gets the next slot of a target.
///
/// A team whose calls in service are fewer than its voted share of the slots goes before teams
/// that borrow; then urgency, then the team that has had the least for its share. Long calls leave
/// a reserve of slots to short ones.
class target_queue
{
public:
    explicit target_queue(queue_limits limits) : m_limits{limits} {}

    /// Sets a team's voted share in percent of the slots.
    void set_share(const std::string& team, std::int64_t percent);
    void set_slots(std::int64_t slots) { m_limits.slots = slots; }

    /// Takes a call into the queue, or says why it can't be served in time.
    common::result<void> offer(const waiting_call& call, timestamp now);
    /// The calls that get a slot now, in order.
    std::vector<std::uint64_t> start_ready(timestamp now);
    /// The calls in service that should be interrupted, so that short calls that wait get their
    /// slots: long ones of less urgent teams, or of teams that borrow from a team that waits.
    std::vector<std::uint64_t> to_pause(timestamp now) const;
    /// A call in service was interrupted; it waits again in its old place.
    void paused(std::uint64_t id, milliseconds left, timestamp now);
    /// Removes the calls whose latest start has passed.
    std::vector<std::uint64_t> expire(timestamp now);
    /// A call in service has ended.
    void finished(std::uint64_t id, timestamp now);
    /// Removes a waiting call; false when it is not waiting.
    bool withdraw(std::uint64_t id);

    std::int64_t in_service() const { return static_cast<std::int64_t>(m_running.size()); }
    std::int64_t waiting() const { return m_waiting_count; }
    std::int64_t in_service_of(const std::string& team) const;
    std::int64_t waiting_of(const std::string& team) const;
    /// A team's voted share as a whole number of slots, at least one.
    std::int64_t entitled_slots(const std::string& team) const;
    /// The time until a new call of a team would get a slot.
    milliseconds predicted_wait(const std::string& team, timestamp now) const;

private:
    struct queued
    {
        waiting_call call;
        timestamp arrived;
    };
    struct team_state
    {
        std::int64_t percent = 1;
        std::int64_t in_service = 0;
        /// Slot time had, divided by the share.
        double virtual_time = 0;
        std::list<queued> calls;
    };
    struct running
    {
        waiting_call call;
        bool is_long = false;
        timestamp arrived;
        timestamp started;
    };
    /// Orders the teams' best calls; smaller goes first.
    struct rank
    {
        bool borrows = false;
        std::int64_t level = 0;
        double virtual_time = 0;
        timestamp arrived;
        bool operator<(const rank& other) const;
    };
    struct candidate
    {
        rank order;
        std::string team;
        std::list<queued>::iterator call;
    };

    bool is_long(const waiting_call& call) const { return call.predicted > m_limits.long_call; }
    std::int64_t long_slots() const;
    bool may_pause(const running& it, timestamp now) const;
    std::vector<const queued*> waiting_short_calls() const;
    bool goes_before(const queued& waiting, const running& it) const;
    void leave_service(std::map<std::uint64_t, running>::iterator it, timestamp now);
    std::int64_t aged_level(const queued& it, timestamp now) const;
    std::optional<candidate> best_of(const std::string& name, team_state& team, timestamp now);
    std::optional<candidate> next(timestamp now);
    void start(const candidate& it, timestamp now);
    milliseconds remaining_work(const std::string* team, timestamp now) const;
    double least_active_virtual_time() const;

    queue_limits m_limits;
    std::map<std::string, team_state> m_teams;
    std::map<std::uint64_t, running> m_running;
    std::int64_t m_waiting_count = 0;
    std::int64_t m_running_long = 0;
};

} // namespace kumquatgap::policy
