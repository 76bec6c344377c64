#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// A call that waits for a place at a target.
struct waiting_call
{
    std::uint64_t id = 0;
    /// 0 is served first.
    int priority = 0;
    timestamp arrived;
    /// A call that starts by then is answered in time.
    timestamp in_time_until;
    /// A call that starts after this is not served, since its caller has left by its first answer.
    timestamp deadline;
};

/// The limits of a line.
struct waiting_line_options
{
    /// The part of its time, from arrival to deadline, that a call may wait. What remains is for
    /// the refusal to reach a caller that still listens.
    double longest_wait_part = 0.85;
    /// A call is refused on arrival when the calls before it would take this part of its time.
    double refused_wait_part = 0.6;
    /// The span over which starts are counted to predict waits.
    milliseconds rate_window{2000};
    /// Calls must have waited for so long without a break before waits are predicted.
    milliseconds shortest_measure{250};
    /// Starts a second that are assumed when fewer were counted.
    double least_rate = 4;
    /// The bounds of the time after which a refused caller is asked to come back.
    milliseconds shortest_retry_after{300};
    milliseconds longest_retry_after{2500};
};

/// Calls that wait at this router for a place at one service. Load pattern: a crest of some seconds
/// above what the targets can do. Those that can still be answered in time go first, the more
/// urgent kind before the other and then by the time they have left; whoever has missed its time
/// is served from what remains, the oldest first, so that a crest delays some calls and not all.
/// What could only be served too late for its caller is refused on arrival. How fast the line moves
/// is measured only while calls wait: starts in a calm time tell of the callers, not of the
/// targets, and starts before a group formed anew tell nothing of the time after.
class waiting_line
{
public:
    explicit waiting_line(waiting_line_options options) : m_options{options} {}

    /// Takes a call, or returns the time after which its caller is to come back. `draw` is a
    /// random number from 0 to below 1 that spreads the returns.
    std::optional<milliseconds> offer(const waiting_call& call, timestamp now, double draw);
    /// Puts a call back that was refused by a target without having run.
    void put_back(const waiting_call& call, timestamp now);
    /// The call that is to start next; it stays in the line.
    std::optional<std::uint64_t> next(timestamp now) const;
    /// The call has started.
    void started(std::uint64_t id, timestamp now);
    void remove(std::uint64_t id) { m_calls.erase(id); }
    /// Calls that have waited too long to be served; they leave the line.
    std::vector<std::uint64_t> take_expired(timestamp now);
    /// Calls that can only start too late, since none can before `back_at`; they leave the line.
    std::vector<std::uint64_t> take_hopeless(timestamp back_at);
    /// No call can start for a while, until a group of targets has formed anew; then `places` can
    /// start at once. So many may wait, since the pace of the line tells nothing meanwhile.
    void halt(std::size_t places) { m_halted_places = places; }
    /// Calls can start again after a halt or a standstill: the pace is measured from now on.
    void resume(timestamp now);
    /// When a caller that is refused now is to come back.
    milliseconds retry_after(timestamp now, double draw) const;

    std::size_t size() const { return m_calls.size(); }
    bool empty() const { return m_calls.empty(); }
    /// Starts a second in the last window while calls waited; none before that is known.
    std::optional<double> start_rate(timestamp now) const;

private:
    void add(const waiting_call& call, timestamp now);
    bool goes_before(const waiting_call& a, const waiting_call& b, timestamp now) const;

    waiting_line_options m_options;
    std::map<std::uint64_t, waiting_call> m_calls;
    std::deque<timestamp> m_starts;
    std::optional<std::size_t> m_halted_places;
    /// Since when calls have waited without a break.
    timestamp m_waits_since;
};

} // namespace kumquatgap::policy
