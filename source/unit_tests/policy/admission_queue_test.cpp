#include "policy/admission_queue.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <vector>

using namespace kumquatgap::policy;

namespace
{

constexpr milliseconds goal{280};
constexpr milliseconds patience{1800};
constexpr timestamp start{milliseconds{1'000'000}};

/// The results of the calls of a simulated load.
struct tally
{
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int expired = 0;
    milliseconds longest_wait_of_refused{0};

    /// A late response has half the value of one in time.
    double score() const { return in_time + 0.5 * late; }
};

waiting_call call_at(std::uint64_t id, timestamp at, int priority = 1)
{
    return {id, priority, at, at + goal, at + patience};
}

/// Arrivals with a load spike: 40 calls per second, and 80 for three seconds, while targets
/// start 50.
std::vector<timestamp> load_spike()
{
    std::vector<timestamp> out;
    for (auto at = start; at < start + milliseconds{12'000};)
    {
        out.push_back(at);
        const bool is_spike = at >= start + milliseconds{4000} && at < start + milliseconds{7000};
        at += is_spike ? milliseconds{12} : milliseconds{25};
    }
    return out;
}
constexpr milliseconds start_period{20};

void note_start(tally& out, timestamp arrived, timestamp now)
{
    ++(now <= arrived + goal ? out.in_time : out.late);
}

/// Simulates the arrivals with an admission_queue.
tally replay_queue(const std::vector<timestamp>& arrivals)
{
    admission_queue queue{{}};
    tally out;
    std::map<std::uint64_t, timestamp> arrived;
    std::size_t next = 0;
    for (auto now = start; now < start + milliseconds{20'000}; now += milliseconds{1})
    {
        for (; next < arrivals.size() && arrivals[next] <= now; ++next)
        {
            arrived[next] = now;
            if (queue.offer(call_at(next, now), now, 0.5))
                ++out.refused;
        }
        for (const auto id : queue.take_expired(now))
        {
            ++out.expired;
            out.longest_wait_of_refused = std::max(out.longest_wait_of_refused, now - arrived[id]);
        }
        if ((now - start) % start_period != milliseconds{0})
            continue;
        if (const auto id = queue.next(now))
        {
            queue.started(*id, now);
            note_start(out, arrived[*id], now);
        }
    }
    return out;
}

/// Simulates the arrivals with a first in, first out queue, as at the targets.
tally replay_fifo(const std::vector<timestamp>& arrivals)
{
    std::deque<timestamp> queue;
    tally out;
    std::size_t next = 0;
    for (auto now = start; now < start + milliseconds{20'000}; now += milliseconds{1})
    {
        for (; next < arrivals.size() && arrivals[next] <= now; ++next)
            queue.push_back(now);
        while (!queue.empty() && now - queue.front() > patience)
        {
            queue.pop_front();
            ++out.expired;
        }
        if ((now - start) % start_period != milliseconds{0} || queue.empty())
            continue;
        note_start(out, queue.front(), now);
        queue.pop_front();
    }
    return out;
}

} // namespace

Test(admission_queue, load_spike_delays_only_some_calls)
{
    const auto arrivals = load_spike();
    const auto fifo = replay_fifo(arrivals);
    const auto queue = replay_queue(arrivals);
    cr_assert_gt(queue.score(), fifo.score() * 1.1, "admission queue %f, first in first out %f",
                 queue.score(), fifo.score());
    cr_assert_gt(queue.in_time, fifo.in_time);
}

Test(admission_queue, expired_calls_leave_before_deadline)
{
    const auto queue = replay_queue(load_spike());
    cr_assert_lt(queue.longest_wait_of_refused.count(), patience.count());
}

Test(admission_queue, urgent_calls_first_while_in_time)
{
    admission_queue queue{{}};
    queue.offer(call_at(1, start, 3), start, 0);
    queue.offer(call_at(2, start, 0), start, 0);
    queue.offer(call_at(3, start, 3), start, 0);
    cr_assert_eq(*queue.next(start), 2U);
    queue.started(2, start);
    cr_assert_eq(*queue.next(start), 1U);
}

Test(admission_queue, late_calls_served_oldest_first)
{
    admission_queue queue{{}};
    queue.offer(call_at(1, start), start, 0);
    queue.offer(call_at(2, start + milliseconds{5}), start + milliseconds{5}, 0);
    const auto late = start + goal + milliseconds{100};
    cr_assert_eq(*queue.next(late), 1U);
}

/// Lets calls wait and start at 50 per second for half a second, so that the queue has a measured
/// start rate.
timestamp replay_steady_wait(admission_queue& queue, std::uint64_t first_id)
{
    constexpr std::uint64_t always_waiting = 5;
    std::uint64_t id = first_id;
    auto now = start;
    for (; id < first_id + always_waiting; ++id)
        queue.offer(call_at(id, now), now, 0);
    for (; now < start + milliseconds{500}; now += start_period)
    {
        queue.offer(call_at(id, now), now, 0);
        ++id;
        queue.started(*queue.next(now), now);
    }
    return now;
}

Test(admission_queue, unservable_call_refused_on_arrival)
{
    admission_queue queue{{}};
    const auto now = replay_steady_wait(queue, 1000);
    std::set<std::int64_t> returns;
    for (std::uint64_t id = 0; id < 200; ++id)
    {
        const double draw = static_cast<double>(id % 10) / 10;
        if (const auto after = queue.offer(call_at(id, now), now, draw))
            returns.insert(after->count());
    }
    // At 50 per second, 54 calls take three fifths of the time that a caller waits.
    cr_assert_leq(queue.size(), 60U);
    // The retries are spread, and no caller is asked to retry later than the longest time allowed.
    cr_assert_geq(returns.size(), 8U);
    cr_assert_leq(*returns.rbegin(), admission_queue_options{}.max_retry_after.count());
}

Test(admission_queue, burst_after_low_load_not_refused)
{
    admission_queue queue{{}};
    // Two calls per second, each of which starts at once.
    std::uint64_t id = 0;
    auto now = start;
    for (; id < 20; ++id, now += milliseconds{500})
    {
        cr_assert(!queue.offer(call_at(id, now), now, 0));
        queue.started(id, now);
    }
    for (int i = 0; i < 40; ++i, ++id)
        cr_assert(!queue.offer(call_at(id, now), now, 0), "call %d of the burst", i);
}

namespace
{

/// Simulates a group that re-forms for a while, as after a loss of power, with 20 calls per second
/// at this gateway. Once formed, it starts 30 calls at once, and then 25 per second. With
/// `is_notified`, the queue is notified of the halt.
tally replay_group_restart(milliseconds forming, bool is_notified)
{
    constexpr milliseconds call_period{50};
    constexpr milliseconds length{4000};
    constexpr milliseconds formed_start_period{40};
    constexpr std::size_t slots = 30;
    admission_queue queue{{}};
    tally out;
    std::map<std::uint64_t, timestamp> arrived;
    std::uint64_t id = 0;
    const auto formed = start + forming;
    if (is_notified)
        queue.halt(slots);
    for (auto now = start; now < start + length; now += milliseconds{10})
    {
        if ((now - start) % call_period == milliseconds{0})
        {
            arrived[++id] = now;
            out.refused += queue.offer(call_at(id, now), now, 0.5) ? 1 : 0;
        }
        out.expired += static_cast<int>(queue.take_expired(now).size());
        if (now < formed)
            continue;
        if (now == formed && is_notified)
            queue.resume(now);
        const bool starts_one = (now - formed) % formed_start_period == milliseconds{0};
        for (std::size_t n = now == formed ? slots : (starts_one ? 1 : 0); n > 0; --n)
        {
            const auto next = queue.next(now);
            if (!next)
                break;
            queue.started(*next, now);
            note_start(out, arrived[*next], now);
        }
    }
    return out;
}

} // namespace

Test(admission_queue, halt_admits_calls_for_all_slots)
{
    const milliseconds forming{1100};
    const auto by_rate = replay_group_restart(forming, false);
    const auto notified = replay_group_restart(forming, true);
    cr_assert_gt(by_rate.refused, 0,
                 "without the halt, the start rate of a re-forming group refuses calls");
    cr_assert_eq(notified.refused, 0, "%d refused", notified.refused);
    cr_assert_eq(notified.expired, 0);
    cr_assert_gt(notified.score(), by_rate.score());
}

Test(admission_queue, halt_refuses_calls_beyond_slots)
{
    admission_queue queue{{}};
    queue.halt(3);
    for (std::uint64_t id = 0; id < 3; ++id)
        cr_assert_not(queue.offer(call_at(id, start), start, 0).has_value());
    const auto after = queue.offer(call_at(9, start), start, 0);
    cr_assert(after.has_value());
    cr_assert_geq(after->count(), 1000, "a group takes a second or more to re-form");
}

Test(admission_queue, resume_resets_start_rate)
{
    admission_queue queue{{}};
    std::uint64_t id = 0;
    for (; id < 4; ++id)
        queue.offer(call_at(id, start), start, 0);
    const auto later = start + milliseconds{1000};
    cr_assert(queue.start_rate(later).has_value());
    queue.resume(later);
    cr_assert_not(queue.start_rate(later + milliseconds{100}).has_value());
}

namespace
{

constexpr milliseconds call_patience{20'000};
constexpr milliseconds rate_period{100};

waiting_call patient_call(std::uint64_t id, timestamp at)
{
    return {id, 1, at, at + call_patience, at + call_patience};
}

/// A queue with `n` calls that has started one in each rate_period for two seconds; returns the
/// time of the last start.
timestamp start_regularly(admission_queue& queue, std::uint64_t n)
{
    constexpr int starts = 20;
    auto now = start;
    for (std::uint64_t id = 0; id < n + starts; ++id)
        queue.offer(patient_call(id, now), now, 0.5);
    for (int i = 0; i < starts; ++i)
    {
        now += rate_period;
        queue.started(*queue.next(now), now);
    }
    return now;
}

} // namespace

/// Guards against calls that waited until the process exited: at ten starts a second and three
/// seconds, of which a call takes one, twenty can be served.
Test(admission_queue, shutdown_refuses_what_can_not_end_in_time)
{
    admission_queue queue{{}};
    const auto now = start_regularly(queue, 30);
    const remaining_time left{now + milliseconds{3000}, now + milliseconds{1000},
                              milliseconds{1000}};
    const auto refused = queue.take_unfinishable(left, now);
    cr_assert_eq(refused.size(), 10U);
    cr_assert_eq(refused.front(), 40U, "those that would start last");
    cr_assert_eq(queue.size(), 20U);
    cr_assert(queue.take_unfinishable(left, now).empty());
}

/// Guards against refusing at once what may still be served: that nothing starts is known only
/// after a time.
Test(admission_queue, shutdown_keeps_calls_while_nothing_is_known)
{
    admission_queue queue{{}};
    queue.offer(patient_call(1, start), start, 0.5);
    queue.offer(patient_call(2, start), start, 0.5);
    const auto ends_at = start + milliseconds{6000};
    const auto patience_ends_at = start + milliseconds{2000};
    for (auto now = start; now < patience_ends_at; now += rate_period)
        cr_assert(queue.take_unfinishable({ends_at, patience_ends_at, {}}, now).empty());
    queue.started(1, patience_ends_at);
    cr_assert(queue.take_unfinishable({ends_at, patience_ends_at, {}}, patience_ends_at).empty(),
              "a start shows that calls are served");
    const auto later = patience_ends_at + milliseconds{2100};
    cr_assert_eq(queue.take_unfinishable({ends_at, patience_ends_at, {}}, later).size(), 1U);
}

Test(admission_queue, shutdown_does_not_refuse_calls_that_are_answered_in_part)
{
    admission_queue queue{{}};
    auto call = patient_call(1, start);
    call.is_answered_in_part = true;
    queue.requeue(call, start);
    const auto now = start + milliseconds{3000};
    cr_assert(queue.take_unfinishable({now, now, {}}, now).empty());
    cr_assert_eq(queue.size(), 1U);
}

/// A stream that delays its whole group gives its place up before it has another one, so that one
/// has to be likely.
Test(admission_queue, start_is_predicted_from_the_usual_and_the_measured_rate)
{
    admission_queue queue{{}};
    const auto late_by = start + milliseconds{2000};
    const waiting_call stream{100, 1, start, late_by, late_by};
    cr_assert(!queue.is_start_predicted(stream, 0, start), "nothing is known");
    cr_assert(queue.is_start_predicted(stream, 1, start));
    for (std::uint64_t id = 0; id < 10; ++id)
        queue.requeue({id, 1, start, late_by - milliseconds{1}, late_by}, start);
    cr_assert(!queue.is_start_predicted(stream, 1, start), "ten calls go before it");
    constexpr double rate = 10;
    cr_assert(queue.is_start_predicted(stream, rate, start));
}
