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
    it.revision = revision;
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
    it.put(at("b-new", "10.0.0.1:80", 9));
    it.put(at("a-old", "10.0.0.1:80", 4));
    it.put(at("other", "10.0.0.2:80", 1));
    cr_assert(usable(it) == (ids{"b-new", "other"}));
    cr_assert_null(it.find_usable("a-old", start));
}

Test(target_table, rewritten_entry_owns_address_again)
{
    target_table it;
    it.put(at("a", "10.0.0.1:80", 4));
    it.put(at("b", "10.0.0.1:80", 9));
    it.put(at("a", "10.0.0.1:80", 12));
    cr_assert(usable(it) == ids{"a"});
}

Test(target_table, older_entry_owns_address_after_removal_of_newer)
{
    target_table it;
    it.put(at("a", "10.0.0.1:80", 4));
    it.put(at("b", "10.0.0.1:80", 9));
    it.remove("b", start, std::nullopt);
    cr_assert(usable(it) == ids{"a"});
}

/// Guards against an entry with a wrong address that keeps a healthy target out of use.
Test(target_table, released_address_returns_to_older_entry)
{
    target_table it;
    it.put(at("good", "10.0.0.1:80", 4));
    it.put(at("strange", "10.0.0.1:80", 9));
    it.release_address("strange");
    cr_assert(usable(it) == ids{"good"});
    it.put(at("strange", "10.0.0.1:80", 11));
    cr_assert(usable(it) == ids{"strange"}, "a new entry is a new claim");
}

Test(target_table, draining_target_keeps_its_address)
{
    target_table it;
    it.put(at("a", "10.0.0.1:80", 4));
    auto draining = at("b", "10.0.0.1:80", 9);
    draining.is_draining = true;
    it.put(draining);
    cr_assert(usable(it).empty());
}

namespace
{

/// How long a target is used whose entry is removed this long after the store became reachable
/// again.
milliseconds served_after_removal(milliseconds after_return)
{
    target_table it;
    it.put(at("a", "10.0.0.1:80", 4));
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
