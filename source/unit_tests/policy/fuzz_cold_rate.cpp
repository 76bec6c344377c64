#include "cold_rate_simulation.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace kumquatgap::policy;

namespace
{

milliseconds time_between(int lowest, int highest)
{
    // In steps of the simulation.
    return cold_rate_simulation::step * *rc::gen::inRange(lowest / 5, highest / 5 + 1);
}

cold_rate_simulation any_simulation()
{
    cold_rate_simulation out;
    const auto gateways = *rc::gen::inRange(1, 31);
    for (int i = 0; i < gateways; ++i)
    {
        simulated_gateway it{.name = "g" + std::to_string(i)};
        it.demand = *rc::gen::element(0.5, 5.0, 50.0, 200.0);
        it.learns_at = time_between(0, 2000);
        if (*rc::gen::inRange(0, 5) == 0)
            it.restarts_at = time_between(0, 3000);
        out.gateways.push_back(std::move(it));
    }
    // At most one gateway has started that the others do not know.
    if (*rc::gen::arbitrary<bool>())
    {
        out.gateways.back().is_known = false;
        out.gateways.back().starts_at = time_between(0, 1000);
    }
    out.cold_per_second = *rc::gen::element(0.3, 1.0, 4.0, 13.0, 26.0, 100.0);
    out.lost_percent = *rc::gen::element(0U, 30U, 90U, 100U);
    if (*rc::gen::arbitrary<bool>())
        out.cut_at = time_between(0, 3000);
    out.message_time = time_between(0, 200);
    out.max_request_time = time_between(0, 195);
    out.duration = milliseconds{3500};
    return out;
}

} // namespace

/// Guards against any timing of calls, messages, starts and cuts in which the gateways together
/// send more to a cold target in a second than it can take.
Test(fuzz_cold_rate, no_second_has_more_requests_than_allowed)
{
    const bool holds = rc::check("the limit holds in any sliding second",
                                 []
                                 {
                                     auto it = any_simulation();
                                     it.run(*rc::gen::arbitrary<unsigned>());
                                     RC_ASSERT(it.most_in_a_second() <= it.allowed());
                                 });
    cr_assert(holds);
}
