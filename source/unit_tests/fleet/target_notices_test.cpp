#include "fleet/target_eligibility.hpp"
#include "fleet/target_table.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::fleet;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
constexpr milliseconds second{1000};

target one(const std::string& id, std::int64_t started_at, std::int64_t revision = 1)
{
    target it;
    it.id = id;
    it.service = "s";
    it.address = "10.0.0.1:80";
    it.written_at.at = revision;
    it.started_at = started_at;
    return it;
}

bool accepts_calls(const target_table& it, const std::string& id, timestamp now)
{
    return it.find_usable(id, now) != nullptr;
}

} // namespace

Test(target_notices, draining_notice_overrides_ready_entry)
{
    target_table it;
    it.put(one("a", 50), start);
    cr_assert(it.note_draining("a", 50, notice_source::answer, start));
    cr_assert(!it.note_draining("a", 50, notice_source::answer, start), "already known");
    cr_assert(!accepts_calls(it, "a", start));
    it.put(one("a", 50, 9), start);
    cr_assert(!accepts_calls(it, "a", start + 100 * second),
              "same start, although its entry is ready");
}

Test(target_notices, notice_outlives_expired_entry)
{
    target_table it;
    it.put(one("a", 50), start);
    it.note_draining("a", 50, notice_source::answer, start);
    it.remove("a", start, std::nullopt);
    it.put(one("a", 50, 9), start);
    cr_assert(!accepts_calls(it, "a", start + second));
}

Test(target_notices, restart_under_same_id_ends_notice)
{
    target_table it;
    it.put(one("a", 50), start);
    it.note_draining("a", 50, notice_source::answer, start);
    it.note_busy("a", 50, 60 * second, start);
    it.put(one("a", 51, 9), start);
    cr_assert(accepts_calls(it, "a", start));
    cr_assert(!it.note_draining("a", 50, notice_source::answer, start),
              "a notice of the earlier start");
    cr_assert(accepts_calls(it, "a", start));
}

Test(target_notices, notice_does_not_apply_to_next_target_at_address)
{
    target_table it;
    it.put(one("a", 50), start);
    it.note_draining("a", 50, notice_source::answer, start);
    it.put(one("b", 70, 9), start);
    cr_assert(accepts_calls(it, "b", start));
}

Test(target_notices, notice_without_start_time_expires)
{
    target_table it;
    it.put(one("a", 0), start);
    it.note_draining("a", 0, notice_source::answer, start);
    it.put(one("a", 0, 9), start);
    cr_assert(!accepts_calls(it, "a", start + 59 * second));
    cr_assert(accepts_calls(it, "a", start + 61 * second));
}

Test(target_notices, busy_target_unused_for_requested_time)
{
    target_table it;
    it.put(one("a", 50), start);
    cr_assert(it.note_busy("a", 50, 3 * second, start));
    cr_assert(!accepts_calls(it, "a", start + milliseconds{2999}));
    cr_assert(accepts_calls(it, "a", start + 3 * second));
    // A response that was sent earlier asks for less time.
    it.note_busy("a", 50, 3 * second, start);
    cr_assert(!it.note_busy("a", 50, second, start));
    cr_assert(!accepts_calls(it, "a", start + 2 * second));
}

Test(target_notices, requested_time_is_bounded)
{
    target_table it;
    it.put(one("a", 50), start);
    cr_assert(!it.note_busy("a", 50, milliseconds{0}, start));
    cr_assert(!it.note_busy("a", 50, milliseconds{-5}, start));
    cr_assert(accepts_calls(it, "a", start));
    it.note_busy("a", 50, milliseconds::max() / 4, start);
    cr_assert(!accepts_calls(it, "a", start + 3599 * second));
    cr_assert(accepts_calls(it, "a", start + 3600 * second));
}

Test(target_notices, service_busy_until_first_target_accepts_calls)
{
    target_table it;
    const evacuations none;
    const target_eligibility eligibility{it, none, {}};
    auto other = one("b", 50);
    other.address = "10.0.0.2:80";
    it.put(one("a", 50), start);
    it.put(other, start);
    it.note_busy("a", 50, 5 * second, start);
    cr_assert(!eligibility.available_from("s", {}, start));
    it.note_busy("b", 50, 3 * second, start);
    cr_assert(eligibility.available_from("s", {}, start) == start + 3 * second);
    it.note_draining("b", 50, notice_source::answer, start);
    cr_assert(eligibility.available_from("s", {}, start) == start + 5 * second);
    cr_assert(!eligibility.available_from("other", {}, start));
}

