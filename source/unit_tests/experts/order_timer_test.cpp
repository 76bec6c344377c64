#include "experts/order_timer.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::experts;

Test(order_timer, waits_a_little_longer_than_answers_take)
{
    order_timer it;
    for (int i = 0; i < 50; ++i)
        it.answered(milliseconds{3});
    cr_assert_leq(it.timeout().count(), 15);
    cr_assert_geq(it.timeout().count(), 10);
}

Test(order_timer, gives_a_slow_host_more_time)
{
    order_timer it;
    for (int i = 0; i < 50; ++i)
        it.answered(milliseconds{i % 2 == 0 ? 20 : 40});
    cr_assert_geq(it.timeout().count(), 50);
    cr_assert_leq(it.timeout().count(), 80);
}

/// Orders of which a tenth is lost are made again soon; a rank that answers none is not flooded.
Test(order_timer, waits_longer_after_each_loss_in_a_row)
{
    order_timer it;
    const auto first = it.timeout();
    it.lost();
    cr_assert_eq(it.timeout().count(), std::min<std::int64_t>(2 * first.count(), 80));
    for (int i = 0; i < 40; ++i)
        it.lost();
    cr_assert_eq(it.timeout().count(), 80);
    it.answered(milliseconds{4});
    cr_assert_leq(it.timeout().count(), 30);
}
