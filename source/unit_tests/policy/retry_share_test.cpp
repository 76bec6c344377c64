#include "policy/retry_share.hpp"

#include <criterion/criterion.h>

#include <vector>

using namespace kumquatgap::policy;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
const retry_limits limits{.ratio = 0.2, .extra = 40, .window = milliseconds{10'000}};

} // namespace

/// Every call fails at every try, at all routers, for half a minute.
Test(retry_share, all_routers_together_keep_the_limit_in_each_window)
{
    std::vector<retry_share> routers(4, retry_share{limits});
    for (auto& it : routers)
        it.set_routers(routers.size());
    std::vector<timestamp> calls;
    std::vector<timestamp> repeats;
    for (auto now = start; now < start + milliseconds{30'000}; now += milliseconds{10})
    {
        // The callers are uneven: the first router has most of them.
        auto& it = routers[(now - start).count() % 50 == 0 ? 1 : 0];
        it.note_call("s", now);
        calls.push_back(now);
        for (auto& router : routers)
        {
            if (router.take("s", now))
                repeats.push_back(now);
        }
    }
    const auto within = [](const auto& times, timestamp to)
    {
        return std::ranges::count_if(times, [&](timestamp at)
                                     { return at <= to && to - at < limits.window; });
    };
    for (auto to = start; to < start + milliseconds{30'000}; to += milliseconds{500})
        cr_assert_leq(static_cast<double>(within(repeats, to)),
                      limits.ratio * static_cast<double>(within(calls, to)) + limits.extra);
    cr_assert_gt(repeats.size(), 100U);
}

Test(retry_share, a_router_alone_keeps_to_its_part_of_the_extra)
{
    retry_share router{limits};
    router.set_routers(4);
    int taken = 0;
    while (router.take("s", start))
        ++taken;
    cr_assert_leq(taken, 10);
    cr_assert_gt(taken, 0);
    cr_assert(router.take("s", start + milliseconds{10'001}));
}
