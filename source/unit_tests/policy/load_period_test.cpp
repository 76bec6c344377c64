#include "policy/load_period.hpp"
#include "policy/target_board.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::policy;

Test(load_period, messages_do_not_grow_with_the_number_of_routers)
{
    constexpr double ms_per_s = 1000;
    constexpr double most_messages_per_s = 400;
    for (const std::size_t others : {1U, 3U, 7U, 29U, 99U, 299U, 399U})
    {
        const auto period = load_period(others);
        const auto rate =
            static_cast<double>(others) * ms_per_s / static_cast<double>(period.count());
        cr_assert_leq(rate, most_messages_per_s, "%zu others: %f messages a second", others, rate);
        cr_assert_lt(period.count(), target_board_options{}.peer_load_lifetime.count());
    }
}

Test(load_period, a_handful_of_routers_tell_their_loads_as_soon_as_they_change)
{
    cr_assert_leq(load_period(7).count(), 25);
}
