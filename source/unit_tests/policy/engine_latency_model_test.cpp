#include "policy/engine_latency_model.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace kumquatgap;
using namespace kumquatgap::policy;

namespace
{

constexpr milliseconds max_gap{150};

fleet::engine_profile engine()
{
    fleet::engine_profile out;
    out.slots = 10;
    out.steps_per_pass = 5;
    out.step_ms = 4.55;
    out.step_ms_per_stream = 1.09;
    return out;
}

struct stream
{
    int events_left = 19;
    bool is_late = false;
};

/// How many streams ended, and how many of them had no gap longer than max_gap.
struct tally
{
    int ended = 0;
    int in_time = 0;
};

/// Simulates a minute with more callers than the engine can serve. Its passes take `factor` times
/// the published time. `pace` limits the concurrent streams; without it all slots are used.
tally replay(double factor, engine_latency_model* pace)
{
    constexpr double length_ms = 60'000;
    const engine_latency_model published = []
    {
        engine_latency_model it;
        it.set_engine(engine());
        return it;
    }();
    std::vector<stream> running;
    tally out;
    for (double t = 0; t < length_ms;)
    {
        const auto limit = pace == nullptr ? engine().slots : pace->max_streams_for_gap(max_gap);
        while (static_cast<double>(running.size()) < limit)
            running.emplace_back();
        const auto n = static_cast<double>(running.size());
        const milliseconds pass{static_cast<std::int64_t>(factor * published.predicted_pass_ms(n))};
        t += static_cast<double>(pass.count());
        for (auto& it : running)
        {
            it.is_late = it.is_late || pass > max_gap;
            --it.events_left;
            if (pace != nullptr)
                pace->record_event_gap(pass);
        }
        if (pace != nullptr)
            pace->tick(n);
        out.ended += static_cast<int>(std::ranges::count(running, 0, &stream::events_left));
        out.in_time += static_cast<int>(std::ranges::count_if(
            running, [](const auto& it) { return it.events_left == 0 && !it.is_late; }));
        std::erase_if(running, [](const auto& it) { return it.events_left == 0; });
    }
    return out;
}

} // namespace

Test(engine_latency_model, limits_streams_so_that_gaps_stay_in_goal)
{
    constexpr double slow = 2.2;
    const auto unlimited = replay(slow, nullptr);
    cr_assert_eq(unlimited.in_time, 0);
    engine_latency_model pace;
    pace.set_engine(engine());
    const auto limited = replay(slow, &pace);
    cr_assert_geq(limited.in_time, limited.ended * 9 / 10);
    // A late stream has half the value of one in time, so fewer streams in time are worth more than
    // all streams late.
    cr_assert_gt(limited.in_time * 2, unlimited.ended);
}

Test(engine_latency_model, short_passes_use_all_slots)
{
    engine_latency_model pace;
    pace.set_engine(engine());
    cr_assert_eq(replay(1.2, &pace).ended, replay(1.2, nullptr).ended);
    cr_assert_eq(pace.max_streams_for_gap(max_gap), engine().slots);
}

Test(engine_latency_model, slow_passes_use_min_slot_fraction)
{
    engine_latency_model pace;
    pace.set_engine(engine());
    replay(20, &pace);
    cr_assert_float_eq(pace.max_streams_for_gap(max_gap),
                       engine().slots * engine_latency_options{}.min_slot_fraction, 1e-9);
}

Test(engine_latency_model, limit_rises_when_group_gets_faster)
{
    engine_latency_model pace;
    pace.set_engine(engine());
    replay(2.2, &pace);
    cr_assert_lt(pace.max_streams_for_gap(max_gap), engine().slots);
    replay(1.2, &pace);
    cr_assert_eq(pace.max_streams_for_gap(max_gap), engine().slots);
}

Test(engine_latency_model, no_limit_without_figures_or_goal)
{
    engine_latency_model pace;
    cr_assert(!pace.has_engine());
    pace.set_engine(engine());
    pace.record_event_gap(milliseconds{1000});
    pace.tick(5);
    cr_assert_eq(pace.max_streams_for_gap(milliseconds{0}), engine().slots);
}

