#include "experts/rank_driver.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::experts;

namespace
{

constexpr std::uint64_t instance_id = 7;
constexpr timestamp start{milliseconds{1'000'000}};

rank_report at_pass(pass_number pass)
{
    rank_report out;
    out.group = "g";
    out.epoch = 1;
    out.rank = 0;
    out.size = 2;
    out.is_open = true;
    out.pass = pass;
    out.prepared = 9;
    return out;
}

directive hold_at(pass_number pass)
{
    directive out;
    out.token = 5;
    out.number = 3;
    out.epoch = 1;
    out.phase = switch_phase::hold;
    out.version = 9;
    out.pass = pass;
    out.holder = 0;
    out.instance_id = instance_id;
    return out;
}

} // namespace

/// Load pattern: orders get no answer and are executed seconds later. Until a late hold is fenced
/// off, the controller can neither rely on it nor request another one.
Test(rank_driver, fences_off_an_unanswered_hold_once_its_pass_has_begun)
{
    rank_driver it{instance_id, start - rank_driver::max_order_delay * 2, true};
    it.handle(at_pass(10));
    it.handle(hold_at(11));
    it.handle(at_pass(10));
    const auto hold = it.next_order(start);
    cr_assert(hold && hold->kind == order_kind::hold);
    it.order_ended(order_outcome::unknown, start);
    it.handle(at_pass(11));
    cr_assert(!it.status(start).is_settled);
    const auto fence = it.next_order(start);
    cr_assert(fence && fence->kind == order_kind::disarm);
    cr_assert_gt(fence->fence, hold->fence);
    cr_assert_gt(fence->version, 9, "the fence order must not disarm a real version");
    it.order_ended(order_outcome::accepted, start);
    it.handle(at_pass(11));
    cr_assert(it.status(start).is_settled);
    cr_assert(!it.next_order(start));
}

/// The order was executed and its answer was lost. The group is stopped until the rank is settled.
Test(rank_driver, settles_an_unanswered_hold_once_it_is_reported)
{
    rank_driver it{instance_id, start - rank_driver::max_order_delay * 2, true};
    it.handle(at_pass(10));
    it.handle(hold_at(11));
    it.handle(at_pass(10));
    cr_assert(it.next_order(start));
    it.order_ended(order_outcome::unknown, start);
    auto held = at_pass(10);
    held.held = 11;
    it.handle(held);
    const auto fence = it.next_order(start);
    cr_assert(fence && fence->kind == order_kind::disarm);
    it.order_ended(order_outcome::accepted, start);
    it.handle(held);
    cr_assert(it.status(start).is_settled);
    cr_assert(it.status(start).report.held == 11);
}

Test(rank_driver, settles_an_unanswered_release_once_it_is_reported)
{
    rank_driver it{instance_id, start - rank_driver::max_order_delay * 2, true};
    auto release = hold_at(11);
    release.phase = switch_phase::release;
    auto held = at_pass(10);
    held.held = 11;
    it.handle(held);
    it.handle(release);
    it.handle(held);
    const auto order = it.next_order(start);
    cr_assert(order && order->kind == order_kind::release);
    it.order_ended(order_outcome::unknown, start);
    it.handle(at_pass(11));
    const auto fence = it.next_order(start);
    cr_assert(fence && fence->kind == order_kind::disarm);
    it.order_ended(order_outcome::accepted, start);
    it.handle(at_pass(11));
    cr_assert(it.status(start).is_settled);
}

Test(rank_driver, sends_no_fence_for_a_hold_that_was_never_sent)
{
    rank_driver it{instance_id, start - rank_driver::max_order_delay * 2, true};
    it.handle(at_pass(10));
    it.handle(hold_at(11));
    it.handle(at_pass(11));
    cr_assert(!it.next_order(start));
    cr_assert(it.status(start).is_settled);
}
