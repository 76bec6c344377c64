#include "experts/group_view.hpp"
#include "experts/selection_sum.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace kumquatgap::experts;

namespace
{

timestamp at(milliseconds d)
{
    return timestamp{} + std::chrono::hours{1} + d;
}

beacon_message beacon(fencing_token token, const std::string& leader)
{
    return {.group = "g",
            .token = token,
            .leader = leader,
            .tree = {4, 2, {0, 3}},
            .addresses = {"10.0.0.1:1", "10.0.0.2:1", "", "10.0.0.4:1"}};
}

} // namespace

Test(group_view, counts_go_to_relay_then_controller)
{
    group_view it;
    cr_assert(it.counts_destination(1).empty());
    cr_assert(it.handle(beacon(7, "10.0.0.4:1"), at(milliseconds{0})));
    cr_assert_eq(it.counts_destination(1), "10.0.0.1:1");
    cr_assert_eq(it.counts_destination(0), "10.0.0.4:1");
    cr_assert_eq(it.block_addresses(0), std::vector<std::string>{"10.0.0.2:1"});
    // An agent whose address is unknown is left out.
    cr_assert(it.block_addresses(3).empty());
}

Test(group_view, ignores_replaced_controller)
{
    group_view it;
    it.handle(beacon(8, "b:1"), at(milliseconds{0}));
    cr_assert_not(it.handle(beacon(7, "a:1"), at(milliseconds{1})));
    auto other = beacon(9, "c:1");
    other.group = "h";
    cr_assert_not(it.handle(other, at(milliseconds{2})));
    cr_assert_eq(it.leader(), "b:1");
    // The store may name a controller before its first beacon.
    it.set_stored_leader("d:1");
    cr_assert_eq(it.leader(), "d:1");
}

Test(group_view, beacon_without_addresses_keeps_known_ones)
{
    group_view it;
    it.handle(beacon(7, "a:1"), at(milliseconds{0}));
    auto m = beacon(8, "b:1");
    m.addresses.clear();
    it.handle(m, at(milliseconds{1}));
    cr_assert_eq(it.addresses().size(), 4U);
}

/// In a large group, only a few agents query the store at the same time when the controller fails,
/// and none while its beacons arrive.
Test(group_view, few_agents_query_store_at_once_after_silence)
{
    constexpr int agents = 129;
    group_view it;
    it.handle(beacon(7, "a:1"), at(milliseconds{0}));
    const auto querying = [&](milliseconds t)
    {
        int n = 0;
        for (int i = 0; i < agents; ++i)
            n += it.is_leader_silent(at(t), static_cast<double>(i) / agents) ? 1 : 0;
        return n;
    };
    cr_assert_eq(querying(group_view::beacon_timeout), 0);
    constexpr milliseconds step{20};
    for (milliseconds t = group_view::beacon_timeout;
         t < group_view::beacon_timeout + group_view::query_jitter; t += step)
        cr_assert_leq(querying(t + step) - querying(t), 4);
    cr_assert_eq(querying(group_view::beacon_timeout + group_view::query_jitter), agents);
}

Test(selection_sum, sums_counts_of_one_epoch)
{
    selection_sum it;
    it.add(2, selections_since({1, 2, 3, 4}, {2, 4, 6, 8}, 2));
    it.add(2, {{10, 0}, {0, 10}});
    // Counts of an earlier epoch are ignored.
    it.add(1, {{100, 100}, {100, 100}});
    cr_assert(it.take() == selection_counts({{11, 2}, {3, 14}}));
    cr_assert(it.empty());
}

Test(selection_sum, restarted_counts_give_empty_result)
{
    cr_assert(selections_since({5, 5}, {1, 9}, 1).empty());
    cr_assert(selections_since({5}, {1, 9}, 1).empty());
    cr_assert(selections_since({5, 5}, {6, 9}, 0).empty());
}
