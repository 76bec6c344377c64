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

/// Ten times the rate for three seconds: no more than the rate and one burst is written, and each
/// other line is counted as suppressed.
Test(limited_log, spike_is_limited_to_rate_and_counted)
{
    log_rate_limiter limiter{lines_per_second};
    int written = 0;
    std::size_t suppressed = 0;
    int offered = 0;
    for (auto now = start; now < start + milliseconds{3000}; now += milliseconds{1})
    {
        ++offered;
        written += limiter.take(now) ? 1 : 0;
        suppressed += limiter.take_suppressed(now);
    }
    suppressed += limiter.take_suppressed(start + milliseconds{5000});
    cr_assert_leq(written, 4 * lines_per_second);
    cr_assert_geq(written, 3 * lines_per_second);
    cr_assert_eq(written + static_cast<int>(suppressed), offered);
}

Test(limited_log, all_lines_are_written_below_rate)
{
    log_rate_limiter limiter{lines_per_second};
    for (auto now = start; now < start + milliseconds{3000}; now += milliseconds{20})
        cr_assert(limiter.take(now));
    cr_assert_eq(limiter.take_suppressed(start + milliseconds{5000}), 0U);
}

Test(limited_log, suppressed_lines_are_reported_at_most_once_a_second)
{
    log_rate_limiter limiter{1};
    std::vector<timestamp> reports;
    for (auto now = start; now < start + milliseconds{5000}; now += milliseconds{10})
    {
        limiter.take(now);
        if (limiter.take_suppressed(now) > 0)
            reports.push_back(now);
    }
    cr_assert_geq(reports.size(), 4U);
    const auto too_soon = std::ranges::adjacent_find(reports, [](timestamp a, timestamp b)
                                                     { return b - a < milliseconds{1000}; });
    cr_assert(too_soon == reports.end());
}
