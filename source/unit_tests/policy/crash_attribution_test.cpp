#include "policy/crash_attribution.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace kumquatgap::policy;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
constexpr milliseconds settled{400};
using parts = std::vector<std::string>;

const parts sound{"shared"};
const parts deadly{"shared", "deadly"};

void serve(crash_attribution& it, const parts& of, timestamp now)
{
    // The head arrives together with the first event.
    it.record_served(of, milliseconds{100}, milliseconds{100}, now);
}

void crash(crash_attribution& it, const std::string& target, const parts& of, timestamp now,
           bool has_head = true)
{
    it.record_lost(target, of, has_head, now);
    it.record_gone(target, now);
}

/// Decides after all gateways had time to report.
part_verdict verdict_after(crash_attribution& it, const parts& of, timestamp now)
{
    it.decide(now + settled);
    return it.judge(of);
}

} // namespace

Test(crash_attribution, one_crash_shows_the_only_part_that_was_never_served)
{
    crash_attribution it;
    serve(it, sound, start);
    crash(it, "t-0", deadly, start);
    cr_assert_eq(it.judge(deadly), part_verdict::held, "held before the call is retried");
    cr_assert_eq(it.judge(sound), part_verdict::clear);
    cr_assert_eq(verdict_after(it, deadly, start), part_verdict::quarantined);
    cr_assert_eq(it.judge(sound), part_verdict::clear);
    cr_assert_gt(it.quarantine_left(deadly, start + settled).count(), 500'000);
}

Test(crash_attribution, served_parts_are_not_blamed)
{
    crash_attribution it;
    serve(it, deadly, start);
    crash(it, "t-0", deadly, start);
    cr_assert_eq(verdict_after(it, deadly, start), part_verdict::clear);
}

/// A crash of another cause: requests wait at the target, and some of their parts are new.
Test(crash_attribution, new_parts_that_waited_at_a_crash_are_not_blamed)
{
    crash_attribution it;
    crash(it, "t-0", {"new-1"}, start, false);
    crash(it, "t-0", {"new-2"}, start, false);
    crash(it, "t-1", {"new-3"}, start + settled, false);
    for (const auto* part : {"new-1", "new-2", "new-3"})
        cr_assert_eq(verdict_after(it, {part}, start + settled), part_verdict::clear);
}

Test(crash_attribution, lost_connection_to_a_target_that_serves_is_no_crash)
{
    crash_attribution it;
    serve(it, sound, start);
    it.record_lost("t-0", deadly, true, start);
    cr_assert_eq(it.judge(deadly), part_verdict::held);
    it.record_alive("t-0");
    cr_assert_eq(verdict_after(it, deadly, start), part_verdict::clear);
}

Test(crash_attribution, unconfirmed_crash_is_forgotten)
{
    crash_attribution it;
    it.record_lost("t-0", deadly, true, start);
    cr_assert_eq(verdict_after(it, deadly, start), part_verdict::held);
    cr_assert_eq(verdict_after(it, deadly, start + milliseconds{6000}), part_verdict::clear);
}

/// A gateway that has just started has served nothing yet, but the others have.
Test(crash_attribution, other_gateways_speak_for_what_they_served)
{
    crash_attribution fresh;
    crash_attribution other;
    serve(other, sound, start);
    crash(fresh, "t-0", deadly, start);
    cr_assert_eq(fresh.judge(sound), part_verdict::held);
    other.merge(fresh.to_broadcast(start), start);
    fresh.merge(other.to_broadcast(start), start);
    cr_assert_eq(verdict_after(fresh, deadly, start), part_verdict::quarantined);
    cr_assert_eq(fresh.judge(sound), part_verdict::clear);
    cr_assert_eq(verdict_after(other, deadly, start), part_verdict::quarantined);
}

/// Two gateways had a request at the target, and neither knows of the other's.
Test(crash_attribution, evidence_of_all_gateways_counts_before_a_conclusion)
{
    crash_attribution a;
    crash_attribution b;
    crash(a, "t-0", {"innocent"}, start);
    crash(b, "t-0", deadly, start);
    a.merge(b.to_broadcast(start), start);
    b.merge(a.to_broadcast(start), start);
    cr_assert_eq(verdict_after(a, {"innocent"}, start), part_verdict::suspect);
    cr_assert_eq(verdict_after(b, {"innocent"}, start), part_verdict::suspect);
    serve(a, {"innocent"}, start + settled);
    serve(b, sound, start + settled);
    a.merge(b.to_broadcast(start + settled), start + settled);
    cr_assert_eq(verdict_after(a, deadly, start + settled), part_verdict::quarantined);
    cr_assert_eq(a.judge({"innocent"}), part_verdict::clear);
}

Test(crash_attribution, suspects_are_tried_one_gateway_at_a_time)
{
    crash_attribution it;
    crash(it, "t-0", {"p", "q"}, start);
    it.decide(start + settled);
    const auto turns = [&](timestamp now)
    {
        int n = 0;
        for (std::size_t i = 0; i < 3; ++i)
            n += it.is_own_turn(i, 3, now) ? 1 : 0;
        return n;
    };
    for (int ms = 0; ms < 3000; ms += 100)
        cr_assert_eq(turns(start + settled + milliseconds{ms}), 1);
    it.record_trial(start + settled);
    cr_assert_eq(turns(start + settled), 0, "one call a turn");
}

Test(crash_attribution, parts_that_always_occur_together_are_quarantined_together)
{
    crash_attribution it;
    for (int i = 0; i < 3; ++i)
        crash(it, "t-" + std::to_string(i), {"p", "q"}, start + i * settled);
    cr_assert_eq(verdict_after(it, {"p"}, start + 3 * settled), part_verdict::quarantined);
    cr_assert_eq(it.judge({"q"}), part_verdict::quarantined);
}

/// Engines get a new version that a part crashes which was served before.
Test(crash_attribution, served_part_that_turns_deadly_is_singled_out)
{
    crash_attribution it;
    serve(it, deadly, start);
    for (int i = 1; i <= 2; ++i)
    {
        const auto at = start + i * milliseconds{5000};
        serve(it, sound, at);
        crash(it, "t-" + std::to_string(i), deadly, at + settled);
    }
    cr_assert_eq(verdict_after(it, deadly, start + milliseconds{11'000}),
                 part_verdict::quarantined);
    cr_assert_eq(it.judge(sound), part_verdict::clear);
}

/// Engines that send the head before they begin: a head says nothing about what they answer.
Test(crash_attribution, early_heads_single_out_a_part_over_several_crashes)
{
    crash_attribution it;
    for (int i = 0; i < 200; ++i)
        it.record_served(sound, milliseconds{1}, milliseconds{100}, start);
    std::mt19937_64 random{20261204};
    for (int i = 1; i <= 3; ++i)
    {
        const auto at = start + i * milliseconds{4000};
        const auto target = "t-" + std::to_string(i);
        crash(it, target, deadly, at);
        crash(it, target, {"once-" + std::to_string(random())}, at);
        cr_assert_eq(verdict_after(it, deadly, at),
                     i < 3 ? part_verdict::clear : part_verdict::quarantined);
    }
}

Test(crash_attribution, release_is_not_undone_by_older_evidence)
{
    crash_attribution a;
    crash_attribution b;
    crash(a, "t-0", {"p"}, start);
    a.decide(start + settled);
    b.merge(a.to_broadcast(start + settled), start + settled);
    cr_assert_eq(b.judge({"p"}), part_verdict::quarantined);
    const auto later = start + milliseconds{10'000};
    a.release("p", later);
    a.merge(b.to_broadcast(later), later);
    cr_assert_eq(verdict_after(a, {"p"}, later), part_verdict::clear);
}

Test(crash_attribution, quarantine_ends_after_its_lifetime_and_when_the_part_is_served)
{
    crash_attribution it;
    crash(it, "t-0", {"p"}, start);
    cr_assert_eq(verdict_after(it, {"p"}, start), part_verdict::quarantined);
    cr_assert_eq(verdict_after(it, {"p"}, start + milliseconds{601'000}), part_verdict::clear);
    crash(it, "t-1", {"q"}, start);
    cr_assert_eq(verdict_after(it, {"q"}, start), part_verdict::quarantined);
    serve(it, {"q"}, start + milliseconds{2000});
    cr_assert_eq(it.decide(start + milliseconds{2000}).released.size(), 1);
    cr_assert_eq(it.judge({"q"}), part_verdict::clear);
}

/// Replays the load of an incident: 50 requests per second at 4 gateways, one in 20 with the part,
/// targets that are away for four seconds, and further crashes of other causes.
Test(crash_attribution, deadly_part_among_sound_requests_ends_few_targets)
{
    for (unsigned seed = 1; seed <= 50; ++seed)
    {
        std::mt19937_64 random{seed};
        std::vector<crash_attribution> gateways(4);
        int crashes = 0;
        int refused_sound = 0;
        auto down_until = start;
        for (int n = 0; n < 1500; ++n)
        {
            const auto now = start + n * milliseconds{20};
            const auto sender = random() % gateways.size();
            const auto first = "shared-" + std::to_string(random() % 100);
            const bool is_deadly = n > 100 && random() % 20 == 0;
            const parts of = is_deadly ? parts{first, "deadly"} : parts{first};
            for (auto& it : gateways)
                it.decide(now);
            const auto verdict = gateways[sender].judge(of);
            const bool is_trial = verdict == part_verdict::suspect &&
                                  gateways[sender].is_own_turn(sender, gateways.size(), now);
            if (is_trial)
                gateways[sender].record_trial(now);
            if (verdict != part_verdict::clear && !is_trial)
            {
                refused_sound += is_deadly ? 0 : 1;
                continue;
            }
            if (now < down_until)
                continue;
            if (!is_deadly && random() % 400 != 0)
            {
                serve(gateways[sender], of, now);
                continue;
            }
            crash(gateways[sender], "t-" + std::to_string(n), of, now, is_deadly);
            crashes += is_deadly ? 1 : 0;
            down_until = now + milliseconds{4000};
            for (auto& to : gateways)
            {
                for (auto& from : gateways)
                    to.merge(from.to_broadcast(now), now);
            }
        }
        cr_assert_leq(crashes, 3, "seed %u: %d", seed, crashes);
        cr_assert_leq(refused_sound, 15, "seed %u: %d", seed, refused_sound);
    }
}

/// One message has no room for all of it.
Test(crash_attribution, evidence_of_a_lost_group_reaches_other_gateways_in_parts)
{
    constexpr int targets = 60;
    constexpr int parts_of_a_target = 24;
    const auto part_of = [](int target, int i)
    { return "assistant/" + std::to_string(1'000'000 + target * parts_of_a_target + i); };
    crash_attribution from;
    for (int t = 0; t < targets; ++t)
    {
        for (int i = 0; i < parts_of_a_target; ++i)
            crash(from, "target-" + std::to_string(t), {part_of(t, i)}, start);
    }
    crash_attribution to;
    for (int i = 0; i < targets; ++i)
        to.merge(from.to_broadcast(start), start);
    for (int t = 0; t < targets; ++t)
        cr_assert_eq(to.crashes_with(part_of(t, parts_of_a_target - 1)), 1, "target %d", t);
}

Test(crash_attribution, parts_that_waited_leave_room_for_those_that_were_begun)
{
    crash_attribution it;
    for (int i = 0; i < 500; ++i)
        it.record_lost("t-0", {"waited-" + std::to_string(i)}, false, start);
    crash(it, "t-0", deadly, start);
    cr_assert_eq(it.crashes_with("deadly"), 1);
}

Test(crash_attribution, evidence_version_changes_with_new_evidence_only)
{
    crash_attribution it;
    crash(it, "t-0", deadly, start);
    const auto evidence = it.to_broadcast(start);
    const auto version = it.evidence_version();
    crash(it, "t-0", deadly, start);
    it.merge(evidence, start);
    cr_assert_eq(it.evidence_version(), version);
    crash(it, "t-1", deadly, start);
    cr_assert_neq(it.evidence_version(), version);
}

/// With hundreds of gateways a report takes longer to arrive than the settle time.
Test(crash_attribution, part_is_not_quarantined_before_the_other_gateways_can_report)
{
    constexpr milliseconds interval{1000};
    crash_attribution it;
    crash(it, "t-0", sound, start);
    cr_assert(it.decide(start + settled, interval).quarantined.empty());
    cr_assert_eq(it.judge(sound), part_verdict::held);
    crash_evidence report;
    report.crashes.emplace("t-0", crash_evidence::crash{start, true, {"shared"}, {}});
    report.served.emplace("shared", start - settled);
    it.merge(report, start + interval);
    cr_assert(it.decide(start + 4 * interval, interval).quarantined.empty());
    cr_assert_eq(it.judge(sound), part_verdict::clear);
}

namespace
{

constexpr milliseconds first_lifetime{60'000};

crash_attribution for_requests()
{
    return crash_attribution{
        {.first_lifetime = first_lifetime, .crashes_without_head = 2, .quarantines_ties = false}};
}

} // namespace

/// A request may have met its only crash by accident, so it is not refused for as long.
Test(crash_attribution, first_quarantine_is_shorter)
{
    auto it = for_requests();
    crash(it, "t-0", {"r"}, start);
    cr_assert_eq(verdict_after(it, {"r"}, start), part_verdict::quarantined);
    cr_assert_leq(it.quarantine_left({"r"}, start).count(),
                  first_lifetime.count() + settled.count());
    cr_assert_eq(verdict_after(it, {"r"}, start + first_lifetime + settled), part_verdict::clear);
    // Two more crashes end the second chance, for the whole time.
    const auto later = start + 2 * first_lifetime;
    crash(it, "t-1", {"r"}, later);
    crash(it, "t-2", {"r"}, later);
    cr_assert_eq(verdict_after(it, {"r"}, later), part_verdict::quarantined);
    cr_assert_gt(it.quarantine_left({"r"}, later).count(), 500'000);
}

/// Without a response head, one crash may be an accident and the request is sent again.
Test(crash_attribution, request_without_head_is_quarantined_after_two_crashes)
{
    auto it = for_requests();
    crash(it, "t-0", {"r"}, start, false);
    it.record_lost("t-0", {"other"}, false, start);
    cr_assert_eq(verdict_after(it, {"r"}, start), part_verdict::clear);
    crash(it, "t-1", {"r"}, start + settled, false);
    cr_assert_eq(verdict_after(it, {"r"}, start + settled), part_verdict::quarantined);
    cr_assert_eq(it.judge({"other"}), part_verdict::clear);
}

/// A part was blamed that one deadly request has in common with sound ones.
Test(crash_attribution, crashes_of_one_request_do_not_blame_a_served_part)
{
    crash_attribution it;
    serve(it, sound, start);
    for (const auto* target : {"t-0", "t-1", "t-2"})
    {
        it.record_lost(target, sound, true, start + settled, "r");
        it.record_gone(target, start + settled);
    }
    cr_assert_eq(verdict_after(it, sound, start + 2 * settled), part_verdict::clear);
    it.record_lost("t-3", sound, true, start + 2 * settled, "other");
    it.record_gone("t-3", start + 2 * settled);
    cr_assert_neq(verdict_after(it, sound, start + 3 * settled), part_verdict::clear);
}

/// Repeats arrive faster than crashes are confirmed.
Test(crash_attribution, request_is_held_after_its_second_loss)
{
    auto it = for_requests();
    it.record_lost("t-0", {"r"}, false, start);
    cr_assert_eq(it.judge({"r"}), part_verdict::clear);
    it.record_lost("t-1", {"r"}, false, start);
    cr_assert_eq(it.judge({"r"}), part_verdict::held);
    it.record_alive("t-1");
    it.decide(start + settled);
    cr_assert_eq(it.judge({"r"}), part_verdict::clear);
}

/// Guards against a sound request that was refused because it waited at each target that another
/// request crashed: of several requests, none is quarantined before one is in more crashes.
Test(crash_attribution, request_that_waited_with_a_deadly_one_is_tried_alone)
{
    auto it = for_requests();
    auto now = start;
    for (const auto* target : {"t-0", "t-1", "t-2"})
    {
        crash(it, target, {"sound"}, now, false);
        crash(it, target, {"deadly"}, now, false);
        cr_assert_neq(verdict_after(it, {"sound"}, now), part_verdict::quarantined);
        now += 2 * settled;
    }
    cr_assert_eq(it.judge({"sound"}), part_verdict::suspect);
    cr_assert_eq(it.judge({"deadly"}), part_verdict::suspect);
    serve(it, {"sound"}, now);
    cr_assert_eq(verdict_after(it, {"deadly"}, now), part_verdict::quarantined);
    cr_assert_eq(it.judge({"sound"}), part_verdict::clear);
}

/// The gateway that lost a sound request at two crashes hears last of the deadly one.
Test(crash_attribution, request_is_not_quarantined_before_the_other_gateways_can_report)
{
    auto a = for_requests();
    auto b = for_requests();
    for (const auto* target : {"t-0", "t-1"})
    {
        crash(a, target, {"sound"}, start, false);
        crash(b, target, {"deadly"}, start, false);
    }
    a.decide(start + milliseconds{25});
    cr_assert_eq(a.judge({"sound"}), part_verdict::held);
    a.merge(b.to_broadcast(start), start + milliseconds{50});
    cr_assert_neq(verdict_after(a, {"sound"}, start), part_verdict::quarantined);
}
