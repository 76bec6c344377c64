#include "experts/agent_message.hpp"

#include <criterion/criterion.h>

#include <cmath>

using namespace kumquatgap::experts;

namespace
{

/// A map of one set with the given experts on its ranks.
std::shared_ptr<const expert_map> map_of(std::vector<std::vector<int>> ranks)
{
    return std::make_shared<const expert_map>(expert_map{{expert_set_map(std::move(ranks))}});
}

expert_map encoded_and_decoded(const std::shared_ptr<const expert_map>& map)
{
    directive d;
    d.token = 7;
    d.phase = switch_phase::prepare;
    d.map = map;
    const auto m = from_bytes(to_bytes(directive_message{d}, "token"), "token");
    cr_assert(m && std::holds_alternative<directive_message>(*m));
    const auto& read = std::get<directive_message>(*m).body;
    cr_assert_eq(read.token, 7);
    cr_assert_not_null(read.map.get());
    return *read.map;
}

} // namespace

Test(agent_message, encodes_narrow_and_wide_expert_numbers)
{
    for (const auto& map : {map_of({{0, 255, 3}, {}, {17}}), map_of({{0, 256, 3}, {}, {65535}})})
        cr_assert(encoded_and_decoded(map).sets == map->sets);
}

Test(agent_message, one_byte_per_expert_in_large_group)
{
    constexpr int ranks = 63;
    constexpr int sets = 8;
    constexpr std::size_t most_bytes = 4000;
    expert_map map;
    map.sets.assign(sets, expert_set_map(ranks, std::vector<int>{50, 100, 150, 200, 251}));
    directive d;
    d.map = std::make_shared<const expert_map>(map);
    const auto bytes = to_bytes(directive_message{d}, "token").size();
    cr_assert_lt(bytes, most_bytes);
    cr_assert_leq(bytes, estimated_message_bytes(d) * 5 / 4);
}

Test(agent_message, quantizes_counts_to_1_in_255)
{
    selection_counts_message m;
    m.counts = {{0, 1, 1'000'000}, {500'000, 3921, 7}};
    const auto read = from_bytes(to_bytes(m, "token"), "token");
    cr_assert(read && std::holds_alternative<selection_counts_message>(*read));
    const auto& out = std::get<selection_counts_message>(*read).counts;
    cr_assert_eq(out.size(), m.counts.size());
    for (std::size_t s = 0; s < out.size(); ++s)
    {
        cr_assert_eq(out[s].size(), m.counts[s].size());
        for (std::size_t e = 0; e < out[s].size(); ++e)
            cr_assert_leq(std::abs(out[s][e] - m.counts[s][e]), 1'000'000 / 255 + 1);
    }
}

Test(agent_message, keeps_counts_up_to_255_exactly)
{
    selection_counts_message m;
    m.counts = {{0, 1, 255}};
    const auto read = from_bytes(to_bytes(m, "token"), "token");
    cr_assert(std::get<selection_counts_message>(*read).counts == m.counts);
}

Test(agent_message, decodes_beacon_and_rejects_invalid_tree)
{
    beacon_message m{.group = "g",
                     .token = 7,
                     .leader = "10.0.0.1:1",
                     .tree = {4, 2, {0, relay_tree::no_rank}},
                     .addresses = {"10.0.0.1:1", "", "10.0.0.3:65535", "10.0.0.4:80"},
                     .epoch = 3,
                     .known_map_version = 5,
                     .forward_to_block = true};
    const auto read = from_bytes(to_bytes(m, "t"), "t");
    cr_assert(read && std::holds_alternative<beacon_message>(*read));
    const auto& it = std::get<beacon_message>(*read);
    cr_assert(it.tree == m.tree);
    cr_assert(it.addresses == m.addresses);
    cr_assert_eq(it.known_map_version, 5);
    cr_assert(it.forward_to_block);
    for (const auto& tree : {relay_tree{-1, 1, {}}, relay_tree{4, 0, {}}, relay_tree{4, 5, {}},
                             relay_tree{2'000'000'000, 2'000'000'000, {}}})
    {
        m.tree = tree;
        cr_assert(!from_bytes(to_bytes(m, "t"), "t"));
    }
}

Test(agent_message, rejects_wrong_token_and_truncated_message)
{
    directive d;
    d.map = map_of({{1, 2}});
    const auto bytes = to_bytes(directive_message{d}, "token");
    cr_assert(!from_bytes(bytes, "other"));
    for (std::size_t n = 0; n < bytes.size(); ++n)
        cr_assert(!from_bytes(std::string_view{bytes}.substr(0, n), "token"));
}
