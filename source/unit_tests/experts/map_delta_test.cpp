#include "experts/agent_message.hpp"
#include "experts/map_delta.hpp"

#include <criterion/criterion.h>

#include <random>

using namespace kumquatgap::experts;

namespace
{

constexpr std::size_t sets = 16;
constexpr std::size_t ranks = 129;
constexpr std::size_t experts = 258;

/// The map with one more expert on some randomly chosen ranks.
expert_map with_extra_experts(expert_map map, int rows, unsigned seed = 3)
{
    std::mt19937 random{seed};
    for (int i = 0; i < rows; ++i)
        map.sets[random() % sets][random() % ranks].push_back(static_cast<int>(random() % experts));
    return map;
}

} // namespace

Test(map_delta, applies_to_base)
{
    const auto from = round_robin_map(sets, ranks, experts);
    const auto to = with_extra_experts(from, 200);
    const auto delta = make_delta(from, 7, to);
    cr_assert_eq(delta.base, 7);
    const auto out = apply_delta(from, delta);
    cr_assert(out && *out == to);
}

Test(map_delta, rejects_other_base)
{
    const auto from = round_robin_map(sets, ranks, experts);
    const auto delta = make_delta(from, 7, with_extra_experts(from, 200));
    cr_assert(!apply_delta(with_extra_experts(from, 1, 4), delta));
    cr_assert(!apply_delta(round_robin_map(1, 2, 4), delta));
}

Test(map_delta, is_a_third_of_the_map_in_large_group)
{
    const auto from = round_robin_map(sets, ranks, experts);
    directive d;
    d.phase = switch_phase::prepare;
    d.map = std::make_shared<const expert_map>(with_extra_experts(from, 250));
    const auto whole = to_bytes(directive_message{.body = d}, "t").size();
    directive_message m{.body = d, .delta = make_delta(from, 7, *d.map)};
    m.body.map.reset();
    const auto part = to_bytes(m, "t").size();
    cr_assert_lt(part * 3, whole, "%zu of %zu", part, whole);
    cr_assert_leq(part, estimated_message_bytes(*m.delta) * 5 / 4);
    const auto read = from_bytes(to_bytes(m, "t"), "t");
    cr_assert(read && std::holds_alternative<directive_message>(*read));
    const auto& got = std::get<directive_message>(*read);
    cr_assert(got.delta && !got.body.map);
    cr_assert(apply_delta(from, *got.delta) == *d.map);
}

Test(map_cache, keeps_newest_maps_of_one_epoch)
{
    map_cache it;
    const auto map = std::make_shared<const expert_map>(round_robin_map(1, 2, 4));
    for (map_version v = 0; v < 5; ++v)
        it.put(1, v, map);
    cr_assert_eq(it.known_version(1, 4), 4);
    cr_assert_eq(it.known_version(1, 0), map_cache::unknown);
    cr_assert_eq(it.known_version(2, 4), map_cache::unknown);
    it.put(2, 0, map);
    cr_assert_eq(it.known_version(2, 0), 0);
    cr_assert_eq(it.known_version(2, 4), map_cache::unknown);
    it.erase(0);
    cr_assert_eq(it.known_version(2, 0), map_cache::unknown);
}
