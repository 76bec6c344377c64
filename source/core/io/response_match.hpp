#pragma once

#include <string_view>

namespace kumquatgap::io
{

/// True when a response with `response_id` may be the one to the request with `request_id`. Peers
/// that do not echo ids, and responses that lost theirs, have an empty one.
constexpr bool may_answer(std::string_view response_id, std::string_view request_id)
{
    return response_id.empty() || response_id == request_id;
}

} // namespace kumquatgap::io
