#include "protocol/engine_stream.hpp"

#include "common/text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquatgap::protocol
{

using common::failure;
using common::result_code;
using nlohmann::json;

namespace
{

constexpr std::string_view done_marker = "[DONE]";

bool has_finish_reason(const json& body)
{
    const auto it = body.find("choices");
    return it != body.end() && it->is_array() && !it->empty() &&
           std::ranges::all_of(*it,
                               [](const json& choice)
                               {
                                   const auto reason = choice.find("finish_reason");
                                   return reason != choice.end() && reason->is_string();
                               });
}

std::string read_id(const json& body)
{
    const auto it = body.find("id");
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

} // namespace

std::string completion_id(std::string_view request_id)
{
    return common::concat("chatcmpl-", request_id);
}

common::result<engine_stream::step> engine_stream::take(std::string_view data)
{
    if (data == done_marker)
    {
        if (!m_finished)
            return failure{result_code::stream_cut, "the engine closed without a reason to finish"};
        return step::done;
    }
    const auto body = json::parse(data, nullptr, false);
    if (!body.is_object())
        return failure{result_code::bad_target_answer, "a chunk is not a JSON object"};
    if (body.contains("error"))
        return failure{result_code::bad_target_answer, "the engine reported an error"};
    const auto id = read_id(body);
    if (m_id.empty())
        m_id = id;
    if (id.empty() || id != m_id || (!m_expected_id.empty() && id != m_expected_id))
        return failure{result_code::wrong_answer, "a chunk of another request"};
    m_finished = m_finished || has_finish_reason(body);
    return step::chunk;
}

std::optional<failure> check_completion(std::string_view body, std::string_view expected_id)
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object())
        return failure{result_code::bad_target_answer, "the answer is not a JSON object"};
    const auto id = read_id(value);
    if (id.empty() || (!expected_id.empty() && id != expected_id))
        return failure{result_code::wrong_answer, "the answer of another request"};
    if (!has_finish_reason(value))
        return failure{result_code::stream_cut, "the answer has no reason to finish"};
    return std::nullopt;
}

} // namespace kumquatgap::protocol
