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

directive prepare_version(map_version version)
{
    auto out = hold_at(0);
    out.phase = switch_phase::prepare;
    out.version = version;
    out.map = std::make_shared<const expert_map>(expert_map{{{{0}, {1}}}});
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

/// Load pattern: one of many prepare orders gets no answer, although the rank executes it. The
/// switch waits for all ranks, so it must not wait until the lost order can no longer arrive.
Test(rank_driver, settles_an_unanswered_prepare_once_the_rank_has_copied)
{
    rank_driver it{instance_id, start - rank_driver::max_order_delay * 2, true};
    it.handle(prepare_version(12));
    it.handle(at_pass(10));
    const auto prepare = it.next_order(start);
    cr_assert(prepare && prepare->kind == order_kind::prepare);
    it.order_ended(order_outcome::unknown, start);
    auto copied = at_pass(11);
    copied.prepared = 12;
    it.handle(copied);
    cr_assert(!it.status(start).is_settled);
    const auto fence = it.next_order(start);
    cr_assert(fence && fence->kind == order_kind::disarm);
    cr_assert_gt(fence->fence, prepare->fence);
    cr_assert_gt(fence->version, 12, "the fence order must not disarm a real version");
    it.order_ended(order_outcome::accepted, start);
    it.handle(copied);
    cr_assert(it.status(start).is_settled);
    cr_assert(!it.next_order(start));
}

/// The repeated order is accepted while the rank copies, which settles it without a fence.
Test(rank_driver, settles_an_unanswered_prepare_that_is_accepted_later)
{
    rank_driver it{instance_id, start - rank_driver::max_order_delay * 2, true};
    it.handle(prepare_version(12));
    it.handle(at_pass(10));
    cr_assert(it.next_order(start));
    it.order_ended(order_outcome::unknown, start);
    it.handle(at_pass(10));
    const auto repeated = it.next_order(start);
    cr_assert(repeated && repeated->kind == order_kind::prepare);
    it.order_ended(order_outcome::accepted, start);
    it.handle(at_pass(10));
    cr_assert(it.status(start).is_settled);
    cr_assert(!it.next_order(start), "no order is repeated while the rank copies");
}

/// The agent was restarted after the rank had copied the experts. It does not know whether its
/// predecessor's orders were answered.
Test(rank_driver, settles_a_rank_that_has_prepared_under_an_earlier_agent)
{
    rank_driver it{instance_id, start, true};
    it.handle(prepare_version(9));
    it.handle(at_pass(10));
    cr_assert(!it.status(start).is_settled);
    const auto fence = it.next_order(start);
    cr_assert(fence && fence->kind == order_kind::disarm);
    it.order_ended(order_outcome::accepted, start);
    it.handle(at_pass(10));
    cr_assert(it.status(start).is_settled);
}
