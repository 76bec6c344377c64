#include "policy/windowed_retry_budget.hpp"

#include <criterion/criterion.h>

#include <vector>

using namespace kumquatgap::policy;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
const retry_limits limits{.ratio = 0.2, .extra = 40, .window = milliseconds{10'000}};

} // namespace

/// Every attempt fails at all gateways for half a minute.
Test(windowed_retry_budget, all_gateways_together_stay_within_limit)
{
    std::vector<windowed_retry_budget> gateways(4, windowed_retry_budget{limits});
    for (auto& it : gateways)
        it.set_gateways(gateways.size());
    std::vector<timestamp> calls;
    std::vector<timestamp> retries;
    for (auto now = start; now < start + milliseconds{30'000}; now += milliseconds{10})
    {
        // The callers are unevenly distributed: the first gateway has most of them.
        auto& it = gateways[(now - start).count() % 50 == 0 ? 1 : 0];
        it.record_call("s", now);
        calls.push_back(now);
        for (auto& gateway : gateways)
        {
            if (gateway.take("s", now))
                retries.push_back(now);
        }
    }
    const auto within = [](const auto& times, timestamp to)
    {
        return std::ranges::count_if(times, [&](timestamp at)
                                     { return at <= to && to - at < limits.window; });
    };
    for (auto to = start; to < start + milliseconds{30'000}; to += milliseconds{500})
        cr_assert_leq(static_cast<double>(within(retries, to)),
                      limits.ratio * static_cast<double>(within(calls, to)) + limits.extra);
    cr_assert_gt(retries.size(), 100U);
}

Test(windowed_retry_budget, gateway_without_calls_gets_its_share_of_extra)
{
    windowed_retry_budget gateway{limits};
    gateway.set_gateways(4);
    int taken = 0;
    while (gateway.take("s", start))
        ++taken;
    cr_assert_leq(taken, 10);
    cr_assert_gt(taken, 0);
    cr_assert(gateway.take("s", start + milliseconds{10'001}));
}
