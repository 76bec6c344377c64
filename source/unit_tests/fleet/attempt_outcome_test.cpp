#include "fleet/attempt_outcome.hpp"

#include <criterion/criterion.h>

#include <array>

using namespace kumquatgap::fleet;
using kumquatgap::common::result_code;

namespace
{

constexpr auto unrun = std::to_array(
    {attempt_outcome::not_sent, attempt_outcome::refused_unrun, attempt_outcome::other_target});

attempt_record after(call_kind kind, int max_attempts, attempt_outcome outcome)
{
    attempt_record out{kind, max_attempts};
    out.begin();
    out.end(outcome);
    return out;
}

} // namespace

Test(attempt_outcome, a_call_that_may_have_run_is_never_called_unrun)
{
    for (const auto kind :
         {call_kind::idempotent, call_kind::once, call_kind::stream, call_kind::resumable_stream})
    {
        auto it = after(kind, 3, attempt_outcome::unknown);
        it.begin();
        it.end(attempt_outcome::refused_unrun);
        cr_assert_eq(it.final_code(result_code::no_target, result_code::outcome_unknown),
                     result_code::outcome_unknown);
    }
}

Test(attempt_outcome, what_must_run_once_is_sent_again_only_when_it_did_not_run)
{
    for (const auto kind : {call_kind::once, call_kind::stream})
    {
        cr_assert_not(after(kind, 3, attempt_outcome::unknown).may_send_again());
        cr_assert_not(after(kind, 3, attempt_outcome::answered).may_send_again());
        for (const auto outcome : unrun)
            cr_assert(after(kind, 1, outcome).may_send_again());
    }
}

Test(attempt_outcome, what_may_repeat_runs_at_most_as_often_as_its_route_says)
{
    auto it = after(call_kind::idempotent, 2, attempt_outcome::answered);
    cr_assert(it.may_send_again());
    it.begin();
    it.end(attempt_outcome::unknown);
    cr_assert_not(it.may_send_again());
}

Test(attempt_outcome, refusals_do_not_go_on_for_ever)
{
    attempt_record it{call_kind::once, 1};
    int sent = 0;
    for (; it.may_send_again(); ++sent)
    {
        it.begin();
        it.end(attempt_outcome::refused_unrun);
        cr_assert_lt(sent, 20);
    }
    cr_assert_gt(sent, 1);
}

Test(attempt_outcome, a_call_goes_on_only_where_it_may_end_otherwise)
{
    target a;
    a.id = "a";
    target b;
    b.id = "b";
    const std::vector<const target*> both{&a, &b};
    using enum attempt_outcome;
    for (const auto last : {not_sent, refused_unrun, other_target, unknown, answered})
        cr_assert(next_after(last, both, {"a"}) == next_target::untried);
    for (const auto last : {refused_unrun, other_target, answered})
        cr_assert(next_after(last, both, {"a", "b"}) == next_target::none);
    for (const auto last : {not_sent, unknown})
        cr_assert(next_after(last, both, {"a", "b"}) == next_target::any);
    cr_assert(next_after(answered, {}, {"a"}) == next_target::none, "an answer is not held back");
    cr_assert(next_after(not_sent, {}, {"a"}) == next_target::untried);
}
