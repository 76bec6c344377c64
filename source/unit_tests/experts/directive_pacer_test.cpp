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
/// Size in bytes of a map with 8 sets and 5 places per rank.
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

/// Ranks that get the directive, directly or through a relay.
std::set<rank_number> reached(const std::vector<directive_send>& all)
{
    std::set<rank_number> out;
    for (const auto& it : all)
    {
        out.insert(it.rank);
        out.insert(it.forward_to.begin(), it.forward_to.end());
    }
    return out;
}

} // namespace

Test(directive_pacer, forwards_map_through_relays_in_large_group)
{
    const pacer_options options;
    directive_pacer pacer{options};
    const auto due = pacer.take_due(all_ranks(), 7, map_bytes, at(milliseconds{0}));
    cr_assert_eq(reached(due).size(), static_cast<std::size_t>(ranks));
    cr_assert_leq(static_cast<double>(due.size() * map_bytes), options.burst_bytes);
    cr_assert(std::ranges::all_of(due, [&](const auto& it)
                                  { return it.forward_to.size() <= options.min_fanout; }));
}

Test(directive_pacer, resends_directly_within_link_rate)
{
    const pacer_options options;
    directive_pacer pacer{options};
    pacer.take_due(all_ranks(), 7, map_bytes, at(milliseconds{0}));
    // No relay forwards anything, so all ranks but the first eight still lack the map.
    std::vector<rank_number> remaining = all_ranks();
    remaining.erase(remaining.begin(), remaining.begin() + 8);
    double bytes = 0;
    milliseconds t = tick;
    for (; !remaining.empty() && t < milliseconds{1000}; t += tick)
    {
        const auto due = pacer.take_due(remaining, 7, map_bytes, at(t));
        bytes += static_cast<double>(due.size() * map_bytes);
        const auto seconds = static_cast<double>(t.count()) / 1000;
        cr_assert_leq(bytes, options.burst_bytes + options.bytes_per_s * seconds + map_bytes);
        cr_assert(std::ranges::all_of(due, [](const auto& it) { return it.forward_to.empty(); }));
        const auto reached_now = reached(due);
        std::erase_if(remaining, [&](int it) { return reached_now.contains(it); });
    }
    cr_assert(remaining.empty());
    // 170 kB at 800 kB/s, and the same time again before the first resend.
    cr_assert_leq(t.count(), 450);
}

/// Guards against a failure with 129 ranks: what exceeded the first burst was sent rank by rank,
/// for most of a second.
Test(directive_pacer, uses_relays_after_first_burst)
{
    constexpr int large = 129;
    constexpr std::size_t bytes = 5500;
    constexpr double link = 300'000;
    directive_pacer pacer{{.bytes_per_s = link}};
    std::vector<rank_number> remaining(large);
    std::iota(remaining.begin(), remaining.end(), 0);
    milliseconds t{0};
    for (; !remaining.empty() && t < milliseconds{1000}; t += tick)
    {
        const auto reached_now = reached(pacer.take_due(remaining, 7, bytes, at(t)));
        std::erase_if(remaining, [&](int it) { return reached_now.contains(it); });
    }
    // Eleven messages at 300 kB/s take 200 ms, less what the burst covers.
    cr_assert_leq(t.count(), 150);
}

/// Guards against a failure with 129 ranks: ranks that the relays did not reach were resent the
/// directive only after the time that sending it to all ranks directly takes.
Test(directive_pacer, resends_after_relay_time)
{
    constexpr int large = 129;
    constexpr std::size_t bytes = 5500;
    directive_pacer pacer{{.bytes_per_s = 300'000}};
    std::vector<rank_number> all(large);
    std::iota(all.begin(), all.end(), 0);
    milliseconds t{0};
    std::size_t reached_count = 0;
    for (; reached_count < large; t += tick)
        reached_count += reached(pacer.take_due(all, 7, bytes, at(t))).size();
    bool is_resent = false;
    for (; t < milliseconds{1000} && !is_resent; t += tick)
        is_resent = !pacer.take_due(all, 7, bytes, at(t)).empty();
    // Twice eleven messages at 300 kB/s take 440 ms; messages to all ranks would take 2.3 s.
    cr_assert(is_resent);
    cr_assert_leq(t.count(), 600);
}

/// Guards against a failure with 129 ranks: the controller's own rank was the first relay, and the
/// messages that it forwarded filled the link needed for those to the other relays.
Test(directive_pacer, own_rank_is_not_a_relay)
{
    directive_pacer pacer{{}};
    pacer.set_own_rank(0);
    const auto due = pacer.take_due(all_ranks(), 7, map_bytes, at(milliseconds{0}));
    cr_assert_eq(reached(due).size(), static_cast<std::size_t>(ranks));
    const auto own = std::ranges::find(due, 0, &directive_send::rank);
    cr_assert(own != due.end() && own->forward_to.empty());
    cr_assert(std::ranges::none_of(
        due,
        [](const auto& it) { return std::ranges::find(it.forward_to, 0) != it.forward_to.end(); }));
}

Test(directive_pacer, sends_small_directive_to_all_ranks_at_once)
{
    directive_pacer pacer{{}};
    cr_assert_eq(pacer.take_due(all_ranks(), 1, small_bytes, at(milliseconds{0})).size(),
                 static_cast<std::size_t>(ranks));
}

Test(directive_pacer, resends_unconfirmed_after_interval)
{
    directive_pacer pacer{{}};
    pacer.take_due(all_ranks(), 1, small_bytes, at(milliseconds{0}));
    cr_assert(pacer.take_due({3, 9}, 1, small_bytes, at(tick)).empty());
    cr_assert_eq(pacer.take_due({3, 9}, 1, small_bytes, at(tick * 2)).size(), 2U);
    // A new directive is sent without waiting for the resend interval.
    cr_assert_eq(pacer.take_due({3, 9}, 2, small_bytes, at(tick * 2)).size(), 2U);
}

Test(directive_pacer, keeps_priority_order)
{
    directive_pacer pacer{{.bytes_per_s = 1, .burst_bytes = 1}};
    const auto due = pacer.take_due({5, 1, 2}, 1, small_bytes, at(milliseconds{0}));
    cr_assert_eq(due.size(), 1U);
    cr_assert_eq(due.front().rank, 5);
}
