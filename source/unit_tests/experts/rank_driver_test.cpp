#include "experts/rank_driver.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::experts;

namespace
{

constexpr std::uint64_t agent = 7;
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
    out.agent = agent;
    return out;
}

} // namespace

/// Load pattern: orders get no answer and are carried out seconds later. Until something fences the
/// late hold off, the controller can neither count on it nor place the switch anew.
Test(rank_driver, a_lost_hold_is_fenced_off_once_its_pass_has_begun)
{
    rank_driver it{agent, start - rank_driver::late_orders * 2, true};
    it.take(at_pass(10));
    it.take(hold_at(11));
    it.take(at_pass(10));
    const auto hold = it.next_order(start);
    cr_assert(hold && hold->kind == order_kind::hold);
    it.order_ended(order_end::unknown, start);
    it.take(at_pass(11));
    cr_assert(!it.status(start).is_settled);
    const auto fence = it.next_order(start);
    cr_assert(fence && fence->kind == order_kind::disarm);
    cr_assert_gt(fence->fence, hold->fence);
    cr_assert_gt(fence->version, 9, "it must take back nothing");
    it.order_ended(order_end::accepted, start);
    it.take(at_pass(11));
    cr_assert(it.status(start).is_settled);
    cr_assert(!it.next_order(start));
}

/// The order was carried out and its answer was lost: the group stands until that is settled.
Test(rank_driver, a_hold_that_is_seen_in_force_is_settled_at_once)
{
    rank_driver it{agent, start - rank_driver::late_orders * 2, true};
    it.take(at_pass(10));
    it.take(hold_at(11));
    it.take(at_pass(10));
    cr_assert(it.next_order(start));
    it.order_ended(order_end::unknown, start);
    auto held = at_pass(10);
    held.held = 11;
    it.take(held);
    const auto fence = it.next_order(start);
    cr_assert(fence && fence->kind == order_kind::disarm);
    it.order_ended(order_end::accepted, start);
    it.take(held);
    cr_assert(it.status(start).is_settled);
    cr_assert(it.status(start).report.held == 11);
}

Test(rank_driver, a_release_without_an_answer_is_settled_at_once)
{
    rank_driver it{agent, start - rank_driver::late_orders * 2, true};
    auto release = hold_at(11);
    release.phase = switch_phase::release;
    auto held = at_pass(10);
    held.held = 11;
    it.take(held);
    it.take(release);
    it.take(held);
    const auto order = it.next_order(start);
    cr_assert(order && order->kind == order_kind::release);
    it.order_ended(order_end::unknown, start);
    it.take(at_pass(11));
    const auto fence = it.next_order(start);
    cr_assert(fence && fence->kind == order_kind::disarm);
    it.order_ended(order_end::accepted, start);
    it.take(at_pass(11));
    cr_assert(it.status(start).is_settled);
}

Test(rank_driver, a_hold_that_came_too_late_in_order_needs_no_fence)
{
    rank_driver it{agent, start - rank_driver::late_orders * 2, true};
    it.take(at_pass(10));
    it.take(hold_at(11));
    it.take(at_pass(11));
    cr_assert(!it.next_order(start));
    cr_assert(it.status(start).is_settled);
}
