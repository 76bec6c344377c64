#include "fleet/attempt_outcome.hpp"

#include <criterion/criterion.h>

#include <array>

using namespace kumquatgap::fleet;
using kumquatgap::common::result_code;

namespace
{

constexpr auto unrun = std::to_array(
    {attempt_outcome::not_sent, attempt_outcome::refused_unrun, attempt_outcome::other_target});

attempt_history after(call_kind kind, int max_attempts, attempt_outcome outcome)
{
    attempt_history out{kind, max_attempts};
    out.begin();
    out.end(outcome);
    return out;
}

} // namespace

Test(attempt_outcome, possibly_executed_call_never_reported_as_not_executed)
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

Test(attempt_outcome, at_most_once_call_retried_only_if_not_executed)
{
    for (const auto kind : {call_kind::once, call_kind::stream})
    {
        cr_assert_not(after(kind, 3, attempt_outcome::unknown).may_retry());
        cr_assert_not(after(kind, 3, attempt_outcome::answered).may_retry());
        for (const auto outcome : unrun)
            cr_assert(after(kind, 1, outcome).may_retry());
    }
}

Test(attempt_outcome, idempotent_call_executed_at_most_max_attempts_times)
{
    auto it = after(call_kind::idempotent, 2, attempt_outcome::answered);
    cr_assert(it.may_retry());
    it.begin();
    it.end(attempt_outcome::unknown);
    cr_assert_not(it.may_retry());
}

Test(attempt_outcome, retries_after_refusals_are_bounded)
{
    attempt_history it{call_kind::once, 1};
    int sent = 0;
    for (; it.may_retry(); ++sent)
    {
        it.begin();
        it.end(attempt_outcome::refused_unrun);
        cr_assert_lt(sent, 20);
    }
    cr_assert_gt(sent, 1);
}

Test(attempt_outcome, next_target_depends_on_last_outcome)
{
    target a;
    a.id = "a";
    target b;
    b.id = "b";
    const std::vector<const target*> both{&a, &b};
    using enum attempt_outcome;
    for (const auto last : {not_sent, refused_unrun, other_target, unknown, answered})
        cr_assert(next_target_after(last, both, {"a"}) == next_target::untried);
    for (const auto last : {refused_unrun, other_target, answered})
        cr_assert(next_target_after(last, both, {"a", "b"}) == next_target::none);
    for (const auto last : {not_sent, unknown})
        cr_assert(next_target_after(last, both, {"a", "b"}) == next_target::any);
    cr_assert(next_target_after(answered, {}, {"a"}) == next_target::none,
              "a response is delivered without another attempt");
    cr_assert(next_target_after(not_sent, {}, {"a"}) == next_target::untried);
}