Test(engine_latency_model, time_to_first_event_follows_measurements)
{
    constexpr int runs = 200;
    engine_latency_model pace;
    cr_assert_eq(pace.time_to_first_event().count(), 220);
    for (int i = 0; i < runs; ++i)
        pace.record_first_event_latency(milliseconds{i % 2 == 0 ? 300 : 400});
    // The mean is 350 and the mean deviation 50.
    cr_assert_geq(pace.time_to_first_event().count(), 380);
    cr_assert_leq(pace.time_to_first_event().count(), 420);
}

Test(engine_latency_model, slow_engine_limited_to_pass_time_of_others)
{
    constexpr double streams = 8;
    engine_latency_model pace;
    pace.set_engine(engine());
    pace.tick(streams);
    cr_assert_eq(pace.max_streams_at_slowdown(1), engine().slots);
    const auto n = pace.max_streams_at_slowdown(1.6);
    cr_assert_float_eq(1.6 * pace.predicted_pass_ms(n), pace.predicted_pass_ms(streams), 1e-6);
    // The fixed part of a pass alone takes longer than a whole pass of the other engines.
    cr_assert_eq(pace.max_streams_at_slowdown(12), 0);
}

namespace
{

/// Load pattern: one rank of a group in lock-step turns slow. All ranks wait for it while it has
/// one stream. Returns the event gap of the group: the slowest rank's own part of a pass, and what
/// the experts take.
milliseconds gap_of_group(const engine_latency_model& model, double streams, double slowdown,
                          double slow_rank_streams, double experts_ms)
{
    const auto slow_ms =
        slow_rank_streams > 0 ? slowdown * model.predicted_pass_ms(slow_rank_streams) : 0;
    return milliseconds{static_cast<std::int64_t>(
        std::max(slow_ms, model.predicted_pass_ms(streams)) + experts_ms)};
}

constexpr milliseconds gap_goal{120};

} // namespace

Test(engine_latency_model, empties_a_slow_engine_at_the_crest_and_in_the_trough)
{
    for (const double streams : {2.0, 8.0})
    {
        for (const double slowdown : {4.0, 12.0})
        {
            engine_latency_model model;
            model.set_engine(engine());
            model.tick(streams);
            const auto experts_ms = gap_goal.count() - model.predicted_pass_ms(streams) - 10;
            const auto gap = gap_of_group(model, streams, slowdown, 1, experts_ms);
            cr_assert_gt(gap.count(), gap_goal.count());
            cr_assert(model.should_empty(slowdown, gap, gap_goal));
            const auto gap_without = gap_of_group(model, streams, slowdown, 0, experts_ms);
            cr_assert_leq(gap_without.count(), gap_goal.count());
            cr_assert_eq(model.max_streams_at_slowdown(slowdown), 0, "nothing is sent back to it");
        }
    }
}

/// Streams that are moved lose time, so they stay where the others are in time anyway.
Test(engine_latency_model, leaves_streams_on_a_slow_engine_while_gaps_are_within_the_goal)
{
    engine_latency_model model;
    model.set_engine(engine());
    model.tick(8);
    cr_assert_not(model.should_empty(4, gap_goal, gap_goal));
    cr_assert_not(model.should_empty(1, gap_goal * 3, gap_goal));
    cr_assert_not(model.should_empty(4, gap_goal * 3, milliseconds{0}));
}

/// A slightly slow engine is not what makes a pass of several goals.
Test(engine_latency_model, leaves_streams_on_a_slow_engine_that_adds_little_to_a_long_gap)
{
    engine_latency_model model;
    model.set_engine(engine());
    model.tick(8);
    cr_assert_not(model.should_empty(1.6, gap_goal * 4, gap_goal));
}

/// Guards against streams that are sent to a slightly slow engine and taken away again at once: a
/// stream that waits for its first event always waits longer than the goal for gaps.
Test(engine_latency_model, never_empties_an_engine_that_still_gets_streams)
{
    for (const double streams : {1.0, 2.0, 4.0, 8.0})
    {
        for (const double slowdown : {1.15, 1.3, 1.6, 2.0, 3.0, 4.0, 12.0})
        {
            engine_latency_model model;
            model.set_engine(engine());
            model.tick(streams);
            const auto just_over = gap_goal + milliseconds{1};
            if (model.max_streams_at_slowdown(slowdown) > 0)
                cr_assert_not(model.should_empty(slowdown, just_over, gap_goal));
        }
    }
}
