#include "policy/least_load_picker.hpp"
#include "policy/load_broadcast_interval.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::policy;

Test(load_broadcast_interval, message_rate_bounded_for_any_peer_count)
{
    constexpr double ms_per_s = 1000;
    constexpr double max_messages_per_s = 400;
    for (const std::size_t peers : {1U, 3U, 7U, 29U, 99U, 299U, 399U})
    {
        const auto period = load_broadcast_interval(peers);
        const auto rate =
            static_cast<double>(peers) * ms_per_s / static_cast<double>(period.count());
        cr_assert_leq(rate, max_messages_per_s, "%zu peers: %f messages per second", peers, rate);
        cr_assert_lt(period.count(), least_load_picker_options{}.peer_load_lifetime.count());
    }
}

Test(load_broadcast_interval, few_peers_get_short_interval)
{
    cr_assert_leq(load_broadcast_interval(7).count(), 25);
}
