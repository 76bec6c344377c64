#include "experts/agent_message.hpp"
#include "experts/map_changes.hpp"

#include <criterion/criterion.h>

#include <random>

using namespace kumquatgap::experts;

namespace
{

constexpr std::size_t sets = 16;
constexpr std::size_t ranks = 129;
constexpr std::size_t experts = 258;

/// The map with a further expert at some ranks.
expert_map changed(expert_map map, int rows, unsigned seed = 3)
{
    std::mt19937 random{seed};
    for (int i = 0; i < rows; ++i)
        map.sets[random() % sets][random() % ranks].push_back(static_cast<int>(random() % experts));
    return map;
}

} // namespace

Test(map_changes, lead_from_one_map_to_the_other)
{
    const auto from = experts_in_turn(sets, ranks, experts);
    const auto to = changed(from, 200);
    const auto changes = difference(from, 7, to);
    cr_assert_eq(changes.base, 7);
    const auto out = applied(from, changes);
    cr_assert(out && *out == to);
}

Test(map_changes, do_not_apply_to_another_base)
{
    const auto from = experts_in_turn(sets, ranks, experts);
    const auto changes = difference(from, 7, changed(from, 200));
    cr_assert(!applied(changed(from, 1, 4), changes));
    cr_assert(!applied(experts_in_turn(1, 2, 4), changes));
}

Test(map_changes, of_a_large_group_take_a_third_of_its_map)
{
    const auto from = experts_in_turn(sets, ranks, experts);
    directive d;
    d.phase = switch_phase::prepare;
    d.map = std::make_shared<const expert_map>(changed(from, 250));
    const auto whole = to_bytes(directive_message{.what = d}, "t").size();
    directive_message m{.what = d, .changes = difference(from, 7, *d.map)};
    m.what.map.reset();
    const auto part = to_bytes(m, "t").size();
    cr_assert_lt(part * 3, whole, "%zu of %zu", part, whole);
    cr_assert_leq(part, message_bytes(*m.changes) * 5 / 4);
    const auto read = from_bytes(to_bytes(m, "t"), "t");
    cr_assert(read && std::holds_alternative<directive_message>(*read));
    const auto& got = std::get<directive_message>(*read);
    cr_assert(got.changes && !got.what.map);
    cr_assert(applied(from, *got.changes) == *d.map);
}

Test(map_archive, knows_the_newest_maps_of_one_epoch)
{
    map_archive it;
    const auto map = std::make_shared<const expert_map>(experts_in_turn(1, 2, 4));
    for (map_version v = 0; v < 5; ++v)
        it.put(1, v, map);
    cr_assert_eq(it.known(1, 4), 4);
    cr_assert_eq(it.known(1, 0), map_archive::unknown);
    cr_assert_eq(it.known(2, 4), map_archive::unknown);
    it.put(2, 0, map);
    cr_assert_eq(it.known(2, 0), 0);
    cr_assert_eq(it.known(2, 4), map_archive::unknown);
    it.forget(0);
    cr_assert_eq(it.known(2, 0), map_archive::unknown);
}
