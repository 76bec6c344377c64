#include "io/connection_reuse.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace kumquatgap;
using common::milliseconds;
using io::can_carry;
using io::idle_connection;
using io::pick_idle;
using io::reuse_conditions;

namespace
{

constexpr milliseconds limit{1000};

idle_connection idle(io::connection_number number, int idle_ms)
{
    return {number, milliseconds{idle_ms}, limit};
}

} // namespace

/// The peer may repeat its response to an earlier attempt, with the id of the next one.
Test(connection_reuse, connection_of_an_earlier_attempt_does_not_carry_the_call_again)
{
    cr_assert(can_carry(idle(7, 0), {limit, {}}));
    cr_assert_not(can_carry(idle(7, 0), {limit, {7}}));
    cr_assert_not(can_carry(idle(7, 0), {limit, {3, 7, 9}}));
    cr_assert(can_carry(idle(7, 0), {limit, {3, 9}}));
}

/// No response is late enough to be ruled out.
Test(connection_reuse, excluded_connection_does_not_carry_the_call_after_any_time)
{
    for (int ms = 0; ms < 1000; ms += 50)
        cr_assert_not(can_carry(idle(7, ms), {limit, {7}}));
}

Test(connection_reuse, connection_that_may_be_closing_carries_no_call)
{
    cr_assert_not(can_carry(idle(1, 1000), {milliseconds{5000}, {}}));
    cr_assert_not(can_carry(idle(1, 500), {milliseconds{500}, {}}));
    cr_assert(can_carry(idle(1, 499), {milliseconds{500}, {}}));
}

Test(connection_reuse, newest_idle_connection_that_has_not_carried_the_call_is_taken)
{
    const std::vector list{idle(4, 300), idle(2, 200), idle(9, 100)};
    cr_assert_eq(pick_idle(list, {limit, {}}).value(), 2);
    cr_assert_eq(pick_idle(list, {limit, {9}}).value(), 1);
    cr_assert_eq(pick_idle(list, {limit, {2, 9}}).value(), 0);
    cr_assert(!pick_idle(list, {limit, {2, 4, 9}}));
    cr_assert(!pick_idle(list, {milliseconds{250}, {2, 9}}));
    cr_assert(!pick_idle({}, {limit, {}}));
}

/// Calls with several attempts over few connections, in drawn order: no connection carries a call
/// twice, and a new one is opened only if all idle ones have carried the call.
Test(connection_reuse, drawn_attempts_never_share_a_connection)
{
    constexpr int rounds = 2000;
    constexpr int attempts = 6;
    std::mt19937 random{20261207};
    std::vector<idle_connection> pool;
    io::connection_number last = 0;
    for (int i = 0; i < rounds; ++i)
    {
        reuse_conditions conditions{limit, {}};
        for (int n = 0; n < attempts; ++n)
        {
            const auto at = pick_idle(pool, conditions);
            const auto is_used = [&](const idle_connection& it) {
                return std::ranges::find(conditions.excluded, it.number) !=
                       conditions.excluded.end();
            };
            cr_assert(at || std::ranges::all_of(pool, is_used));
            cr_assert(!at || !is_used(pool[*at]));
            const auto it = at ? pool[*at] : idle(++last, 0);
            conditions.excluded.push_back(it.number);
            if (at)
                pool.erase(pool.begin() + static_cast<std::ptrdiff_t>(*at));
            // The peer closes some connections after a response.
            if (random() % 8 != 0)
                pool.push_back(it);
        }
    }
    cr_assert_lt(last, rounds * attempts / 2);
}
