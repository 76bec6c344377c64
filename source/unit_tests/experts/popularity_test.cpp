#include "experts/popularity.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace kumquatgap::experts;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
constexpr milliseconds period{50};
constexpr std::size_t sets = 2;
constexpr std::size_t experts = 64;
constexpr int choices_of_message = 20'000;

using table = std::vector<std::vector<std::int64_t>>;

/// A demand of its own for each number: a few experts get most of the choices.
std::vector<double> weights(unsigned demand)
{
    std::vector<double> out;
    for (std::size_t e = 0; e < experts; ++e)
        out.push_back(1.0 / static_cast<double>(1 + e));
    std::mt19937 random{demand};
    std::ranges::shuffle(out, random);
    return out;
}

/// The choices of a group in one period, with what chance adds.
table drawn(unsigned demand, std::mt19937& random, int choices = choices_of_message)
{
    const auto w = weights(demand);
    std::discrete_distribution<std::size_t> which(w.begin(), w.end());
    table out(sets, std::vector<std::int64_t>(experts, 0));
    for (auto& set : out)
    {
        for (int i = 0; i < choices; ++i)
            ++set[which(random)];
    }
    return out;
}

std::ptrdiff_t hottest(const popularity& it)
{
    const auto& set = it.loads().front();
    return std::ranges::max_element(set) - set.begin();
}

std::ptrdiff_t hottest(unsigned demand)
{
    const auto w = weights(demand);
    return std::ranges::max_element(w) - w.begin();
}

} // namespace

/// Load pattern: the demand jumps every 3.5 s.
Test(popularity, after_a_shift_the_choices_of_before_are_dropped)
{
    std::mt19937 random{1};
    popularity it;
    auto now = start;
    for (unsigned demand = 1; demand <= 6; ++demand)
    {
        const auto shifted_at = now;
        for (; now - shifted_at < milliseconds{3500}; now += period)
        {
            it.add(drawn(demand, random), now);
            if (now - shifted_at < milliseconds{200})
                continue;
            cr_assert_eq(hottest(it), hottest(demand));
            // Of the weights of before at most what falls into the window of the shift is left.
            const auto all = it.loads().front();
            const table expected = drawn(demand, random);
            expert_loads fresh{{expected.front().begin(), expected.front().end()}};
            cr_assert_lt(difference_of({all}, fresh), 0.2);
        }
        cr_assert_eq(it.changes(), static_cast<int>(demand) - 1);
    }
    cr_assert_leq(std::abs(it.life(now).count() - 3500), 600);
}

/// Load pattern: a switch would begin in the moment of a shift, by choices of both demands, and
/// hold up the one that is needed.
Test(popularity, a_change_that_is_not_certain_yet_is_told)
{
    std::mt19937 random{5};
    popularity it;
    auto now = start;
    for (int i = 0; i < 20; ++i, now += period)
    {
        it.add(drawn(1, random), now);
        cr_assert(!it.may_be_changing());
    }
    // The windows are 100 ms long, so that one of the two ends with the next choices.
    it.add(drawn(2, random), now);
    it.add(drawn(2, random), now);
    cr_assert(it.may_be_changing() || it.changes() == 1);
    it.add(drawn(2, random), now + 2 * period);
    it.add(drawn(2, random), now + 4 * period);
    cr_assert_eq(it.changes(), 1);
    cr_assert(!it.may_be_changing());
}

Test(popularity, chance_and_drift_are_no_change)
{
    std::mt19937 random{2};
    popularity it;
    auto now = start;
    constexpr int few_choices = 2000;
    for (int i = 0; i < 400; ++i, now += period)
        it.add(drawn(7, random, few_choices), now);
    cr_assert_eq(it.changes(), 0);
    cr_assert_geq(it.life(now).count(), 2500);
}

Test(popularity, a_few_choices_prove_nothing)
{
    std::mt19937 random{3};
    popularity it;
    auto now = start;
    for (int i = 0; i < 40; ++i, now += period)
        it.add(drawn(i < 20 ? 1 : 2, random, 20), now);
    cr_assert_eq(it.changes(), 0);
}

Test(popularity, a_new_start_of_the_engines_is_no_change_of_demand)
{
    std::mt19937 random{4};
    popularity it;
    auto now = start;
    for (int i = 0; i < 20; ++i, now += period)
        it.add(drawn(1, random), now);
    it.clear();
    cr_assert_eq(it.total(), 0);
    for (int i = 0; i < 20; ++i, now += period)
        it.add(drawn(2, random), now);
    cr_assert_eq(it.changes(), 0);
    cr_assert_eq(hottest(it), hottest(2));
}

Test(popularity, difference_is_the_part_that_went_elsewhere)
{
    cr_assert_float_eq(difference_of({{1, 1}}, {{5, 5}}), 0, 1e-9);
    cr_assert_float_eq(difference_of({{1, 0}}, {{0, 9}}), 1, 1e-9);
    cr_assert_float_eq(difference_of({{3, 1}}, {{1, 1}}), 0.25, 1e-9);
}
