#include "load_replay.hpp"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace kumquatgap;
using namespace kumquatgap::policy;

namespace
{

using ms = milliseconds;

admission_queue_options options()
{
    return {.policy = admission_policy::value};
}

/// Any load with bursts of any classes, and in half of the cases an outage.
replay::pattern any_pattern()
{
    replay::pattern out{.name = "any"};
    out.base_factor = *rc::gen::inRange(30, 200) / 100.0;
    const auto bursts = *rc::gen::inRange(0, 3);
    for (int i = 0; i < bursts; ++i)
    {
        const auto from = *rc::gen::inRange(2000, 16'000);
        out.bursts.push_back({*rc::gen::inRange(0, replay::classes), ms{from},
                              ms{from + *rc::gen::inRange(500, 6000)},
                              *rc::gen::inRange(100, 300) / 100.0});
    }
    if (*rc::gen::arbitrary<bool>())
    {
        // An outage loses the callers of a class that leave before its end, whatever the order of
        // calls, so all classes have the same patience and goal here.
        for (auto& it : out.traffic)
        {
            it.goal = replay::s_classes[1].goal;
            it.patience = replay::s_classes[1].patience;
        }
        out.down_from = ms{*rc::gen::inRange(4000, 12'000)};
        out.down_to = out.down_from + ms{*rc::gen::inRange(100, 4000)};
        out.resumed = *rc::gen::inRange(0, 400);
        out.return_time = ms{*rc::gen::inRange(0, 2000)};
    }
    return out;
}

waiting_call any_call(std::uint64_t id, timestamp now)
{
    waiting_call out;
    out.id = id;
    out.priority = *rc::gen::inRange(0, 4);
    out.arrived = now - ms{*rc::gen::inRange(0, 3000)};
    out.in_time_until = out.arrived + ms{*rc::gen::inRange(0, 1000)};
    out.deadline = out.in_time_until + ms{*rc::gen::inRange(0, 8000)};
    out.is_answered_in_part = *rc::gen::inRange(0, 8) == 0;
    out.is_certainly_not_executed = !out.is_answered_in_part && *rc::gen::inRange(0, 4) != 0;
    out.slot_time = ms{*rc::gen::inRange(0, 20'000)};
    return out;
}

} // namespace

/// Guards against a class that is starved, or served less often than a less urgent one, in any
/// load.
Test(fuzz_load_shedding, priorities_are_not_inverted_and_lengths_not_starved)
{
    const auto holds = rc::check(
        [](unsigned seed)
        {
            const auto p = any_pattern();
            const auto r = replay::fleet{p, options(), 6, seed}.run();
            for (std::size_t c = 1; c < r.by_class.size(); ++c)
                RC_ASSERT(r.by_class[c - 1].served_share() >= r.by_class[c].served_share() - 0.05);
            for (std::size_t c = 0; c < r.by_class.size(); ++c)
            {
                if (r.largest[c].calls >= 30)
                    RC_ASSERT(r.largest[c].served_share() >= r.by_class[c].served_share() / 2);
            }
        });
    cr_assert(holds);
}

/// Guards against an order that is not a strict weak one, for which a sort may do anything.
Test(fuzz_load_shedding, every_order_is_strict_and_weak)
{
    const auto holds = rc::check(
        []
        {
            const timestamp now{ms{1'000'000}};
            const auto order = *rc::gen::element(value_order::priority, value_order::value_per_work,
                                                 value_order::aged_value_per_work,
                                                 value_order::priority_then_aged_value);
            call_value v{{.order = order}};
            v.set_mean_slot_time(ms{2000});
            const auto a = any_call(1, now);
            const auto b = any_call(2, now);
            const auto c = any_call(3, now);
            RC_ASSERT(!v.goes_before(a, a, now));
            RC_ASSERT(!(v.goes_before(a, b, now) && v.goes_before(b, a, now)));
            if (v.goes_before(a, b, now) && v.goes_before(b, c, now))
                RC_ASSERT(v.goes_before(a, c, now));
        });
    cr_assert(holds);
}

/// Guards against refusing a call that is answered in part or that may have been executed, and
/// against calls that are lost without being refused.
Test(fuzz_load_shedding, only_calls_that_did_not_run_are_refused)
{
    const auto holds = rc::check(
        []
        {
            const timestamp now{ms{1'000'000}};
            admission_queue queue{options()};
            queue.set_capacity({1.0 * *rc::gen::inRange(0, 20), ms{*rc::gen::inRange(0, 3000)}});
            if (*rc::gen::arbitrary<bool>())
                queue.halt(std::size_t(*rc::gen::inRange(0, 10)));
            std::map<std::uint64_t, waiting_call> calls;
            const auto n = *rc::gen::inRange(0, 40);
            for (std::uint64_t id = 0; id < std::uint64_t(n); ++id)
            {
                calls[id] = any_call(id, now);
                queue.requeue(calls[id], now);
            }
            auto refused = queue.take_excess(now);
            const auto late = queue.take_unstartable_late(now);
            refused.insert(refused.end(), late.begin(), late.end());
            RC_ASSERT(refused.size() + queue.size() == calls.size());
            for (const auto id : refused)
                RC_ASSERT(calls[id].is_certainly_not_executed && !calls[id].is_answered_in_part);
        });
    cr_assert(holds);
}
