#include "experts/agent_message.hpp"
#include "experts/relay_tree.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>

using namespace kumquatgap::experts;

namespace
{

constexpr double bytes_per_s_of_mbps = 1e6 / 8;

/// A group of a site: its ranks, its experts and the links of its hosts.
struct group_size
{
    int ranks;
    std::size_t sets;
    std::size_t experts;
    double link_mbps;
};

/// The users' sites and a group as large as twice the largest of them.
constexpr auto s_groups = std::to_array<group_size>(
    {{12, 4, 72, 20}, {32, 12, 128, 8}, {63, 8, 252, 8}, {129, 16, 258, 6}, {258, 16, 258, 6}});

link_budget link_of(const group_size& it)
{
    return {.bytes_per_s = it.link_mbps * bytes_per_s_of_mbps};
}

relay_tree divided(const group_size& it)
{
    return divide(std::vector<bool>(static_cast<std::size_t>(it.ranks), true),
                  choices_bytes(it.sets, it.experts), link_of(it));
}

} // namespace

Test(relay_tree, a_group_whose_choices_fit_the_link_is_not_divided)
{
    const auto tree = divided(s_groups.front());
    cr_assert_eq(tree.block_size, 1);
    for (rank_number r = 0; r < tree.size; ++r)
        cr_assert_eq(tree.relay_of(r), r);
}

Test(relay_tree, every_rank_stands_in_one_block_of_a_large_group)
{
    const auto tree = divided({129, 16, 258, 6});
    cr_assert_eq(tree.block_size, 12);
    cr_assert_eq(tree.relays.size(), 11U);
    std::vector<int> seen(129, 0);
    for (std::size_t b = 0; b < tree.relays.size(); ++b)
    {
        for (const auto r : tree.ranks_of(b))
        {
            ++seen[static_cast<std::size_t>(r)];
            cr_assert_eq(tree.relay_of(r), tree.relays[b]);
        }
    }
    cr_assert(std::ranges::all_of(seen, [](int n) { return n == 1; }));
}

Test(relay_tree, a_silent_relay_is_followed_by_the_next_rank_of_its_block)
{
    std::vector<bool> is_live(129, true);
    is_live[12] = false;
    std::fill(is_live.begin() + 24, is_live.begin() + 36, false);
    const auto tree = divide(is_live, choices_bytes(16, 258), link_of({129, 16, 258, 6}));
    cr_assert_eq(tree.relay_of(14), 13);
    cr_assert_eq(tree.relay_of(30), relay_tree::no_rank);
}

Test(relay_tree, no_link_carries_more_choices_than_its_part_however_large_the_group)
{
    for (const auto& it : s_groups)
    {
        const auto tree = divided(it);
        const auto bytes = choices_bytes(it.sets, it.experts);
        const auto spacing = choices_spacing(tree, bytes, link_of(it));
        const double per_s = tree.most_senders() * static_cast<double>(bytes) * 1000 /
                             static_cast<double>(spacing.count());
        cr_assert_leq(per_s, link_of(it).choices() * 1.001, "%d ranks: %f B/s", it.ranks, per_s);
    }
}

Test(relay_tree, choices_come_often_enough_to_follow_a_shift_of_demand)
{
    // Two hops within half of the 600 ms that a new demand may take to its map.
    const auto tree = divided({129, 16, 258, 6});
    const auto spacing = choices_spacing(tree, choices_bytes(16, 258), link_of({129, 16, 258, 6}));
    cr_assert_leq(spacing.count(), 300);
}
