#include "experts/directive_pacer.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <numeric>
#include <set>

using namespace kumquatgap::experts;

namespace
{

constexpr int ranks = 63;
constexpr milliseconds tick{25};
/// A map of 8 sets and 5 places a rank, as bytes.
constexpr std::size_t map_bytes = 2700;
constexpr std::size_t small_bytes = 200;

std::vector<rank_number> all_ranks()
{
    std::vector<rank_number> out(ranks);
    std::iota(out.begin(), out.end(), 0);
    return out;
}

timestamp at(milliseconds d)
{
    return timestamp{} + std::chrono::hours{1} + d;
}

} // namespace

Test(directive_pacer, spreads_a_map_for_a_large_group_over_what_the_link_carries)
{
    const pacer_options options;
    directive_pacer pacer{options};
    std::set<rank_number> told;
    double bytes = 0;
    milliseconds t{0};
    for (; told.size() < ranks && t < milliseconds{1000}; t += tick)
    {
        std::vector<rank_number> unconfirmed;
        std::ranges::copy_if(all_ranks(), std::back_inserter(unconfirmed),
                             [&](int it) { return !told.contains(it); });
        const auto due = pacer.take_due(unconfirmed, 7, map_bytes, at(t));
        bytes += static_cast<double>(due.size() * map_bytes);
        const auto seconds = static_cast<double>(t.count()) / 1000;
        cr_assert_leq(bytes, options.burst_bytes + options.bytes_per_s * seconds + map_bytes);
        told.insert(due.begin(), due.end());
    }
    cr_assert_eq(told.size(), static_cast<std::size_t>(ranks));
    // 170 kB at 800 kB/s.
    cr_assert_leq(t.count(), 250);
}

Test(directive_pacer, tells_all_ranks_of_a_small_directive_at_once)
{
    directive_pacer pacer{{}};
    cr_assert_eq(pacer.take_due(all_ranks(), 1, small_bytes, at(milliseconds{0})).size(),
                 static_cast<std::size_t>(ranks));
}

Test(directive_pacer, repeats_only_what_was_not_confirmed_and_not_at_each_tick)
{
    directive_pacer pacer{{}};
    pacer.take_due(all_ranks(), 1, small_bytes, at(milliseconds{0}));
    cr_assert(pacer.take_due({3, 9}, 1, small_bytes, at(tick)).empty());
    cr_assert_eq(pacer.take_due({3, 9}, 1, small_bytes, at(tick * 2)).size(), 2U);
    // Another directive does not wait for the repeat.
    cr_assert_eq(pacer.take_due({3, 9}, 2, small_bytes, at(tick * 2)).size(), 2U);
}

Test(directive_pacer, keeps_the_order_of_importance)
{
    directive_pacer pacer{{.bytes_per_s = 1, .burst_bytes = 1}};
    const auto due = pacer.take_due({5, 1, 2}, 1, small_bytes, at(milliseconds{0}));
    cr_assert_eq(due.size(), 1U);
    cr_assert_eq(due.front(), 5);
}
