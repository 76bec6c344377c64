#include "policy/admission_queue.hpp"

#include <criterion/criterion.h>

#include <cmath>

using namespace kumquatgap::policy;

/// How an admission_queue predicts when the capacity of its service changes at once.
namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
constexpr milliseconds period{20};
constexpr milliseconds patience{2000};
constexpr std::uint64_t never_started = 1'000'000;

waiting_call call_at(std::uint64_t id, timestamp at)
{
    return {id, 1, at, at + patience, at + patience};
}

/// Starts 50 calls per second for two seconds while one call waits; returns the end.
timestamp start_regularly(admission_queue& queue)
{
    queue.requeue(call_at(never_started, start), start);
    auto now = start;
    for (std::uint64_t id = 0; id < 100; ++id, now += period)
    {
        queue.requeue(call_at(id, now), now);
        queue.started(id, now);
    }
    return now;
}

double start_rate(const admission_queue& queue, timestamp now)
{
    return queue.start_rate(now).value_or(0);
}

/// How many calls are taken before one is refused.
int calls_taken(admission_queue& queue, timestamp now)
{
    constexpr std::uint64_t first = 1000;
    constexpr int enough = 1000;
    auto id = first;
    for (int i = 0; i < enough; ++i)
    {
        if (queue.offer(call_at(id++, now), now, 0.5))
            return i;
    }
    return enough;
}

} // namespace

/// The rate of the two seconds before an evacuation promised starts that the rest could not make.
Test(admission_capacity, measured_rate_falls_with_the_slots)
{
    admission_queue queue{{}};
    const auto now = start_regularly(queue);
    const auto before = start_rate(queue, now);
    cr_assert(std::abs(before - 50) < 2);
    queue.scale_capacity(2.0 / 3, 33, now);
    cr_assert(std::abs(start_rate(queue, now) - before * 2 / 3) < 2);
    queue.scale_capacity(0.5, 16, now);
    cr_assert(std::abs(start_rate(queue, now) - before / 3) < 2);
}

/// Fewer calls must be taken at once, not after the queue has grown.
Test(admission_capacity, fewer_calls_are_taken_at_once)
{
    admission_queue large{{}};
    admission_queue small{{}};
    const auto now = start_regularly(large);
    start_regularly(small);
    small.scale_capacity(0.5, 25, now);
    const auto all = calls_taken(large, now);
    const auto fewer = calls_taken(small, now);
    cr_assert(std::abs(fewer * 2 - all) <= 4, "%d of %d", fewer, all);
}

/// With an empty queue no rate is measured, and calls were taken without limit until one was.
Test(admission_capacity, usual_rate_is_assumed_until_one_is_measured)
{
    admission_queue unchanged{{}};
    cr_assert_eq(calls_taken(unchanged, start), 1000);
    admission_queue queue{{}};
    queue.scale_capacity(0.5, 10, start);
    // 0.6 of two seconds at ten starts per second.
    cr_assert_eq(calls_taken(queue, start), 13);
}

/// An assumption must not outlive what can be measured, or limit a service that has its slots back.
Test(admission_capacity, assumed_rate_ends)
{
    admission_queue queue{{}};
    queue.scale_capacity(0.5, 10, start);
    cr_assert(queue.start_rate(start).has_value());
    cr_assert_not(queue.start_rate(start + milliseconds{2000}).has_value());
    queue.scale_capacity(0.5, 10, start);
    queue.scale_capacity(2, 20, start);
    cr_assert_not(queue.start_rate(start).has_value());
}

/// After the end of an evacuation the low rate refused calls that the returned slots could serve.
Test(admission_capacity, more_slots_are_measured_anew)
{
    admission_queue queue{{}};
    const auto now = start_regularly(queue);
    queue.scale_capacity(1.5, 75, now);
    cr_assert_not(queue.start_rate(now).has_value());
    cr_assert_eq(calls_taken(queue, now), 1000);
}
