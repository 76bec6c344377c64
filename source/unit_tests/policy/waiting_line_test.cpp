#include "policy/waiting_line.hpp"

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

/// What became of the calls of a replayed load.
struct tally
{
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int expired = 0;
    milliseconds longest_wait_of_refused{0};

    /// A late answer earns half of one in time.
    double worth() const { return in_time + 0.5 * late; }
};

waiting_call call_at(std::uint64_t id, timestamp at, int priority = 1)
{
    return {id, priority, at, at + goal, at + patience};
}

/// Arrivals of a crest: 40 calls a second, and 80 for three seconds, before targets that start 50.
std::vector<timestamp> crest()
{
    std::vector<timestamp> out;
    for (auto at = start; at < start + milliseconds{12'000};)
    {
        out.push_back(at);
        const bool is_crest = at >= start + milliseconds{4000} && at < start + milliseconds{7000};
        at += is_crest ? milliseconds{12} : milliseconds{25};
    }
    return out;
}
constexpr milliseconds start_period{20};

void note_start(tally& out, timestamp arrived, timestamp now)
{
    ++(now <= arrived + goal ? out.in_time : out.late);
}

/// The crest with the line of this project.
tally replay_line(const std::vector<timestamp>& arrivals)
{
    waiting_line line{{}};
    tally out;
    std::map<std::uint64_t, timestamp> arrived;
    std::size_t next = 0;
    for (auto now = start; now < start + milliseconds{20'000}; now += milliseconds{1})
    {
        for (; next < arrivals.size() && arrivals[next] <= now; ++next)
        {
            arrived[next] = now;
            if (line.offer(call_at(next, now), now, 0.5))
                ++out.refused;
        }
        for (const auto id : line.take_expired(now))
        {
            ++out.expired;
            out.longest_wait_of_refused = std::max(out.longest_wait_of_refused, now - arrived[id]);
        }
        if ((now - start) % start_period != milliseconds{0})
            continue;
        if (const auto id = line.next(now))
        {
            line.started(*id, now);
            note_start(out, arrived[*id], now);
        }
    }
    return out;
}

/// The crest, first come first served, as it waits in a target's own queue.
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

Test(waiting_line, a_crest_delays_some_calls_and_not_all)
{
    const auto arrivals = crest();
    const auto fifo = replay_fifo(arrivals);
    const auto line = replay_line(arrivals);
    cr_assert_gt(line.worth(), fifo.worth() * 1.1, "line %f, first in first out %f", line.worth(),
                 fifo.worth());
    cr_assert_gt(line.in_time, fifo.in_time);
}

Test(waiting_line, what_is_refused_has_not_waited_for_its_deadline)
{
    const auto line = replay_line(crest());
    cr_assert_lt(line.longest_wait_of_refused.count(), patience.count());
}

Test(waiting_line, the_more_urgent_kind_goes_first_among_those_in_time)
{
    waiting_line line{{}};
    line.offer(call_at(1, start, 3), start, 0);
    line.offer(call_at(2, start, 0), start, 0);
    line.offer(call_at(3, start, 3), start, 0);
    cr_assert_eq(*line.next(start), 2U);
    line.started(2, start);
    cr_assert_eq(*line.next(start), 1U);
}

Test(waiting_line, late_calls_are_served_oldest_first)
{
    waiting_line line{{}};
    line.offer(call_at(1, start), start, 0);
    line.offer(call_at(2, start + milliseconds{5}), start + milliseconds{5}, 0);
    const auto late = start + goal + milliseconds{100};
    cr_assert_eq(*line.next(late), 1U);
}

/// Lets calls wait and start at 50 a second for half a second, so that the line knows its pace.
timestamp replay_steady_wait(waiting_line& line, std::uint64_t first_id)
{
    constexpr std::uint64_t always_waiting = 5;
    std::uint64_t id = first_id;
    auto now = start;
    for (; id < first_id + always_waiting; ++id)
        line.offer(call_at(id, now), now, 0);
    for (; now < start + milliseconds{500}; now += start_period)
    {
        line.offer(call_at(id, now), now, 0);
        ++id;
        line.started(*line.next(now), now);
    }
    return now;
}

Test(waiting_line, a_call_that_could_not_be_served_in_time_is_refused_on_arrival)
{
    waiting_line line{{}};
    const auto now = replay_steady_wait(line, 1000);
    std::set<std::int64_t> returns;
    for (std::uint64_t id = 0; id < 200; ++id)
    {
        const double draw = static_cast<double>(id % 10) / 10;
        if (const auto after = line.offer(call_at(id, now), now, draw))
            returns.insert(after->count());
    }
    // At 50 a second, 54 calls take three fifths of what a caller waits.
    cr_assert_leq(line.size(), 60U);
    // The callers come back spread, and none later than it would wait.
    cr_assert_geq(returns.size(), 8U);
    cr_assert_leq(*returns.rbegin(), waiting_line_options{}.longest_retry_after.count());
}

Test(waiting_line, a_burst_after_a_calm_time_is_not_refused_by_the_pace_of_the_calm)
{
    waiting_line line{{}};
    // Two calls a second, each of which starts at once.
    std::uint64_t id = 0;
    auto now = start;
    for (; id < 20; ++id, now += milliseconds{500})
    {
        cr_assert(!line.offer(call_at(id, now), now, 0));
        line.started(id, now);
    }
    for (int i = 0; i < 40; ++i, ++id)
        cr_assert(!line.offer(call_at(id, now), now, 0), "call %d of the burst", i);
}

namespace
{

/// Replays a group that forms anew for a while, as after a loss of power, with 20 calls a second at
/// this router. Once formed, it takes 30 calls at once, and 25 a second beyond them. With `knows`,
/// the line is told of the group's state.
tally replay_forming(milliseconds forming, bool knows)
{
    constexpr milliseconds call_period{50};
    constexpr milliseconds length{4000};
    constexpr milliseconds formed_start_period{40};
    constexpr std::size_t places = 30;
    waiting_line line{{}};
    tally out;
    std::map<std::uint64_t, timestamp> arrived;
    std::uint64_t id = 0;
    const auto formed = start + forming;
    if (knows)
        line.halt(places);
    for (auto now = start; now < start + length; now += milliseconds{10})
    {
        if ((now - start) % call_period == milliseconds{0})
        {
            arrived[++id] = now;
            out.refused += line.offer(call_at(id, now), now, 0.5) ? 1 : 0;
        }
        out.expired += static_cast<int>(line.take_expired(now).size());
        if (now < formed)
            continue;
        if (now == formed && knows)
            line.resume(now);
        const bool starts_one = (now - formed) % formed_start_period == milliseconds{0};
        for (std::size_t n = now == formed ? places : (starts_one ? 1 : 0); n > 0; --n)
        {
            const auto next = line.next(now);
            if (!next)
                break;
            line.started(*next, now);
            note_start(out, arrived[*next], now);
        }
    }
    return out;
}

} // namespace

Test(waiting_line, a_group_that_forms_anew_finds_as_many_calls_waiting_as_it_can_start)
{
    const milliseconds forming{1100};
    const auto by_rate = replay_forming(forming, false);
    const auto told = replay_forming(forming, true);
    cr_assert_gt(by_rate.refused, 0, "the line takes a group that forms for a slow one");
    cr_assert_eq(told.refused, 0, "%d refused", told.refused);
    cr_assert_eq(told.expired, 0);
    cr_assert_gt(told.worth(), by_rate.worth());
}

Test(waiting_line, no_more_calls_wait_for_a_group_than_it_can_start)
{
    waiting_line line{{}};
    line.halt(3);
    for (std::uint64_t id = 0; id < 3; ++id)
        cr_assert_not(line.offer(call_at(id, start), start, 0).has_value());
    const auto after = line.offer(call_at(9, start), start, 0);
    cr_assert(after.has_value());
    cr_assert_geq(after->count(), 1000, "a group takes a second and more to form");
}

Test(waiting_line, the_pace_of_a_standstill_is_forgotten_when_it_ends)
{
    waiting_line line{{}};
    std::uint64_t id = 0;
    for (; id < 4; ++id)
        line.offer(call_at(id, start), start, 0);
    const auto later = start + milliseconds{1000};
    cr_assert(line.start_rate(later).has_value());
    line.resume(later);
    cr_assert_not(line.start_rate(later + milliseconds{100}).has_value());
}
