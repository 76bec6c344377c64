#include "policy/shared_rate_limiter.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace kumquatgap::policy;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
constexpr milliseconds window{4000};
constexpr milliseconds step{10};
const std::string target = "t-0";

/// Gateways with a limiter each, whose callers arrive at random at their own rates.
struct fleet
{
    /// Calls per second at each gateway.
    explicit fleet(std::vector<double> calls) : gateways(calls.size()), demand(std::move(calls)) {}

    std::vector<shared_rate_limiter> gateways;
    std::vector<double> demand;
    double limit = 3;
    /// The time between two broadcasts, and how many of them are lost, in percent.
    milliseconds broadcast_period{20};
    unsigned lost_percent = 0;
    /// After each such time the next gateway in turn starts again; 0 for never.
    milliseconds restart_period{0};
    std::vector<timestamp> sends;

    void play(milliseconds time, unsigned seed)
    {
        std::mt19937_64 random{seed};
        std::uniform_real_distribution<double> draw{0, 1};
        for (auto now = start; now < start + time; now += step)
        {
            if (restart_period.count() != 0 && (now - start) % restart_period == milliseconds{0})
                gateways[static_cast<std::size_t>((now - start) / restart_period) %
                         gateways.size()] = shared_rate_limiter{};
            for (std::size_t i = 0; i < gateways.size(); ++i)
            {
                gateways[i].set_limited({target}, now);
                const auto p = demand[i] * static_cast<double>(step.count()) / 1000;
                if (draw(random) >= p || !gateways[i].may_send(target, limit, gateways.size(), now))
                    continue;
                gateways[i].record_send(target, now);
                sends.push_back(now);
            }
            if ((now - start).count() % broadcast_period.count() == 0)
                broadcast(now, random);
        }
    }

    void broadcast(timestamp now, std::mt19937_64& random)
    {
        for (std::size_t from = 0; from < gateways.size(); ++from)
        {
            for (std::size_t to = 0; to < gateways.size(); ++to)
            {
                if (to != from && random() % 100 >= lost_percent)
                    gateways[to].update_peer_sends(
                        "g" + std::to_string(from),
                        gateways[from].to_broadcast({{target, limit}}, now), now);
            }
        }
    }

    std::ptrdiff_t most_in_a_window() const
    {
        std::ptrdiff_t most = 0;
        for (auto it = sends.begin(); it != sends.end(); ++it)
            most = std::max(most, std::upper_bound(it, sends.end(), *it + window) - it);
        return most;
    }

    /// The most that the target may get in a window: one and a half times its limit, and five.
    std::ptrdiff_t allowed() const
    {
        return static_cast<std::ptrdiff_t>(1.5 * limit * static_cast<double>(window.count()) /
                                           1000) +
               5;
    }
};

} // namespace

Test(shared_rate_limiter, target_without_a_limit_gets_everything)
{
    shared_rate_limiter it;
    for (int i = 0; i < 100; ++i)
    {
        cr_assert(it.may_send(target, 1, 1, start));
        it.record_send(target, start);
    }
}

Test(shared_rate_limiter, all_gateways_together_keep_the_limit_and_use_it)
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        fleet it{{10, 5, 5, 5}};
        it.play(milliseconds{30'000}, seed);
        cr_assert_leq(it.most_in_a_window(), it.allowed());
        // Three per second over 30 s.
        cr_assert_geq(it.sends.size(), 80U);
    }
}

/// Equal shares would let the busy gateway use a quarter of the rate.
Test(shared_rate_limiter, busy_gateway_uses_what_idle_ones_leave)
{
    fleet it{{10, 0.1, 0.1, 0.1}};
    it.play(milliseconds{30'000}, 1);
    cr_assert_leq(it.most_in_a_window(), it.allowed());
    cr_assert_geq(it.sends.size(), 75U);
}

Test(shared_rate_limiter, many_gateways_with_lost_messages_keep_a_low_limit)
{
    for (unsigned seed = 1; seed <= 10; ++seed)
    {
        fleet it{std::vector<double>(21, 2.0)};
        it.limit = 2;
        it.broadcast_period = milliseconds{60};
        it.lost_percent = 20;
        it.play(milliseconds{20'000}, seed);
        cr_assert_leq(it.most_in_a_window(), it.allowed(), "seed %u: %td", seed,
                      it.most_in_a_window());
    }
}

Test(shared_rate_limiter, gateways_that_hear_no_other_keep_to_their_shares)
{
    fleet it{{10, 10, 10, 10}};
    it.lost_percent = 100;
    it.play(milliseconds{30'000}, 1);
    cr_assert_leq(it.most_in_a_window(), it.allowed());
    cr_assert_geq(it.sends.size(), 40U);
}

/// Guards against gateways that forget what another has sent when that one starts again.
Test(shared_rate_limiter, gateways_that_restart_in_turn_keep_the_limit)
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        fleet it{{10, 10, 10, 10}};
        it.restart_period = milliseconds{300};
        it.play(milliseconds{30'000}, seed);
        cr_assert_leq(it.most_in_a_window(), it.allowed(), "seed %u: %td", seed,
                      it.most_in_a_window());
    }
}

Test(shared_rate_limiter, target_with_a_limit_of_zero_is_asked_again)
{
    fleet it{{10.0}};
    it.limit = 0;
    it.play(milliseconds{60'000}, 1);
    cr_assert_geq(it.sends.size(), 3U);
    cr_assert_leq(it.sends.size(), 7U);
}
