#include "fleet/target_eligibility.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::fleet;
using kumquatgap::common::result_code;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
constexpr milliseconds busy_time{700};
const permitted_regions unrestricted;
const permitted_regions north{{"north"}};

/// Data centres a and b in region north, c in south, d in no known region; a target in each.
struct four_targets
{
    explicit four_targets(const std::string& data_centres = "abcd")
    {
        for (const char name : data_centres)
            put(std::string{name});
    }

    void put(const std::string& name, bool is_draining = false)
    {
        target it;
        it.id = "t-" + name;
        it.service = "s";
        it.address = "10.0.0.1:" + name;
        it.data_centre = name;
        it.slots = 2;
        it.is_draining = is_draining;
        it.written_at.at = ++last_revision;
        targets.put(it, start);
    }

    /// The name of the reason against a target; "none" if there is none.
    std::string reason(const std::string& name, const permitted_regions& regions = {}) const
    {
        for (const auto* it : targets.registered("s", start))
        {
            if (it->data_centre != name)
                continue;
            const auto why = judge.judge(*it, regions, start);
            return why ? std::string{ineligibility_name(why->index())} : "none";
        }
        return "not registered";
    }

    target_table targets;
    evacuations evacuated;
    std::string over_rate;
    std::int64_t last_revision = 0;
    target_eligibility judge{targets,
                             evacuated,
                             {{"a", "north"}, {"b", "north"}, {"c", "south"}},
                             [this](const target& it, timestamp) { return it.id != over_rate; }};
};

} // namespace

Test(target_eligibility, free_target_is_eligible)
{
    const four_targets it;
    cr_assert_eq(it.reason("a"), "none");
    cr_assert_eq(it.judge.eligible("s", unrestricted, start).size(), 4);
    cr_assert_eq(it.judge.slots("s", unrestricted, start), 8);
    cr_assert(it.judge.eligible("other", unrestricted, start).empty());
}

/// Each reason must have its own name in the metrics.
Test(target_eligibility, each_reason_is_told)
{
    four_targets it;
    it.put("a", true);
    it.targets.note_busy("t-b", 0, busy_time, start);
    it.evacuated.begin("c", start);
    it.over_rate = "t-d";
    cr_assert_eq(it.reason("a"), "draining");
    cr_assert_eq(it.reason("b"), "busy");
    cr_assert_eq(it.reason("c"), "evacuated");
    cr_assert_eq(it.reason("d"), "rate_limited");
    it.targets.note_cold("t-d", {0, start + busy_time, start}, notice_source::answer);
    cr_assert_eq(it.reason("d"), "cold");
    cr_assert_eq(it.reason("c", north), "outside_permitted_regions");
    cr_assert_eq(it.reason("d", north), "outside_permitted_regions");
}

/// Placement must find the same reasons as a single judgement, with and without the fast path for
/// targets against which nothing is known.
Test(target_eligibility, placement_leaves_out_and_counts_each_reason)
{
    four_targets it;
    skip_counts skipped{};
    cr_assert_eq(it.judge.placeable("s", unrestricted, start, skipped).size(), 4);
    cr_assert(skipped == skip_counts{});
    it.put("a", true);
    cr_assert_eq(it.judge.placeable("s", unrestricted, start, skipped).size(), 3);
    cr_assert(skipped == (skip_counts{1, 0, 0, 0, 0, 0}));
    it.targets.note_busy("t-b", 0, busy_time, start);
    it.evacuated.begin("c", start);
    it.over_rate = "t-d";
    skipped = {};
    cr_assert(it.judge.placeable("s", unrestricted, start, skipped).empty());
    cr_assert(skipped == (skip_counts{1, 1, 1, 0, 1, 0}));
    skipped = {};
    cr_assert(it.judge.placeable("s", north, start, skipped).empty());
    cr_assert(skipped == (skip_counts{1, 1, 0, 0, 0, 2}));
}

/// A notice of a response must count before the entry in the store says the same.
Test(target_eligibility, draining_notice_counts)
{
    four_targets it;
    it.targets.note_draining("t-a", 0, notice_source::peer, start);
    cr_assert_eq(it.reason("a"), "draining");
}