Test(target_notices, prune_removes_notice_without_entry)
{
    target_table it;
    it.put(one("a", 50), start);
    it.note_draining("a", 50, notice_source::answer, start);
    it.note_draining("gone", 50, notice_source::answer, start);
    constexpr milliseconds hour = 3600 * second;
    it.prune(start + hour);
    cr_assert(!accepts_calls(it, "a", start + hour), "its entry still exists");
    it.put(one("gone", 50, 9), start);
    cr_assert(accepts_calls(it, "gone", start + hour));
}

/// Guards against two gateways that refresh each other's notices, so that neither ever drops them.
Test(target_notices, notice_of_peer_not_broadcast)
{
    target_notices here;
    target_notices there;
    here.note_draining("a", 0, notice_source::answer, start);
    for (int s = 0; s < 200; ++s)
    {
        const auto now = start + s * second;
        for (const auto& [id, started_at] : here.draining_to_broadcast(now))
            there.note_draining(id, started_at, notice_source::peer, now);
        for (const auto& [id, started_at] : there.draining_to_broadcast(now))
            here.note_draining(id, started_at, notice_source::peer, now);
    }
    cr_assert(!here.is_draining("a", start + 200 * second));
    cr_assert(!there.is_draining("a", start + 200 * second));
}

Test(target_notices, newest_response_decides_on_a_rate_limit)
{
    target_table it;
    it.put(one("a", 50), start);
    cr_assert(!it.note_rate_limit("a", {50, std::nullopt, start}, notice_source::answer));
    cr_assert(it.note_rate_limit("a", {50, 2.5, start + second}, notice_source::answer));
    cr_assert_eq(it.limited().at("a"), 2.5);
    cr_assert(!it.note_rate_limit("a", {50, 9.0, start}, notice_source::peer), "older");
    cr_assert(it.note_rate_limit("a", {50, std::nullopt, start + 2 * second}, notice_source::peer));
    cr_assert(it.limited().empty());
    cr_assert(!it.note_rate_limit("a", {50, 2.5, start + second}, notice_source::peer), "older");
}

Test(target_notices, rate_limit_of_an_earlier_start_ends)
{
    target_table it;
    it.put(one("a", 50), start);
    it.note_rate_limit("a", {50, 2.5, start}, notice_source::answer);
    it.put(one("a", 51, 9), start);
    cr_assert(it.limited().empty());
    cr_assert(!it.note_rate_limit("a", {50, 2.5, start + second}, notice_source::peer));
}

/// Gateways would otherwise refresh each other's notices.
Test(target_notices, only_limits_heard_here_are_broadcast)
{
    target_table it;
    it.put(one("a", 50), start);
    it.put(one("b", 50), start);
    it.note_rate_limit("a", {50, 2.5, start}, notice_source::answer);
    it.note_rate_limit("b", {50, 1.5, start}, notice_source::peer);
    cr_assert_eq(it.limits_to_broadcast(start).size(), 1);
    cr_assert(it.limits_to_broadcast(start + 40 * second).empty());
    it.prune(start + 61 * second);
    cr_assert(it.limited().empty(), "no response has named it for a minute");
}

/// A message with the limits of a whole large group would be cut off on receipt.
Test(target_notices, newest_limits_are_broadcast_when_many_targets_have_one)
{
    constexpr int targets = 1900;
    target_table it;
    for (int i = 0; i < targets; ++i)
    {
        const auto id = std::to_string(i);
        it.put(one(id, 50), start);
        it.note_rate_limit(id, {50, 2.5, start + milliseconds{i}}, notice_source::answer);
    }
    const auto sent = it.limits_to_broadcast(start + milliseconds{targets});
    cr_assert_eq(sent.size(), target_notices::max_broadcast_limits);
    cr_assert(sent.contains(std::to_string(targets - 1)));
    cr_assert(!sent.contains("0"));
}
