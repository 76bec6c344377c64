#include "cold_rate_simulation.hpp"

#include "policy/slow_start.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::policy;

namespace
{

constexpr unsigned seeds = 5;

void assert_within_limit(const cold_rate_simulation& it, const char* what)
{
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        auto one = it;
        one.run(seed);
        cr_assert_leq(one.most_in_a_second(), one.allowed(), "%s, seed %u: %zu in a second", what,
                      seed, one.most_in_a_second());
    }
}

} // namespace

/// Guards against a limit that only holds as long as the gateways hear each other.
Test(cold_rate, gateways_that_hear_no_other_keep_the_limit)
{
    for (const std::size_t gateways : {1, 6, 24, 60})
    {
        for (const double rate : {0.5, 2.0, 26.0})
        {
            auto it = simulation_of(gateways, 200);
            it.cold_per_second = rate;
            it.lost_percent = 100;
            assert_within_limit(it, "no messages");
        }
    }
}

/// Guards against a second in which each gateway uses the rate that it had while it heard the
/// others.
Test(cold_rate, gateways_that_stop_hearing_each_other_keep_the_limit)
{
    for (const std::size_t gateways : {2, 6, 24})
    {
        auto it = simulation_of(gateways, 200);
        it.cut_at = milliseconds{2500};
        assert_within_limit(it, "cut off");
    }
}

/// Guards against a gateway that starts again and takes its part a second time.
Test(cold_rate, restarted_gateway_keeps_the_limit)
{
    for (const unsigned lost_percent : {0U, 100U})
    {
        auto it = simulation_of(6, 200);
        it.lost_percent = lost_percent;
        it.gateways[2].restarts_at = milliseconds{2300};
        it.gateways[3].restarts_at = milliseconds{2600};
        assert_within_limit(it, "restart");
    }
}

/// Guards against a gateway that the others do not know yet, and that knows no sends.
Test(cold_rate, unknown_gateway_keeps_the_limit)
{
    for (const std::size_t gateways : {2, 4, 6, 24})
    {
        for (const double rate : {0.5, 13.0, 26.0})
        {
            auto it = simulation_of(gateways, 200);
            it.cold_per_second = rate;
            it.lost_percent = 100;
            it.gateways.back().is_known = false;
            it.gateways.back().starts_at = milliseconds{500};
            assert_within_limit(it, "unknown gateway");
        }
    }
}

/// Guards against a gateway that learns late of the cold target and finds it idle.
Test(cold_rate, gateways_that_learn_at_different_times_keep_the_limit)
{
    for (const unsigned lost_percent : {0U, 50U, 100U})
    {
        auto it = simulation_of(6, 200);
        it.lost_percent = lost_percent;
        for (std::size_t i = 0; i < it.gateways.size(); ++i)
            it.gateways[i].learns_at = milliseconds{static_cast<std::int64_t>(i) * 320};
        assert_within_limit(it, "different times");
    }
}

/// Guards against parts so small that the rate stays unused.
Test(cold_rate, gateways_that_hear_each_other_use_the_rate)
{
    for (const std::size_t gateways : {1, 2, 6, 24})
    {
        auto it = simulation_of(gateways, 200);
        it.run(1);
        const auto mean = static_cast<double>(it.arrivals.size()) / 5;
        cr_assert_geq(mean, 0.7 * it.cold_per_second, "%zu gateways: %.1f/s", gateways, mean);
        cr_assert_leq(mean, 1.1 * it.cold_per_second, "%zu gateways: %.1f/s", gateways, mean);
    }
}

/// Guards against a small rate that no gateway may use.
Test(cold_rate, small_rate_of_many_gateways_is_used)
{
    auto it = simulation_of(60, 200);
    it.cold_per_second = 2;
    it.run(1);
    cr_assert_geq(it.arrivals.size(), 5U);
}

/// Guards against sends before a target became cold that are not counted, and against calls to a
/// target that is not watched yet.
Test(cold_rate, sends_before_the_cold_time_count)
{
    shared_rate_limiter it;
    const auto now = cold_rate_simulation::start;
    const auto limit = cold_limit(26);
    cr_assert(!it.may_send("t", limit, 1, now), "not watched");
    it.set_gateways("g", {}, now);
    it.set_watched({"t"}, now);
    for (int i = 0; i < 30; ++i)
        it.record_send("t", now);
    cr_assert(!it.may_send("t", limit, 1, now + milliseconds{900}));
    it.set_watched({}, now + milliseconds{900});
    it.set_watched({"t"}, now + milliseconds{925});
    cr_assert(!it.may_send("t", limit, 1, now + milliseconds{925}), "after its entry was away");
    cr_assert(it.may_send("t", limit, 1, now + milliseconds{1300}));
}

Test(cold_rate, lower_of_two_limits_binds)
{
    const auto cold = cold_limit(26);
    cr_assert(stricter(cold, {10}) == (send_limit{10, 44}));
    cr_assert(stricter({10}, cold) == (send_limit{10, 44}));
    cr_assert(stricter(cold, {30}) == cold);
    cr_assert(stricter({10}, {3}) == (send_limit{3}));
    cr_assert(stricter(cold, cold_limit(2)) == cold_limit(2));
}

/// Guards against parts that add up to more than the limit.
Test(cold_rate, parts_add_up_to_the_limit_at_most)
{
    for (const std::size_t gateways : {1, 2, 3, 6, 10, 24, 43, 44, 45, 100, 400})
    {
        for (const double most : {5.1, 6.5, 8.0, 44.0, 305.0})
        {
            std::size_t sum = 0;
            for (std::size_t own = 0; own < gateways; ++own)
            {
                shared_rate_limiter it;
                std::vector<std::string> others;
                for (std::size_t i = 0; i < gateways; ++i)
                {
                    if (i != own)
                        others.push_back("g" + std::to_string(i));
                }
                it.set_gateways("g" + std::to_string(own), others, timestamp{});
                sum += it.hard_part("t", most);
            }
            cr_assert_lt(static_cast<double>(sum), most, "%zu gateways, %f", gateways, most);
            cr_assert_gt(sum, 0U);
        }
    }
}

/// Guards against a gateway whose part grows at once when the store drops the entries of others
/// that may still serve.
Test(cold_rate, gateway_without_an_entry_keeps_its_part)
{
    shared_rate_limiter it;
    const auto now = cold_rate_simulation::start;
    it.set_gateways("g", {"g1", "g2", "g3"}, now);
    const auto part = it.hard_part("t", 44);
    it.set_gateways("g", {}, now + milliseconds{60'000});
    cr_assert_eq(it.hard_part("t", 44), part);
    it.set_gateways("g", {}, now + milliseconds{700'000});
    cr_assert_gt(it.hard_part("t", 44), part);
}

/// Guards against a target that looks idle and draws all calls at once when it becomes cold.
Test(slow_start, share_of_slots_grows_over_the_cold_time)
{
    const milliseconds total{3000};
    cr_assert_eq(slow_start_slots(10, total, total), 1);
    cr_assert_eq(slow_start_slots(10, milliseconds{1500}, total), 5);
    cr_assert_eq(slow_start_slots(10, milliseconds{300}, total), 9);
    cr_assert_eq(slow_start_slots(10, milliseconds{0}, total), 10);
    cr_assert_eq(slow_start_slots(10, milliseconds{4000}, total), 1, "longer than usual");
    cr_assert_eq(slow_start_slots(10, milliseconds{1}, milliseconds{0}), 1);
    cr_assert_eq(slow_start_slots(1, milliseconds{10}, total), 1);
}
