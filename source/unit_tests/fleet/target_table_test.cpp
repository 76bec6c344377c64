#include "fleet/target_table.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::fleet;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};

target at(const std::string& id, const std::string& address, std::int64_t revision)
{
    target it;
    it.id = id;
    it.service = "s";
    it.address = address;
    it.written_at.at = revision;
    return it;
}

std::vector<std::string> usable(const target_table& it)
{
    std::vector<std::string> out;
    for (const auto* t : it.usable("s", start))
        out.push_back(t->id);
    return out;
}

using ids = std::vector<std::string>;

} // namespace

Test(target_table, newer_entry_owns_address)
{
    target_table it;
    it.put(at("b-new", "10.0.0.1:80", 9), start);
    it.put(at("a-old", "10.0.0.1:80", 4), start);
    it.put(at("other", "10.0.0.2:80", 1), start);
    cr_assert(usable(it) == (ids{"b-new", "other"}));
    cr_assert_null(it.find_usable("a-old", start));
}

Test(target_table, rewritten_entry_owns_address_again)
{
    target_table it;
    it.put(at("a", "10.0.0.1:80", 4), start);
    it.put(at("b", "10.0.0.1:80", 9), start);
    it.put(at("a", "10.0.0.1:80", 12), start);
    cr_assert(usable(it) == ids{"a"});
}

Test(target_table, older_entry_owns_address_after_removal_of_newer)
{
    target_table it;
    it.put(at("a", "10.0.0.1:80", 4), start);
    it.put(at("b", "10.0.0.1:80", 9), start);
    it.remove("b", start, std::nullopt);
    cr_assert(usable(it) == ids{"a"});
}

/// Guards against an entry with a wrong address that keeps a healthy target out of use.
Test(target_table, released_address_returns_to_older_entry)
{
    target_table it;
    it.put(at("good", "10.0.0.1:80", 4), start);
    it.put(at("strange", "10.0.0.1:80", 9), start);
    it.release_address("strange");
    cr_assert(usable(it) == ids{"good"});
    it.put(at("strange", "10.0.0.1:80", 11), start);
    cr_assert(usable(it) == ids{"strange"}, "a new entry is a new claim");
}

Test(target_table, draining_target_keeps_its_address)
{
    target_table it;
    it.put(at("a", "10.0.0.1:80", 4), start);
    auto draining = at("b", "10.0.0.1:80", 9);
    draining.is_draining = true;
    it.put(draining, start);
    cr_assert(usable(it).empty());
}

namespace
{

/// How long a target is used whose entry is removed this long after the store became reachable
/// again.
milliseconds served_after_removal(milliseconds after_return)
{
    target_table it;
    it.put(at("a", "10.0.0.1:80", 4), start);
    it.remove("a", start + after_return, start);
    milliseconds served{0};
    while (it.find_usable("a", start + after_return + served) != nullptr)
        served += milliseconds{1};
    return served;
}

} // namespace

/// An entry that expired while the store was unreachable is written again within two seconds of its
/// return. An entry that is removed later was removed on purpose, and its target serves for two
/// more seconds.
Test(target_table, expired_entry_kept_only_while_it_may_be_rewritten)
{
    cr_assert_gt(served_after_removal(milliseconds{0}).count(), 1500);
    cr_assert_leq(served_after_removal(milliseconds{1140}).count(), 860);
    cr_assert_eq(served_after_removal(milliseconds{2100}).count(), 0);
}

Test(target_table, removed_target_unused_after_drain_time)
{
    constexpr milliseconds drain{2000};
    constexpr milliseconds call_transit_time{250};
    for (int ms = 0; ms < 3000; ms += 100)
        cr_assert_leq(served_after_removal(milliseconds{ms}).count(),
                      (drain - call_transit_time).count());
}

namespace
{

constexpr kumquatgap::kv::era first_era = 1;

target restored(const std::string& id, std::int64_t revision)
{
    auto it = at(id, "10.0.0.1:80", revision);
    it.written_at.in_era = first_era + 1;
    it.started_at = 7;
    it.is_confirmed = false;
    return it;
}

target original(const std::string& id, std::int64_t revision)
{
    auto it = restored(id, revision);
    it.written_at.in_era = first_era;
    it.is_confirmed = true;
    return it;
}

} // namespace

/// A copy of the store shows a target as ready that has begun to drain since.
Test(target_table, draining_target_stays_draining_after_restore)
{
    target_table it;
    auto draining = original("a", 40);
    draining.is_draining = true;
    it.put(draining, start);
    it.put(restored("a", 20), start);
    cr_assert(usable(it).empty());
    // Another start of the target.
    auto next = restored("a", 21);
    next.started_at = 8;
    it.put(next, start);
    cr_assert(usable(it) == (ids{"a"}));
}

Test(target_table, removed_target_is_held_after_restore)
{
    target_table it;
    it.put(original("a", 40), start);
    it.remove("a", start, std::nullopt);
    it.put(restored("a", 20), start);
    cr_assert(usable(it).empty());
    cr_assert_not_null(it.find_usable("a", start + target_table::unconfirmed_hold));
    // Written again in the new era, so it is there.
    auto confirmed = restored("a", 30);
    confirmed.is_confirmed = true;
    it.put(confirmed, start);
    cr_assert(usable(it) == (ids{"a"}));
}

/// Revisions of the era before are higher, and their targets kept the address.
Test(target_table, entry_of_newer_era_owns_address)
{
    target_table it;
    it.put(original("a", 40), start);
    it.put(restored("b", 20), start);
    cr_assert(usable(it) == (ids{"b"}));
}

/// A missing entry was taken for the end of the target, and so for proof of a crash.
Test(target_table, target_lost_by_restore_stays_registered_for_grace)
{
    target_table it;
    it.put(original("a", 40), start);
    it.remove("a", start, start);
    cr_assert(it.is_registered("a", 7, start));
    cr_assert_not(it.is_registered("a", 7, start + target_table::expiry_grace));
}
