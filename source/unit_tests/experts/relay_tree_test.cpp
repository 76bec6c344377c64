#include "experts/agent_message.hpp"
#include "experts/relay_tree.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>

using namespace kumquatgap::experts;

namespace
{

constexpr double bytes_per_s_of_mbps = 1e6 / 8;

/// Size of a group and the link speed of its hosts.
struct group_size
{
    int ranks;
    std::size_t sets;
    std::size_t experts;
    double link_mbps;
};

/// The groups of the users' sites, and one twice as large as the largest of them.
constexpr auto s_groups = std::to_array<group_size>(
    {{12, 4, 72, 20}, {32, 12, 128, 8}, {63, 8, 252, 8}, {129, 16, 258, 6}, {258, 16, 258, 6}});

link_budget link_of(const group_size& it)
{
    return {.bytes_per_s = it.link_mbps * bytes_per_s_of_mbps};
}

relay_tree tree_for(const group_size& it)
{
    return make_relay_tree(std::vector<bool>(static_cast<std::size_t>(it.ranks), true),
                           estimated_counts_message_bytes(it.sets, it.experts), link_of(it));
}

} // namespace

Test(relay_tree, small_group_is_not_divided)
{
    const auto tree = tree_for(s_groups.front());
    cr_assert_eq(tree.block_size, 1);
    for (rank_number r = 0; r < tree.size; ++r)
        cr_assert_eq(tree.relay_of(r), r);
}

Test(relay_tree, each_rank_is_in_one_block)
{
    const auto tree = tree_for({129, 16, 258, 6});
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

Test(relay_tree, next_live_rank_replaces_silent_relay)
{
    std::vector<bool> is_live(129, true);
    is_live[12] = false;
    std::fill(is_live.begin() + 24, is_live.begin() + 36, false);
    const auto tree = make_relay_tree(is_live, estimated_counts_message_bytes(16, 258),
                                      link_of({129, 16, 258, 6}));
    cr_assert_eq(tree.relay_of(14), 13);
    cr_assert_eq(tree.relay_of(30), relay_tree::no_rank);
}

Test(relay_tree, counts_stay_within_link_fraction)
{
    for (const auto& it : s_groups)
    {
        const auto tree = tree_for(it);
        const auto bytes = estimated_counts_message_bytes(it.sets, it.experts);
        const auto spacing = counts_interval(tree, bytes, link_of(it));
        const double per_s = tree.max_senders() * static_cast<double>(bytes) * 1000 /
                             static_cast<double>(spacing.count());
        cr_assert_leq(per_s, link_of(it).counts_bytes_per_s() * 1.001, "%d ranks: %f B/s", it.ranks,
                      per_s);
    }
}

Test(relay_tree, counts_interval_follows_demand_shift)
{
    // Two hops must fit in half of the 600 ms that may pass from a change in demand to its map.
    const auto tree = tree_for({129, 16, 258, 6});
    const auto spacing =
        counts_interval(tree, estimated_counts_message_bytes(16, 258), link_of({129, 16, 258, 6}));
    cr_assert_leq(spacing.count(), 300);
}
