#include "load_replay.hpp"

#include <criterion/criterion.h>

#include <cstdio>

using namespace kumquatgap;
using namespace kumquatgap::policy;

namespace
{

struct named_options
{
    const char* name;
    admission_queue_options options;
};

admission_queue_options value_options(value_order order)
{
    return {.policy = admission_policy::value, .value = {.order = order}};
}

std::vector<named_options> all_orders()
{
    auto half_reserved = value_options(value_order::priority_then_aged_value);
    half_reserved.late.reserved_part = 0.5;
    return {{"deadline", {}},
            {"priority", value_options(value_order::priority)},
            {"value_per_work", value_options(value_order::value_per_work)},
            {"aged_value_per_work", value_options(value_order::aged_value_per_work)},
            {"priority_then_aged_value", value_options(value_order::priority_then_aged_value)},
            {"priority_then_aged_value with reserved_part 0.5", half_reserved}};
}

/// The sum over runs with different arrivals.
replay::result replay_all(const replay::pattern& p, const admission_queue_options& how,
                          std::size_t gateways)
{
    constexpr unsigned seeds = 4;
    replay::result out;
    for (unsigned seed = 1; seed <= seeds; ++seed)
        out += replay::fleet{p, how, gateways, seed}.run();
    return out;
}

void print(const replay::pattern& p, const named_options& how, std::size_t gateways,
           const replay::result& r)
{
    std::printf("%s, %zu gateways, %s: value %.3f\n", p.name, gateways, how.name, r.value_share());
    for (std::size_t c = 0; c < r.by_class.size(); ++c)
    {
        const auto& it = r.by_class[c];
        std::printf("  priority %zu: value %.3f, on time %.3f, served %.3f, largest served %.3f, "
                    "refused %.3f, refused late %.3f\n",
                    c, it.value_share(), it.share(it.on_time), it.served_share(),
                    r.largest[c].served_share(), it.share(it.refused), it.share(it.late_refused));
    }
    std::printf("  windows of 2 s:");
    for (const auto& it : r.by_window)
        std::printf(" %.2f/%.2f", it.value_share(), it.share(it.on_time));
    std::printf(" (value/on time)\n");
}

} // namespace

/// Prints the results of all orders for docs/design/load_shedding.md, and guards against an order
/// that serves a more urgent class less than a less urgent one, or that starves long calls.
Test(load_replay, no_order_in_use_inverts_priorities_or_starves_sizes)
{
    for (const auto& p : replay::recorded_patterns())
    {
        for (const std::size_t gateways : {6, 1})
        {
            for (const auto& it : all_orders())
            {
                const auto r = replay_all(p, it.options, gateways);
                print(p, it, gateways, r);
                if (it.options.value.order != value_order::priority_then_aged_value)
                    continue;
                for (std::size_t c = 0; c < r.by_class.size(); ++c)
                {
                    const auto served = r.by_class[c].served_share();
                    cr_expect_geq(r.largest[c].served_share(), served / 2);
                    if (c > 0)
                        cr_expect_geq(r.by_class[c - 1].served_share(), served - 0.05);
                }
            }
        }
    }
}

/// Guards against an outage that makes calls late which arrive after it.
Test(load_replay, calls_after_an_outage_are_on_time)
{
    const auto patterns = replay::recorded_patterns();
    const auto& lost_rank = patterns[1];
    const auto before = replay_all(lost_rank, {}, 6);
    const auto after =
        replay_all(lost_rank, value_options(value_order::priority_then_aged_value), 6);
    // The window from 10 s to 12 s; the group is back at 10.9 s.
    constexpr std::size_t w = 5;
    cr_assert_gt(after.by_window[w].value_share(), before.by_window[w].value_share() + 0.1);
    cr_assert_gt(after.value_share(), before.value_share() + 0.01);
}
