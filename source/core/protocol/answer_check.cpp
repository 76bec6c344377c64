#include "protocol/answer_check.hpp"

namespace kumquatgap::protocol
{

using common::failure;
using common::result_code;

std::optional<failure> answer_check::take(const response_event& event)
{
    if (std::holds_alternative<response_heartbeat>(event))
        return std::nullopt;
    if (m_ended)
        return failure{result_code::wrong_answer, "an event after the end"};
    if (std::holds_alternative<response_head>(event))
    {
        if (std::exchange(m_has_head, true))
            return failure{result_code::wrong_answer, "a second head"};
        return std::nullopt;
    }
    if (const auto* token = std::get_if<response_token>(&event))
        return check_part(token->number);
    if (const auto* body = std::get_if<response_body>(&event))
        return check_part(body->number);
    if (const auto* failed = std::get_if<response_failure>(&event))
        return failed->why;
    const auto& end = std::get<response_end>(event);
    if (end.attempt != m_attempt)
        return failure{result_code::wrong_answer, "the answer is of another attempt"};
    if (!m_has_head || end.parts != m_parts)
        return failure{result_code::stream_cut, "parts are missing before the end"};
    m_ended = true;
    return std::nullopt;
}

std::optional<failure> answer_check::check_part(std::int64_t number)
{
    if (!m_has_head || number != m_parts + 1)
        return failure{result_code::stream_cut, "a part is missing or out of order"};
    m_parts = number;
    return std::nullopt;
}

} // namespace kumquatgap::protocol
