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
    it.revision = revision;
    it.started_at = started_at;
    return it;
}

bool takes_work(const target_table& it, const std::string& id, timestamp now)
{
    return it.find_usable(id, now) != nullptr;
}

} // namespace

Test(target_notices, a_target_that_says_that_it_leaves_gets_nothing_whatever_its_entry_says)
{
    target_table it;
    it.put(one("a", 50));
    cr_assert(it.found_leaving("a", 50, notice_source::answer, start));
    cr_assert(!it.found_leaving("a", 50, notice_source::answer, start), "no news");
    cr_assert(!takes_work(it, "a", start));
    it.put(one("a", 50, 9));
    cr_assert(!takes_work(it, "a", start + 100 * second), "the same start, still ready");
}

Test(target_notices, a_notice_outlives_an_entry_that_lapses_and_comes_back)
{
    target_table it;
    it.put(one("a", 50));
    it.found_leaving("a", 50, notice_source::answer, start);
    it.remove("a", start, std::nullopt);
    it.put(one("a", 50, 9));
    cr_assert(!takes_work(it, "a", start + second));
}

Test(target_notices, another_start_under_the_same_id_takes_work)
{
    target_table it;
    it.put(one("a", 50));
    it.found_leaving("a", 50, notice_source::answer, start);
    it.found_busy("a", 50, 60 * second, start);
    it.put(one("a", 51, 9));
    cr_assert(takes_work(it, "a", start));
    cr_assert(!it.found_leaving("a", 50, notice_source::answer, start),
              "another gateway speaks of the start before");
    cr_assert(takes_work(it, "a", start));
}

Test(target_notices, another_target_at_the_same_address_takes_work)
{
    target_table it;
    it.put(one("a", 50));
    it.found_leaving("a", 50, notice_source::answer, start);
    it.put(one("b", 70, 9));
    cr_assert(takes_work(it, "b", start));
}

Test(target_notices, without_a_start_a_notice_ends_some_time)
{
    target_table it;
    it.put(one("a", 0));
    it.found_leaving("a", 0, notice_source::answer, start);
    it.put(one("a", 0, 9));
    cr_assert(!takes_work(it, "a", start + 59 * second));
    cr_assert(takes_work(it, "a", start + 61 * second));
}

Test(target_notices, a_busy_target_gets_nothing_for_its_time)
{
    target_table it;
    it.put(one("a", 50));
    cr_assert(it.found_busy("a", 50, 3 * second, start));
    cr_assert(!takes_work(it, "a", start + milliseconds{2999}));
    cr_assert(takes_work(it, "a", start + 3 * second));
    // An answer that was under way asks for less.
    it.found_busy("a", 50, 3 * second, start);
    cr_assert(!it.found_busy("a", 50, second, start));
    cr_assert(!takes_work(it, "a", start + 2 * second));
}

Test(target_notices, absurd_times_are_bounded)
{
    target_table it;
    it.put(one("a", 50));
    cr_assert(!it.found_busy("a", 50, milliseconds{0}, start));
    cr_assert(!it.found_busy("a", 50, milliseconds{-5}, start));
    cr_assert(takes_work(it, "a", start));
    it.found_busy("a", 50, milliseconds::max() / 4, start);
    cr_assert(!takes_work(it, "a", start + 3599 * second));
    cr_assert(takes_work(it, "a", start + 3600 * second));
}

Test(target_notices, a_service_is_busy_until_its_first_target_takes_work)
{
    target_table it;
    auto other = one("b", 50);
    other.address = "10.0.0.2:80";
    it.put(one("a", 50));
    it.put(other);
    it.found_busy("a", 50, 5 * second, start);
    cr_assert(!it.all_busy_until("s", start));
    it.found_busy("b", 50, 3 * second, start);
    cr_assert(it.all_busy_until("s", start) == start + 3 * second);
    it.found_leaving("b", 50, notice_source::answer, start);
    cr_assert(it.all_busy_until("s", start) == start + 5 * second);
    cr_assert(!it.all_busy_until("other", start));
}

Test(target_notices, only_what_holds_is_kept)
{
    target_table it;
    it.put(one("a", 50));
    it.found_leaving("a", 50, notice_source::answer, start);
    it.found_leaving("gone", 50, notice_source::answer, start);
    constexpr milliseconds hour = 3600 * second;
    it.prune(start + hour);
    cr_assert(!takes_work(it, "a", start + hour), "its entry is still there");
    it.put(one("gone", 50, 9));
    cr_assert(takes_work(it, "gone", start + hour));
}

/// Two gateways that told each other what they have from each other would never forget it.
Test(target_notices, what_another_gateway_said_is_not_told_on)
{
    target_notices here;
    target_notices there;
    here.note_leaving("a", 0, notice_source::answer, start);
    for (int s = 0; s < 200; ++s)
    {
        const auto now = start + s * second;
        for (const auto& [id, started_at] : here.to_tell(now))
            there.note_leaving(id, started_at, notice_source::peer, now);
        for (const auto& [id, started_at] : there.to_tell(now))
            here.note_leaving(id, started_at, notice_source::peer, now);
    }
    cr_assert(!here.is_leaving("a", start + 200 * second));
    cr_assert(!there.is_leaving("a", start + 200 * second));
}
