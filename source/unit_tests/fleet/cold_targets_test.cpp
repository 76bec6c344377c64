#include "fleet/target_table.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::fleet;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
constexpr milliseconds second{1000};
constexpr milliseconds cold_time{3000};

/// A target whose entry is read `age` after its start.
target one(milliseconds cold_for, std::optional<milliseconds> age = std::nullopt,
           std::int64_t started_at = 50)
{
    target it;
    it.id = "a";
    it.service = "s";
    it.address = "10.0.0.1:80";
    it.written_at.at = 1;
    it.started_at = started_at;
    it.cold_for = cold_for;
    it.age = age;
    return it;
}

/// Reads an entry; true when the target has become cold, or is no longer cold.
bool read(target_table& table, const target& it, timestamp now)
{
    const auto out = table.note_entry_cold(it, now);
    table.put(it, now);
    return out;
}

bool is_cold(const target_table& it, timestamp now)
{
    return it.notices().cold_period_of("a", now).has_value();
}

} // namespace

Test(cold_targets, entry_makes_a_target_cold_for_the_time_that_it_names)
{
    target_table it;
    cr_assert(!it.notices().has_cold(start));
    cr_assert(read(it, one(cold_time), start));
    cr_assert(is_cold(it, start + cold_time - milliseconds{1}));
    cr_assert(!is_cold(it, start + cold_time));
    cr_assert(!it.notices().has_cold(start + cold_time));
    cr_assert(it.find_usable("a", start) != nullptr, "it accepts calls");
}

Test(cold_targets, entry_that_names_no_cold_time_changes_nothing)
{
    target_table it;
    cr_assert(!read(it, one(milliseconds{0}), start));
    cr_assert(!it.notices().has_cold(start));
    cr_assert(it.notices().cold(start).empty());
}

/// Guards against a target that is held cold although its entry says that it is no longer.
Test(cold_targets, later_entry_of_0_ends_the_cold_time)
{
    target_table it;
    read(it, one(cold_time), start);
    cr_assert(read(it, one(milliseconds{0}), start + second));
    cr_assert(!is_cold(it, start + second));
}

/// Guards against a gateway that starts, reads entries of targets that started long ago, and takes
/// them for cold.
Test(cold_targets, old_entry_that_is_read_first_counts_from_the_start_of_the_target)
{
    target_table old;
    cr_assert(!read(old, one(cold_time, 60 * second), start));
    cr_assert(!is_cold(old, start));
    target_table recent;
    read(recent, one(cold_time, 7 * second), start);
    cr_assert(is_cold(recent, start + milliseconds{900}), "it may have started for 5 s");
    cr_assert(!is_cold(recent, start + second));
    target_table clock_behind;
    read(clock_behind, one(cold_time, -60 * second), start);
    cr_assert(is_cold(clock_behind, start + cold_time - milliseconds{1}));
    cr_assert(!is_cold(clock_behind, start + cold_time));
}

/// Guards against a target that takes seconds to start and is taken for warm.
Test(cold_targets, entry_that_was_written_just_now_counts_from_then)
{
    target_table it;
    read(it, one(cold_time), start);
    cr_assert(is_cold(it, start + cold_time - milliseconds{1}));
    target_table first_read;
    read(first_read, one(cold_time, 5 * second), start);
    cr_assert(is_cold(first_read, start + cold_time - milliseconds{1}));
}

/// Guards against an old entry that ends a cold time which began after it was written.
Test(cold_targets, old_entry_that_is_read_first_does_not_end_the_cold_time)
{
    for (const auto cold_for : {milliseconds{0}, cold_time})
    {
        target_table it;
        it.note_cold("a", {50, start + 5 * second, start}, notice_source::peer);
        cr_assert(!read(it, one(cold_for, 60 * second), start + second));
        cr_assert(is_cold(it, start + 4 * second));
    }
}

