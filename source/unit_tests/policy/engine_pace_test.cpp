#include "policy/engine_pace.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

using namespace kumquatgap;
using namespace kumquatgap::policy;

namespace
{

constexpr milliseconds longest_pause{150};

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

/// How many streams ended, and how many of them never paused for too long.
struct tally
{
    int ended = 0;
    int in_time = 0;
};

/// Replays a minute in which more callers come than the engine can take. Its passes take `factor`
/// times what is published. `pace` decides how many streams run at once; without it all slots do.
tally replay(double factor, engine_pace* pace)
{
    constexpr double length_ms = 60'000;
    const engine_pace published = []
    {
        engine_pace it;
        it.set_engine(engine());
        return it;
    }();
    std::vector<stream> running;
    tally out;
    for (double t = 0; t < length_ms;)
    {
        const auto limit = pace == nullptr ? engine().slots : pace->streams_within(longest_pause);
        while (static_cast<double>(running.size()) < limit)
            running.emplace_back();
        const auto n = static_cast<double>(running.size());
        const milliseconds pass{static_cast<std::int64_t>(factor * published.predicted_pass_ms(n))};
        t += static_cast<double>(pass.count());
        for (auto& it : running)
        {
            it.is_late = it.is_late || pass > longest_pause;
            --it.events_left;
            if (pace != nullptr)
                pace->note_pause(pass);
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

Test(engine_pace, keeps_streams_in_time_where_full_slots_make_all_of_them_late)
{
    constexpr double slow = 2.2;
    const auto full = replay(slow, nullptr);
    cr_assert_eq(full.in_time, 0);
    engine_pace pace;
    pace.set_engine(engine());
    const auto paced = replay(slow, &pace);
    cr_assert_geq(paced.in_time, paced.ended * 9 / 10);
    // A late stream is worth half of one in time, so that fewer in time serve callers better.
    cr_assert_gt(paced.in_time * 2, full.ended);
}

Test(engine_pace, uses_all_slots_while_passes_are_short)
{
    engine_pace pace;
    pace.set_engine(engine());
    cr_assert_eq(replay(1.2, &pace).ended, replay(1.2, nullptr).ended);
    cr_assert_eq(pace.streams_within(longest_pause), engine().slots);
}

Test(engine_pace, never_uses_less_than_a_part_of_the_slots)
{
    engine_pace pace;
    pace.set_engine(engine());
    replay(20, &pace);
    cr_assert_float_eq(pace.streams_within(longest_pause),
                       engine().slots * engine_pace_options{}.least_part, 1e-9);
}

Test(engine_pace, follows_a_group_that_gets_faster_again)
{
    engine_pace pace;
    pace.set_engine(engine());
    replay(2.2, &pace);
    cr_assert_lt(pace.streams_within(longest_pause), engine().slots);
    replay(1.2, &pace);
    cr_assert_eq(pace.streams_within(longest_pause), engine().slots);
}

Test(engine_pace, has_no_limit_without_figures_or_without_a_goal)
{
    engine_pace pace;
    cr_assert(!pace.has_engine());
    pace.set_engine(engine());
    pace.note_pause(milliseconds{1000});
    pace.tick(5);
    cr_assert_eq(pace.streams_within(milliseconds{0}), engine().slots);
}

Test(engine_pace, knows_how_long_first_events_take_now)
{
    constexpr int runs = 200;
    engine_pace pace;
    cr_assert_eq(pace.first_event_time().count(), 220);
    for (int i = 0; i < runs; ++i)
        pace.note_first_event(milliseconds{i % 2 == 0 ? 300 : 400});
    // The mean is 350 and the mean deviation 50.
    cr_assert_geq(pace.first_event_time().count(), 380);
    cr_assert_leq(pace.first_event_time().count(), 420);
}

Test(engine_pace, gives_a_slow_engine_what_it_can_do_in_the_time_of_the_others)
{
    constexpr double streams = 8;
    engine_pace pace;
    pace.set_engine(engine());
    pace.tick(streams);
    cr_assert_eq(pace.streams_of_slow(1), engine().slots);
    const auto n = pace.streams_of_slow(1.6);
    cr_assert_float_eq(1.6 * pace.predicted_pass_ms(n), pace.predicted_pass_ms(streams), 1e-6);
    // Its fixed part alone takes longer than a whole pass of the others.
    cr_assert_eq(pace.streams_of_slow(12), 0);
}
