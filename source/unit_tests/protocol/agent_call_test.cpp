#include "protocol/agent_call.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

#include <variant>

using namespace kumquatgap;
using namespace kumquatgap::protocol;

/// Guards against a status that the protocol does not have and that a caller gets as an answer.
Test(agent_call, head_with_impossible_status_is_malformed)
{
    const auto head = [](int status)
    {
        return from_text(common::concat("event: head\ndata: {\"status\":", status,
                                        ",\"content_type\":\"text/plain\"}"));
    };
    for (const int status : {-1, 0, 20, 99, 100, 101, 199, 600, 999, 2000})
        cr_assert_not(head(status), "%d", status);
    for (const int status : {200, 204, 404, 599})
    {
        const auto it = head(status);
        cr_assert(it.has_value());
        cr_assert_eq(std::get<response_head>(*it).status, status);
    }
}
