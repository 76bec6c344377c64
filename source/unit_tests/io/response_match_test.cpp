#include "io/response_match.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap;

Test(response_match, response_with_the_id_of_another_request_is_no_answer)
{
    cr_assert(io::may_answer("7-1", "7-1"));
    cr_assert_not(io::may_answer("7-1", "7-2"));
    cr_assert_not(io::may_answer("7-10", "7-1"));
}

/// Not every peer echoes ids, and a response can lose its own.
Test(response_match, response_without_an_id_may_be_the_answer)
{
    cr_assert(io::may_answer("", "7-1"));
}
