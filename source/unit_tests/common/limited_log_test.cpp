#include "common/limited_log.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace kumquatgap::common;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
constexpr double lines_per_second = 100;

} // namespace

/// Ten times the rate for three seconds: what is written keeps the rate, and nothing is uncounted.
Test(limited_log, a_crest_is_cut_to_the_rate_and_counted)
{
    line_budget budget{lines_per_second};
    int written = 0;
    std::size_t left_out = 0;
    int offered = 0;
    for (auto now = start; now < start + milliseconds{3000}; now += milliseconds{1})
    {
        ++offered;
        written += budget.take(now) ? 1 : 0;
        left_out += budget.take_left_out(now);
    }
    left_out += budget.take_left_out(start + milliseconds{5000});
    cr_assert_leq(written, 4 * lines_per_second);
    cr_assert_geq(written, 3 * lines_per_second);
    cr_assert_eq(written + static_cast<int>(left_out), offered);
}

Test(limited_log, below_the_rate_every_line_is_written)
{
    line_budget budget{lines_per_second};
    for (auto now = start; now < start + milliseconds{3000}; now += milliseconds{20})
        cr_assert(budget.take(now));
    cr_assert_eq(budget.take_left_out(start + milliseconds{5000}), 0U);
}

Test(limited_log, what_was_left_out_is_told_at_most_once_a_second)
{
    line_budget budget{1};
    std::vector<timestamp> reports;
    for (auto now = start; now < start + milliseconds{5000}; now += milliseconds{10})
    {
        budget.take(now);
        if (budget.take_left_out(now) > 0)
            reports.push_back(now);
    }
    cr_assert_geq(reports.size(), 4U);
    const auto too_soon = std::ranges::adjacent_find(reports, [](timestamp a, timestamp b)
                                                     { return b - a < milliseconds{1000}; });
    cr_assert(too_soon == reports.end());
}
