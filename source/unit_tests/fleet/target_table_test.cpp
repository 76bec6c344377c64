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

Test(target_table, of_two_entries_of_an_address_the_later_one_holds)
{
    target_table it;
    it.put(at("b-new", "10.0.0.1:80", 9));
    it.put(at("a-old", "10.0.0.1:80", 4));
    it.put(at("other", "10.0.0.2:80", 1));
    cr_assert(usable(it) == (ids{"b-new", "other"}));
    cr_assert_null(it.find_usable("a-old", start));
}

Test(target_table, an_entry_written_again_holds_again)
{
    target_table it;
    it.put(at("a", "10.0.0.1:80", 4));
    it.put(at("b", "10.0.0.1:80", 9));
    it.put(at("a", "10.0.0.1:80", 12));
    cr_assert(usable(it) == ids{"a"});
}

Test(target_table, the_earlier_entry_holds_again_when_the_later_one_goes)
{
    target_table it;
    it.put(at("a", "10.0.0.1:80", 4));
    it.put(at("b", "10.0.0.1:80", 9));
    it.remove("b", start, std::nullopt);
    cr_assert(usable(it) == ids{"a"});
}

/// A strange entry must not take a good target's address away.
Test(target_table, an_entry_that_is_found_wrong_gives_the_address_back)
{
    target_table it;
    it.put(at("good", "10.0.0.1:80", 4));
    it.put(at("strange", "10.0.0.1:80", 9));
    it.found_wrong("strange");
    cr_assert(usable(it) == ids{"good"});
    it.put(at("strange", "10.0.0.1:80", 11));
    cr_assert(usable(it) == ids{"strange"}, "a new entry is a new claim");
}

Test(target_table, a_leaving_target_keeps_its_address)
{
    target_table it;
    it.put(at("a", "10.0.0.1:80", 4));
    auto leaving = at("b", "10.0.0.1:80", 9);
    leaving.is_leaving = true;
    it.put(leaving);
    cr_assert(usable(it).empty());
}

namespace
{

/// How long a target serves whose entry goes this long after the store's return.
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

/// An entry that lapsed while the store was away is back within two seconds of its return. One that
/// goes later has been taken out, and its target serves for two seconds more.
Test(target_table, a_lapsed_entry_is_waited_for_no_longer_than_it_takes_to_come_back)
{
    cr_assert_gt(served_after_removal(milliseconds{0}).count(), 1500);
    cr_assert_leq(served_after_removal(milliseconds{1140}).count(), 860);
    cr_assert_eq(served_after_removal(milliseconds{2100}).count(), 0);
}

Test(target_table, a_target_that_may_have_left_gets_no_calls_after_its_time_to_drain)
{
    constexpr milliseconds drain{2000};
    constexpr milliseconds way_of_a_call{250};
    for (int ms = 0; ms < 3000; ms += 100)
        cr_assert_leq(served_after_removal(milliseconds{ms}).count(),
                      (drain - way_of_a_call).count());
}
