#include "policy/least_load_picker.hpp"

#include <criterion/criterion.h>

#include <map>

using namespace kumquatgap::policy;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
const std::vector<placement_candidate> three = {{"a", 2, 0}, {"b", 2, 0}, {"c", 2, 0}};

/// How often each target is picked with evenly spaced draws.
std::map<std::string, int> picks(const least_load_picker& picker, timestamp now)
{
    std::map<std::string, int> out;
    constexpr int draws = 30;
    for (int i = 0; i < draws; ++i)
        ++out[picker.pick(three, {}, now, static_cast<double>(i) / draws)];
    return out;
}

} // namespace

Test(least_load_picker, equal_targets_picked_equally)
{
    const least_load_picker picker{{}};
    for (const auto& [id, n] : picks(picker, start))
        cr_assert_eq(n, 10, "%s", id.c_str());
}

Test(least_load_picker, peer_loads_count_until_stale)
{
    least_load_picker picker{{}};
    picker.update_peer_loads("other", {{"a", 2}, {"b", 1}}, start);
    cr_assert_eq(picks(picker, start).count("a"), 0U);
    cr_assert_eq(picker.pick(three, {"c"}, start, 0), "b");
    cr_assert_eq(picks(picker, start + milliseconds{2000}).count("a"), 1U);
}

Test(least_load_picker, full_targets_not_picked)
{
    least_load_picker picker{{}};
    for (const auto* id : {"a", "a", "b", "b", "c", "c"})
        picker.sent(id, 1);
    cr_assert_eq(picker.pick(three, {}, start, 0), "");
    picker.ended("b", 1, target_health::good, milliseconds{5}, start);
    cr_assert_eq(picker.pick(three, {}, start, 0), "b");
}

Test(least_load_picker, transport_failure_ejects_target_temporarily)
{
    least_load_picker picker{{}};
    picker.sent("a", 1);
    picker.ended("a", 1, target_health::transport_failure, milliseconds{5}, start);
    cr_assert_eq(picks(picker, start).count("a"), 0U);
    cr_assert_eq(picks(picker, start + milliseconds{600}).count("a"), 1U);
}

Test(least_load_picker, no_target_ejected_when_most_fail)
{
    least_load_picker picker{{}};
    for (const auto* id : {"a", "b"})
    {
        picker.sent(id, 1);
        picker.ended(id, 1, target_health::transport_failure, milliseconds{5}, start);
    }
    cr_assert_eq(picks(picker, start).size(), 3U);
}

Test(least_load_picker, slow_target_picked_less)
{
    least_load_picker picker{{}};
    for (const auto* id : {"a", "b", "c"})
    {
        picker.sent(id, 1);
        const milliseconds time{*id == 'a' ? 250 : 50};
        picker.ended(id, 1, target_health::good, time, start);
    }
    cr_assert_eq(picks(picker, start).count("a"), 0U);
    picker.sent("b", 1);
    picker.sent("c", 1);
    cr_assert_eq(picks(picker, start).count("a"), 0U);
}

/// A shutdown predicts from it which calls can still end.
Test(least_load_picker, mean_response_time_is_that_of_good_ends)
{
    least_load_picker picker{{}};
    cr_assert_eq(picker.mean_response_time().count(), 0);
    picker.ended("a", 1, target_health::good, milliseconds{100}, start);
    picker.ended("b", 1, target_health::good, milliseconds{300}, start);
    picker.ended("c", 1, target_health::failed, milliseconds{9000}, start);
    cr_assert_eq(picker.mean_response_time().count(), 200);
}

/// Guards against a time that a single fast or slow target determines: calls compare their own
/// target with the fastest of the others.
Test(least_load_picker, expected_response_time_is_that_of_fastest_target_with_a_response)
{
    least_load_picker picker{{}};
    cr_assert_eq(picker.expected_response_time({"a", "b"}).count(), 0);
    picker.ended("a", 1, target_health::good, milliseconds{900}, start);
    picker.ended("b", 1, target_health::good, milliseconds{300}, start);
    picker.ended("c", 1, target_health::failed, milliseconds{10}, start);
    cr_assert_eq(picker.expected_response_time({"a", "b", "c"}).count(), 300);
    cr_assert_eq(picker.expected_response_time({"a", "c"}).count(), 900);
    cr_assert_eq(picker.expected_response_time({"c"}).count(), 0);
}

/// Guards against a smoothed time that still shows targets as fast after all of them became slow.
Test(least_load_picker, expected_response_time_follows_the_last_response_up)
{
    least_load_picker picker{{}};
    for (const int ms : {15, 15, 900})
        picker.ended("a", 1, target_health::good, milliseconds{ms}, start);
    cr_assert_eq(picker.expected_response_time({"a"}).count(), 900);
    picker.ended("a", 1, target_health::good, milliseconds{15}, start);
    cr_assert_lt(picker.expected_response_time({"a"}).count(), 200);
}
