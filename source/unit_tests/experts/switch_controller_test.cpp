#include "experts/switch_controller.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace kumquatgap::experts;

namespace
{

constexpr int ranks = 3;

/// A controller, and ranks whose statuses the test sets.
struct group
{
    switch_controller controller{5, {}};
    std::vector<rank_status> statuses = std::vector<rank_status>(ranks);
    timestamp now = timestamp{} + std::chrono::hours{1};

    group()
    {
        for (int i = 0; i < ranks; ++i)
        {
            auto& it = statuses[static_cast<std::size_t>(i)];
            it.report.group = "g";
            it.report.epoch = 1;
            it.report.rank = i;
            it.report.size = ranks;
            it.report.is_open = true;
            it.report.pass = 10;
            it.instance_id = 100 + i;
            it.is_settled = true;
        }
    }

    /// All ranks report that they have the current directive.
    void report_all()
    {
        now += milliseconds{25};
        // New agents increase the number of the directive, so all report twice.
        for (int i = 0; i < 2; ++i)
        {
            for (auto& it : statuses)
            {
                it.directive_token = controller.current().token;
                it.directive_number = controller.current().number;
                controller.handle(it, now);
            }
        }
        controller.tick(now);
    }

    /// Starts a switch and lets all ranks prepare it.
    void prepare_all()
    {
        report_all();
        const auto map = std::make_shared<const expert_map>(expert_map{{{{0}, {1}, {2}}}});
        cr_assert(controller.propose(map, now));
        for (auto& it : statuses)
            it.report.prepared = controller.current().version;
        report_all();
    }

    /// Starts a switch and advances it to the hold phase.
    void begin_hold()
    {
        prepare_all();
        cr_assert(controller.current().phase == switch_phase::hold);
    }
};

} // namespace

Test(switch_controller, repeats_a_late_hold_further_ahead)
{
    group g;
    g.begin_hold();
    const auto first = g.controller.current().pass;
    // The pass began before the order arrived, so the holder refused it.
    for (auto& it : g.statuses)
        it.report.pass = first;
    g.report_all();
    cr_assert(g.controller.current().phase == switch_phase::hold);
    cr_assert_gt(g.controller.current().pass, first + switch_options{}.min_lead_passes);
}

Test(switch_controller, does_not_repeat_a_hold_that_may_still_be_executed)
{
    group g;
    g.begin_hold();
    const auto first = g.controller.current().pass;
    for (auto& it : g.statuses)
    {
        it.report.pass = first;
        it.is_settled = false;
    }
    g.report_all();
    cr_assert_eq(g.controller.current().pass, first);
}

Test(switch_controller, sends_a_hold_only_to_the_holder)
{
    group g;
    g.begin_hold();
    const auto concerned = g.controller.unconfirmed_ranks();
    cr_assert_eq(concerned.size(), 1U);
    cr_assert_eq(concerned.front(), g.controller.current().holder);
}

Test(switch_controller, sends_only_to_unconfirmed_ranks)
{
    group g;
    g.begin_hold();
    auto& holder = g.statuses.front();
    holder.report.held = g.controller.current().pass;
    g.report_all();
    cr_assert(g.controller.current().phase == switch_phase::arm);
    cr_assert_eq(g.controller.unconfirmed_ranks().size(), static_cast<std::size_t>(ranks));
    holder.directive_number = g.controller.current().number;
    g.controller.handle(holder, g.now);
    const auto rest = g.controller.unconfirmed_ranks();
    cr_assert_eq(rest.size(), static_cast<std::size_t>(ranks - 1));
    cr_assert(std::ranges::find(rest, 0) == rest.end());
}

Test(switch_controller, sends_the_map_only_to_unprepared_ranks)
{
    group g;
    g.report_all();
    const auto map = std::make_shared<const expert_map>(expert_map{{{{0}, {1}, {2}}}});
    cr_assert(g.controller.propose(map, g.now));
    g.statuses[1].report.prepared = g.controller.current().version;
    g.controller.handle(g.statuses[1], g.now);
    cr_assert_null(g.controller.directive_for(1).map.get());
    cr_assert_not_null(g.controller.directive_for(2).map.get());
}

/// Load pattern: the store does not answer, so the lease can't be renewed. A hold that is in force
/// when the lease ends stops the group until another controller leads, 2 s or more.
Test(switch_controller, holds_no_pass_when_the_lease_ends_soon)
{
    group g;
    g.controller.set_lease_end(g.now + milliseconds{200});
    g.prepare_all();
    cr_assert(g.controller.current().phase == switch_phase::prepare);
    g.controller.set_lease_end(g.now + milliseconds{1400});
    g.report_all();
    cr_assert(g.controller.current().phase == switch_phase::hold, "the lease was renewed");
}

Test(switch_controller, repeats_no_hold_when_the_lease_ends_soon)
{
    group g;
    g.begin_hold();
    const auto first = g.controller.current().pass;
    for (auto& it : g.statuses)
        it.report.pass = first;
    g.controller.set_lease_end(g.now + milliseconds{200});
    g.report_all();
    cr_assert(g.controller.current().phase == switch_phase::release);
}
