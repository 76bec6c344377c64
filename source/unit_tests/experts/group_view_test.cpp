#include "experts/choice_sum.hpp"
#include "experts/group_view.hpp"

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

Test(group_view, choices_go_to_the_relay_and_from_there_to_the_controller)
{
    group_view it;
    cr_assert(it.choices_address(1).empty());
    cr_assert(it.take(beacon(7, "10.0.0.4:1"), at(milliseconds{0})));
    cr_assert_eq(it.choices_address(1), "10.0.0.1:1");
    cr_assert_eq(it.choices_address(0), "10.0.0.4:1");
    cr_assert_eq(it.block_addresses(0), std::vector<std::string>{"10.0.0.2:1"});
    // An agent whose address is not known is left out.
    cr_assert(it.block_addresses(3).empty());
}

Test(group_view, a_controller_that_was_followed_by_another_is_not_heard)
{
    group_view it;
    it.take(beacon(8, "b:1"), at(milliseconds{0}));
    cr_assert_not(it.take(beacon(7, "a:1"), at(milliseconds{1})));
    auto other = beacon(9, "c:1");
    other.group = "h";
    cr_assert_not(it.take(other, at(milliseconds{2})));
    cr_assert_eq(it.leader(), "b:1");
    // The store may name one before its first beacon.
    it.store_named("d:1");
    cr_assert_eq(it.leader(), "d:1");
}

Test(group_view, a_beacon_without_addresses_keeps_those_that_are_known)
{
    group_view it;
    it.take(beacon(7, "a:1"), at(milliseconds{0}));
    auto m = beacon(8, "b:1");
    m.addresses.clear();
    it.take(m, at(milliseconds{1}));
    cr_assert_eq(it.addresses().size(), 4U);
}

/// Of a large group few ask the store at once when the controller dies, and none while it speaks.
Test(group_view, the_store_is_asked_in_silence_only_and_by_few_at_once)
{
    constexpr int agents = 129;
    group_view it;
    it.take(beacon(7, "a:1"), at(milliseconds{0}));
    const auto asking = [&](milliseconds t)
    {
        int n = 0;
        for (int i = 0; i < agents; ++i)
            n += it.is_silent(at(t), static_cast<double>(i) / agents) ? 1 : 0;
        return n;
    };
    cr_assert_eq(asking(group_view::longest_silence), 0);
    constexpr milliseconds moment{20};
    for (milliseconds t = group_view::longest_silence;
         t < group_view::longest_silence + group_view::ask_spread; t += moment)
        cr_assert_leq(asking(t + moment) - asking(t), 4);
    cr_assert_eq(asking(group_view::longest_silence + group_view::ask_spread), agents);
}

Test(choice_sum, adds_what_ranks_chose_in_one_epoch)
{
    choice_sum it;
    it.add(2, chosen_since({1, 2, 3, 4}, {2, 4, 6, 8}, 2));
    it.add(2, {{10, 0}, {0, 10}});
    // An older epoch counts for nothing.
    it.add(1, {{100, 100}, {100, 100}});
    cr_assert(it.take() == choice_table({{11, 2}, {3, 14}}));
    cr_assert(it.empty());
}

Test(choice_sum, a_rank_that_counts_anew_gives_nothing)
{
    cr_assert(chosen_since({5, 5}, {1, 9}, 1).empty());
    cr_assert(chosen_since({5}, {1, 9}, 1).empty());
    cr_assert(chosen_since({5, 5}, {6, 9}, 0).empty());
}
