#include "policy/target_board.hpp"

#include <criterion/criterion.h>

#include <map>

using namespace kumquatgap::policy;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
const std::vector<placement_candidate> three = {{"a", 2, 0}, {"b", 2, 0}, {"c", 2, 0}};

/// How often each target is picked over evenly spread draws.
std::map<std::string, int> picks(const target_board& board, timestamp now)
{
    std::map<std::string, int> out;
    constexpr int draws = 30;
    for (int i = 0; i < draws; ++i)
        ++out[board.pick(three, {}, now, static_cast<double>(i) / draws)];
    return out;
}

} // namespace

Test(target_board, equal_targets_are_chosen_equally)
{
    const target_board board{{}};
    for (const auto& [id, n] : picks(board, start))
        cr_assert_eq(n, 10, "%s", id.c_str());
}

Test(target_board, the_work_of_other_routers_counts_while_it_is_news)
{
    target_board board{{}};
    board.heard("other", {{"a", 2}, {"b", 1}}, start);
    cr_assert_eq(picks(board, start).count("a"), 0U);
    cr_assert_eq(board.pick(three, {"c"}, start, 0), "b");
    cr_assert_eq(picks(board, start + milliseconds{2000}).count("a"), 1U);
}

Test(target_board, full_targets_are_left_out)
{
    target_board board{{}};
    for (const auto* id : {"a", "a", "b", "b", "c", "c"})
        board.sent(id, 1);
    cr_assert_eq(board.pick(three, {}, start, 0), "");
    board.ended("b", 1, target_health::good, milliseconds{5}, start);
    cr_assert_eq(board.pick(three, {}, start, 0), "b");
}

Test(target_board, a_broken_target_is_left_alone_for_a_while)
{
    target_board board{{}};
    board.sent("a", 1);
    board.ended("a", 1, target_health::broken, milliseconds{5}, start);
    cr_assert_eq(picks(board, start).count("a"), 0U);
    cr_assert_eq(picks(board, start + milliseconds{600}).count("a"), 1U);
}

Test(target_board, when_most_targets_fail_none_is_left_alone)
{
    target_board board{{}};
    for (const auto* id : {"a", "b"})
    {
        board.sent(id, 1);
        board.ended(id, 1, target_health::broken, milliseconds{5}, start);
    }
    cr_assert_eq(picks(board, start).size(), 3U);
}

Test(target_board, a_slow_target_gets_less)
{
    target_board board{{}};
    for (const auto* id : {"a", "b", "c"})
    {
        board.sent(id, 1);
        const milliseconds time{*id == 'a' ? 250 : 50};
        board.ended(id, 1, target_health::good, time, start);
    }
    cr_assert_eq(picks(board, start).count("a"), 0U);
    board.sent("b", 1);
    board.sent("c", 1);
    cr_assert_eq(picks(board, start).count("a"), 0U);
}
