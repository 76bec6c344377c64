#include "fleet/evacuations.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::fleet;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
constexpr milliseconds one{1};

using names = std::vector<std::string>;

} // namespace

/// Each change of the store writes all keys again in a new era; none may count as a new evacuation.
Test(evacuations, rewritten_key_begins_no_second_evacuation)
{
    evacuations it;
    cr_assert(it.empty());
    cr_assert(it.begin("a", start));
    cr_assert_not(it.begin("a", start + one));
    cr_assert(it.covers("a"));
    cr_assert_not(it.covers("b"));
    cr_assert_eq(it.size(), 1);
}

/// The removal of a key waited for the grace of a restored store.
Test(evacuations, removal_ends_at_once)
{
    evacuations it;
    it.begin("a", start);
    it.begin("b", start);
    cr_assert(it.end("a"));
    cr_assert_not(it.end("a"));
    cr_assert_not(it.covers("a"));
    cr_assert(it.covers("b"));
}

/// A key that a restored store lacks ended its evacuation at once.
Test(evacuations, lost_key_stays_in_force_for_grace)
{
    evacuations it;
    it.begin("a", start);
    it.lose("a", start);
    cr_assert(it.take_expired(start + evacuations::rewrite_grace - one).empty());
    cr_assert(it.covers("a"));
    cr_assert(it.take_expired(start + evacuations::rewrite_grace) == names{"a"});
    cr_assert(it.empty());
}

/// A second restore within the grace must not extend it without end.
Test(evacuations, second_loss_does_not_extend_grace)
{
    evacuations it;
    it.begin("a", start);
    it.lose("a", start);
    it.lose("a", start + milliseconds{4000});
    cr_assert(it.next_end() == start + evacuations::rewrite_grace);
}

/// The grace ended an evacuation whose key the operator had written again.
Test(evacuations, rewritten_key_ends_grace)
{
    evacuations it;
    it.begin("a", start);
    it.lose("a", start);
    cr_assert_not(it.begin("a", start + milliseconds{100}));
    cr_assert(it.take_expired(start + evacuations::rewrite_grace).empty());
    cr_assert(it.covers("a"));
    cr_assert_not(it.next_end().has_value());
}

/// An evacuation whose key was lost ended later than that of one lost before.
Test(evacuations, each_lost_key_has_its_own_end)
{
    evacuations it;
    it.begin("a", start);
    it.begin("b", start);
    it.begin("c", start);
    it.lose("a", start);
    it.lose("b", start + milliseconds{2000});
    cr_assert(it.next_end() == start + evacuations::rewrite_grace);
    cr_assert(it.take_expired(start + evacuations::rewrite_grace) == names{"a"});
    cr_assert(it.next_end() == start + milliseconds{2000} + evacuations::rewrite_grace);
    cr_assert(it.covers("c"));
}

/// The loss of a key that was never known must not begin an evacuation.
Test(evacuations, loss_of_unknown_key_is_ignored)
{
    evacuations it;
    it.lose("a", start);
    cr_assert(it.empty());
    cr_assert_not(it.next_end().has_value());
}

/// Requests sent after an evacuation was known were not visible.
Test(evacuations, last_send_is_measured_from_learning)
{
    evacuations it;
    it.begin("a", start);
    it.begin("b", start);
    it.record_send("b", start + milliseconds{30});
    it.record_send("c", start + milliseconds{30});
    const auto sends = it.last_sends();
    cr_assert_eq(sends.size(), 2);
    cr_assert_eq(sends.at("a").count(), 0);
    cr_assert_eq(sends.at("b").count(), 30);
}
