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
constexpr int selections_per_message = 20'000;

using table = std::vector<std::vector<std::int64_t>>;

/// The expert weights of a demand, in an order that depends on its number: a few experts get most
/// of the selections.
std::vector<double> weights(unsigned demand)
{
    std::vector<double> out;
    for (std::size_t e = 0; e < experts; ++e)
        out.push_back(1.0 / static_cast<double>(1 + e));
    std::mt19937 random{demand};
    std::ranges::shuffle(out, random);
    return out;
}

/// Random selection counts of a group for one period.
table draw_counts(unsigned demand, std::mt19937& random, int counts = selections_per_message)
{
    const auto w = weights(demand);
    std::discrete_distribution<std::size_t> which(w.begin(), w.end());
    table out(sets, std::vector<std::int64_t>(experts, 0));
    for (auto& set : out)
    {
        for (int i = 0; i < counts; ++i)
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
Test(popularity, drops_earlier_selections_after_a_demand_change)
{
    std::mt19937 random{1};
    popularity it;
    auto now = start;
    for (unsigned demand = 1; demand <= 6; ++demand)
    {
        const auto shifted_at = now;
        for (; now - shifted_at < milliseconds{3500}; now += period)
        {
            it.add(draw_counts(demand, random), now);
            if (now - shifted_at < milliseconds{200})
                continue;
            cr_assert_eq(hottest(it), hottest(demand));
            // Of the earlier demand, only selections from the window of the change may be left.
            const auto all = it.loads().front();
            const table expected = draw_counts(demand, random);
            expert_loads fresh{{expected.front().begin(), expected.front().end()}};
            cr_assert_lt(total_variation_distance({all}, fresh), 0.2);
        }
        cr_assert_eq(it.changes(), static_cast<int>(demand) - 1);
    }
    cr_assert_leq(std::abs(it.demand_duration(now).count() - 3500), 600);
}

/// Load pattern: a switch that begins at the moment of a change is planned from selections of both
/// demands, and delays the switch that is needed.
Test(popularity, reports_a_possible_change_before_it_is_certain)
{
    std::mt19937 random{5};
    popularity it;
    auto now = start;
    for (int i = 0; i < 20; ++i, now += period)
    {
        it.add(draw_counts(1, random), now);
        cr_assert(!it.may_be_changing());
    }
    // The windows are 100 ms long, so a window ends with one of the next two additions.
    it.add(draw_counts(2, random), now);
    it.add(draw_counts(2, random), now);
    cr_assert(it.may_be_changing() || it.changes() == 1);
    it.add(draw_counts(2, random), now + 2 * period);
    it.add(draw_counts(2, random), now + 4 * period);
    cr_assert_eq(it.changes(), 1);
    cr_assert(!it.may_be_changing());
}

Test(popularity, random_variation_is_not_a_change)
{
    std::mt19937 random{2};
    popularity it;
    auto now = start;
    constexpr int few_selections = 2000;
    for (int i = 0; i < 400; ++i, now += period)
        it.add(draw_counts(7, random, few_selections), now);
    cr_assert_eq(it.changes(), 0);
    cr_assert_geq(it.demand_duration(now).count(), 2500);
}

Test(popularity, too_few_selections_are_not_a_change)
{
    std::mt19937 random{3};
    popularity it;
    auto now = start;
    for (int i = 0; i < 40; ++i, now += period)
        it.add(draw_counts(i < 20 ? 1 : 2, random, 20), now);
    cr_assert_eq(it.changes(), 0);
}

Test(popularity, clear_does_not_count_as_a_change)
{
    std::mt19937 random{4};
    popularity it;
    auto now = start;
    for (int i = 0; i < 20; ++i, now += period)
        it.add(draw_counts(1, random), now);
    it.clear();
    cr_assert_eq(it.total(), 0);
    for (int i = 0; i < 20; ++i, now += period)
        it.add(draw_counts(2, random), now);
    cr_assert_eq(it.changes(), 0);
    cr_assert_eq(hottest(it), hottest(2));
}

Test(popularity, total_variation_distance_is_the_fraction_that_moved)
{
    cr_assert_float_eq(total_variation_distance({{1, 1}}, {{5, 5}}), 0, 1e-9);
    cr_assert_float_eq(total_variation_distance({{1, 0}}, {{0, 9}}), 1, 1e-9);
    cr_assert_float_eq(total_variation_distance({{3, 1}}, {{1, 1}}), 0.25, 1e-9);
}
