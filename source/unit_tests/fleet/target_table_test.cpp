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
    it.remove("b", start, false);
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
