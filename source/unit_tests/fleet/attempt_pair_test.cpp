#include "fleet/attempt_pair.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::fleet;

/// Guards against a stream that was taken from a target that would have gone on, and cut because
/// the target that was asked in its place refused it.
Test(attempt_pair, refusal_leaves_the_call_with_the_other_target)
{
    for (const bool caller_has_head : {false, true})
    {
        for (const auto it : {attempt_report::failure, attempt_report::error_response})
            cr_assert_eq(decide_between_attempts(it, caller_has_head), pair_decision::drop);
    }
    cr_assert_eq(decide_between_attempts(attempt_report::response, true), pair_decision::drop);
}

Test(attempt_pair, first_answer_that_the_caller_can_get_settles)
{
    for (const bool caller_has_head : {false, true})
    {
        for (const auto it : {attempt_report::event, attempt_report::stream_end})
            cr_assert_eq(decide_between_attempts(it, caller_has_head), pair_decision::settle);
    }
    cr_assert_eq(decide_between_attempts(attempt_report::head, false), pair_decision::settle);
    cr_assert_eq(decide_between_attempts(attempt_report::response, false), pair_decision::settle);
}

/// The head of a second stream does not show that the target has begun with it.
Test(attempt_pair, head_or_comment_in_a_started_stream_settles_nothing)
{
    cr_assert_eq(decide_between_attempts(attempt_report::head, true), pair_decision::keep_both);
    for (const bool caller_has_head : {false, true})
        cr_assert_eq(decide_between_attempts(attempt_report::blank_event, caller_has_head),
                     pair_decision::keep_both);
}
