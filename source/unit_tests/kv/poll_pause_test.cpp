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

/// The number of calls that a watch makes for changes at a constant interval.
int count_calls(int changes, milliseconds spacing)
{
    kv::poll_pause pause;
    int calls = 0;
    auto next_call = milliseconds{0};
    for (int i = 0; i < changes; ++i)
    {
        const auto t = spacing * i;
        // A change during a pause is reported by the next call, together with others.
        if (t < next_call)
            continue;
        ++calls;
        next_call = t + pause.after_changes(at(t));
    }
    return calls;
}

} // namespace

Test(poll_pause, isolated_change_is_followed_by_no_pause)
{
    kv::poll_pause pause;
    for (int i = 0; i < 5; ++i)
        cr_assert_eq(pause.after_changes(at(kv::poll_pause::burst_gap * i)).count(), 0);
}

/// At the start of a large deployment 134 targets write their entries within about five seconds.
Test(poll_pause, burst_of_changes_is_batched)
{
    constexpr milliseconds spacing{35};
    constexpr int targets = 134;
    cr_assert_eq(count_calls(targets, kv::poll_pause::burst_gap), targets);
    cr_assert_leq(count_calls(targets, spacing), 34);
}
