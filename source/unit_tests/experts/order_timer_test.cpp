#include "experts/order_timer.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::experts;

Test(order_timer, is_slightly_longer_than_response_times)
{
    order_timer it;
    for (int i = 0; i < 50; ++i)
        it.answered(milliseconds{3});
    cr_assert_leq(it.timeout().count(), 15);
    cr_assert_geq(it.timeout().count(), 10);
}

Test(order_timer, is_longer_for_a_slow_host)
{
    order_timer it;
    for (int i = 0; i < 50; ++i)
        it.answered(milliseconds{i % 2 == 0 ? 20 : 40});
    cr_assert_geq(it.timeout().count(), 50);
    cr_assert_leq(it.timeout().count(), 80);
}

/// When a tenth of the orders is lost they are resent soon, but a rank that answers none is not
/// flooded.
Test(order_timer, doubles_with_each_consecutive_loss_up_to_a_limit)
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