/// Guards against a rule on old entries that misses a target which becomes cold while it runs.
Test(cold_targets, later_entry_counts_from_when_it_is_read)
{
    target_table it;
    read(it, one(milliseconds{0}, 60 * second), start);
    cr_assert(read(it, one(cold_time, 61 * second), start + second));
    cr_assert(is_cold(it, start + second + cold_time - milliseconds{1}));
}

/// Guards against a store that was restored from a copy in which all targets had just started.
Test(cold_targets, entry_of_a_restored_copy_says_nothing)
{
    target_table it;
    read(it, one(milliseconds{0}), start);
    auto copied = one(cold_time);
    copied.is_confirmed = false;
    cr_assert(!read(it, copied, start + second));
    cr_assert(!is_cold(it, start + second));
    read(it, one(cold_time), start + 2 * second);
    copied.cold_for = milliseconds{0};
    read(it, copied, start + 2 * second);
    cr_assert(is_cold(it, start + 3 * second), "nor does it end the cold time");
}

Test(cold_targets, response_names_the_cold_time)
{
    target_table it;
    read(it, one(milliseconds{0}), start);
    cr_assert(it.note_cold("a", {50, start + cold_time, start}, notice_source::answer));
    cr_assert(!it.note_cold("a", {50, start + cold_time, start + second}, notice_source::answer));
    cr_assert(is_cold(it, start + second));
    cr_assert(it.note_cold("a", {50, start + second, start + second}, notice_source::answer));
    cr_assert(!is_cold(it, start + second));
}

/// Guards against a cold time of an earlier start of the same id.
Test(cold_targets, cold_time_ends_with_the_start_that_named_it)
{
    target_table it;
    read(it, one(cold_time), start);
    read(it, one(milliseconds{0}, std::nullopt, 51), start + second);
    cr_assert(!is_cold(it, start + second));
    cr_assert(!it.note_cold("a", {50, start + 9 * second, start + second}, notice_source::peer));
    cr_assert(!is_cold(it, start + second));
}

Test(cold_targets, notice_of_another_gateway_extends_the_cold_time_only)
{
    target_table it;
    read(it, one(milliseconds{0}), start);
    cr_assert(it.note_cold("a", {50, start + cold_time, start}, notice_source::peer));
    cr_assert(is_cold(it, start + second));
    it.note_cold("a", {50, start + second, start + second}, notice_source::peer);
    it.note_cold("a", {50, start + 2 * second, start + second}, notice_source::peer);
    cr_assert(is_cold(it, start + cold_time - milliseconds{1}));
    it.note_cold("a", {50, start + 5 * second, start + second}, notice_source::peer);
    cr_assert(is_cold(it, start + 4 * second));
}

/// Guards against a gateway that has not heard of the end, and whose messages start the cold time
/// again.
Test(cold_targets, older_notice_of_another_gateway_does_not_start_it_again)
{
    target_table it;
    read(it, one(cold_time), start);
    read(it, one(milliseconds{0}), start + second);
    it.prune(start + second + second);
    cr_assert(!it.note_cold("a", {50, start + cold_time, start}, notice_source::peer));
    cr_assert(!is_cold(it, start + 2 * second));
}

Test(cold_targets, only_what_this_gateway_has_heard_is_broadcast)
{
    target_table it;
    read(it, one(cold_time), start);
    it.note_cold("b", {7, start + cold_time, start}, notice_source::peer);
    const auto sent = it.notices().cold_to_broadcast(start + second);
    cr_assert_eq(sent.size(), 1U);
    cr_assert_eq(sent.at("a"), (cold_notice{50, start + cold_time, start}));
    cr_assert(it.notices().cold_to_broadcast(start + cold_time).empty());
    cr_assert_eq(it.notices().cold_version(), 1U);
    cr_assert_eq(it.notices().cold(start).size(), 2U);
}

Test(cold_targets, cold_time_without_end_is_shortened)
{
    target_table it;
    read(it, one(milliseconds{INT64_C(1) << 50}), start);
    cr_assert(is_cold(it, start + second));
    cr_assert(!is_cold(it, start + target_notices::max_cold_time));
}
