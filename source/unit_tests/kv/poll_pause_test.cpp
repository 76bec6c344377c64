#include "kv/poll_pause.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace kumquatgap;
using common::milliseconds;
using common::timestamp;

namespace
{

timestamp at(milliseconds d)
{
    return timestamp{} + std::chrono::hours{1} + d;
}

/// The calls of a watch whose changes come one after the other.
int calls_for(int changes, milliseconds spacing)
{
    kv::poll_pause pause;
    int calls = 0;
    auto next_call = milliseconds{0};
    for (int i = 0; i < changes; ++i)
    {
        const auto t = spacing * i;
        // A change that comes while no call waits is told by the next one, with others.
        if (t < next_call)
            continue;
        ++calls;
        next_call = t + pause.after_changes(at(t));
    }
    return calls;
}

} // namespace

Test(poll_pause, changes_that_come_singly_are_each_seen_at_once)
{
    kv::poll_pause pause;
    for (int i = 0; i < 5; ++i)
        cr_assert_eq(pause.after_changes(at(kv::poll_pause::series_gap * i)).count(), 0);
}

/// The entries of a large deployment's start: 134 targets within some five seconds.
Test(poll_pause, a_series_of_changes_takes_few_calls)
{
    constexpr milliseconds spacing{35};
    constexpr int targets = 134;
    cr_assert_eq(calls_for(targets, kv::poll_pause::series_gap), targets);
    cr_assert_leq(calls_for(targets, spacing), 34);
}