/// Predictions must see the smaller capacity as soon as the evacuation is known.
Test(target_eligibility, evacuation_and_regions_reduce_slots)
{
    four_targets it;
    cr_assert_eq(it.judge.slots("s", north, start), 4);
    it.evacuated.begin("a", start);
    cr_assert_eq(it.judge.slots("s", north, start), 2);
    cr_assert_eq(it.judge.slots("s", unrestricted, start), 6);
    it.evacuated.end("a");
    cr_assert_eq(it.judge.slots("s", unrestricted, start), 8);
}

/// A target whose rate is used up for a moment is no lost capacity.
Test(target_eligibility, used_up_rate_is_still_capacity)
{
    four_targets it{"a"};
    it.over_rate = "t-a";
    cr_assert_eq(it.reason("a"), "rate_limited");
    cr_assert_eq(it.judge.slots("s", unrestricted, start), 2);
}

/// Only a busy target names a time from which on it is eligible.
Test(target_eligibility, busy_target_is_available_from_its_time)
{
    four_targets it{"ab"};
    it.targets.note_busy("t-b", 0, busy_time, start);
    cr_assert_not(it.judge.available_from("s", unrestricted, start).has_value());
    it.evacuated.begin("a", start);
    cr_assert(it.judge.available_from("s", unrestricted, start) == start + busy_time);
    it.evacuated.begin("b", start);
    cr_assert_not(it.judge.available_from("s", unrestricted, start).has_value());
}

/// Calls waited for their deadlines when all data centres were evacuated.
Test(target_eligibility, call_is_refused_if_all_targets_are_evacuated)
{
    four_targets it{"ab"};
    it.evacuated.begin("a", start);
    cr_assert_not(it.judge.refusal("s", unrestricted, start).has_value());
    it.evacuated.begin("b", start);
    cr_assert(it.judge.refusal("s", unrestricted, start) == result_code::data_centre_evacuated);
    it.evacuated.end("a");
    cr_assert_not(it.judge.refusal("s", unrestricted, start).has_value());
}

/// A draining or busy target may be replaced or free again while the call waits.
Test(target_eligibility, call_waits_if_a_target_is_only_draining_or_busy)
{
    four_targets it{"ab"};
    it.evacuated.begin("a", start);
    it.targets.note_busy("t-b", 0, busy_time, start);
    cr_assert_not(it.judge.refusal("s", unrestricted, start).has_value());
    it.put("b", true);
    cr_assert_not(it.judge.refusal("s", unrestricted, start).has_value());
}

/// A service whose targets have not started yet refuses no calls.
Test(target_eligibility, call_waits_if_service_has_no_targets)
{
    four_targets it{""};
    it.evacuated.begin("a", start);
    cr_assert_not(it.judge.refusal("s", unrestricted, start).has_value());
    cr_assert_not(it.judge.refusal("s", north, start).has_value());
}

/// A restricted call waited for its deadline when no target was in a permitted region.
Test(target_eligibility, call_is_refused_without_target_in_permitted_region)
{
    const four_targets it{"cd"};
    cr_assert(it.judge.refusal("s", north, start) == result_code::no_permitted_target);
    cr_assert_not(it.judge.refusal("s", unrestricted, start).has_value());
    const auto nowhere = north.intersected_with(permitted_regions{{"south"}});
    cr_assert(it.judge.refusal("s", nowhere, start) == result_code::no_permitted_target);
}

/// The code must name the evacuation when that is what took the permitted targets away.
Test(target_eligibility, evacuation_of_permitted_region_is_told)
{
    four_targets it{"acd"};
    cr_assert_not(it.judge.refusal("s", north, start).has_value());
    it.evacuated.begin("a", start);
    cr_assert(it.judge.refusal("s", north, start) == result_code::data_centre_evacuated);
    it.evacuated.end("a");
    it.evacuated.begin("c", start);
    cr_assert_not(it.judge.refusal("s", north, start).has_value());
}

/// An entry that was replaced at its address, or expired, must not keep calls waiting.
Test(target_eligibility, target_without_valid_entry_does_not_count)
{
    four_targets it{"ab"};
    it.evacuated.begin("b", start);
    it.targets.release_address("t-a");
    cr_assert(it.judge.refusal("s", unrestricted, start) == result_code::data_centre_evacuated);
    cr_assert_eq(it.reason("a"), "not registered");
}
