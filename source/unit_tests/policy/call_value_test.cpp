#include "policy/call_value.hpp"
#include "policy/engine_latency_model.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::policy;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
constexpr milliseconds mean{2000};

waiting_call call_with(int priority, milliseconds slot_time)
{
    waiting_call out;
    out.priority = priority;
    out.arrived = start;
    out.in_time_until = start + milliseconds{400};
    out.deadline = start + milliseconds{2000};
    out.slot_time = slot_time;
    return out;
}

call_value value_of_order(value_order order)
{
    call_value out{{.order = order}};
    out.set_mean_slot_time(mean);
    return out;
}

} // namespace

/// Guards against hints, which are often far off, that outweigh everything else.
Test(call_value, work_counts_within_bounds)
{
    const auto value = value_of_order(value_order::value_per_work);
    const auto usual = value.rank(call_with(0, mean), start);
    cr_assert_float_eq(value.rank(call_with(0, milliseconds{1}), start), usual * 1.2, 1e-9);
    cr_assert_float_eq(value.rank(call_with(0, milliseconds{90'000}), start), usual / 1.2, 1e-9);
    cr_assert_float_eq(value.rank(call_with(0, milliseconds{0}), start), usual, 1e-9,
                       "unknown work is usual work");
}

/// Guards against a ratio between priorities that is not applied.
Test(call_value, neighbouring_priorities_differ_by_the_ratio)
{
    const auto value = value_of_order(value_order::value_per_work);
    cr_assert_float_eq(value.rank(call_with(1, mean), start),
                       value.rank(call_with(2, mean), start) * 2, 1e-9);
}

/// Guards against the starvation of long calls: a long call that has waited goes before a short
/// one that has just arrived.
Test(call_value, rank_grows_with_age)
{
    const auto value = value_of_order(value_order::priority_then_aged_value);
    const auto now = start + milliseconds{300};
    auto fresh = call_with(0, milliseconds{500});
    fresh.arrived = now;
    fresh.in_time_until = now + milliseconds{400};
    cr_assert(value.goes_before(call_with(0, milliseconds{9000}), fresh, now));
    cr_assert(
        value.goes_before(call_with(0, milliseconds{500}), call_with(0, milliseconds{9000}), now));
}

/// Guards against short calls of a less urgent class that overtake urgent long ones.
Test(call_value, priority_goes_before_work_and_age)
{
    const auto value = value_of_order(value_order::priority_then_aged_value);
    const auto now = start + milliseconds{390};
    auto fresh = call_with(0, milliseconds{9000});
    fresh.arrived = now;
    fresh.in_time_until = now + milliseconds{400};
    cr_assert(value.goes_before(fresh, call_with(1, milliseconds{100}), now));
    auto resumed = call_with(3, milliseconds{9000});
    resumed.is_answered_in_part = true;
    cr_assert(value.goes_before(resumed, fresh, now), "resumed calls go first");
}

/// Guards against a class whose long calls are refused all the time.
Test(call_value, work_is_not_weighed_while_long_calls_are_refused)
{
    auto value = value_of_order(value_order::value_per_work);
    const auto long_call = call_with(0, milliseconds{9000});
    const auto usual = call_with(0, mean);
    for (int i = 0; i < 20; ++i)
    {
        value.record_end(long_call, false);
        value.record_end(usual, true);
    }
    cr_assert_float_eq(value.rank(long_call, start), value.rank(usual, start), 1e-9);
    for (int i = 0; i < 400; ++i)
        value.record_end(long_call, true);
    cr_assert_lt(value.rank(long_call, start), value.rank(usual, start));
}

/// Guards against a slot time that leaves out the prompt, or the length of the answer.
Test(call_value, engine_predicts_slot_time)
{
    engine_latency_model model;
    kumquatgap::fleet::engine_profile engine{.slots = 10, .steps_per_pass = 2, .step_ms = 20};
    engine.prompt_tokens_per_s = 10'000;
    engine.usual_prompt_tokens = 500;
    model.set_engine(engine);
    // 220 ms until the first event are assumed before one was measured, and a pass takes 40 ms.
    cr_assert_eq(model.predicted_slot_time(500, 100).count(), 220 + 50 * 40);
    cr_assert_eq(model.predicted_slot_time(1500, 100).count(), 220 + 100 + 50 * 40);
    cr_assert_eq(model.predicted_slot_time(500, -5).count(), 220);
}
