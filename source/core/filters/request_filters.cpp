#include "filters/request_filters.hpp"

#include "common/hash.hpp"
#include "ledger/record.hpp"

#include <algorithm>
#include <array>

namespace kumquatgap::filters
{

using common::failure;
using common::result_code;
using nlohmann::json;
using refusal = std::optional<failure>;

namespace
{

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view bearer = "Bearer ";
constexpr std::int64_t default_max_tokens = 256;
constexpr std::int64_t max_token_limit = 1'000'000;
/// An engine reads this many bytes of prompt in the time of one completion token.
constexpr std::int64_t prompt_bytes_per_token_time = 64;
constexpr common::milliseconds plain_call_time{50};
/// Memory of a parsed JSON value beside its text: an empty list in a list takes 16 bytes there and
/// an allocation of 32, and lists grow by doubling.
constexpr std::size_t parsed_value_bytes = 48;

constexpr auto s_safe_methods = std::to_array<std::string_view>({"GET", "HEAD"});
constexpr auto s_plain_methods =
    std::to_array<std::string_view>({"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"});

/// Reads the call's limit on completion tokens; none when the field is malformed.
std::optional<std::int64_t> read_token_limit(const json& body)
{
    for (const char* field : {"max_completion_tokens", "max_tokens"})
    {
        const auto it = body.find(field);
        if (it == body.end() || it->is_null())
            continue;
        if (!it->is_number_integer() || *it < 1 || *it > max_token_limit)
            return std::nullopt;
        return it->get<std::int64_t>();
    }
    return default_max_tokens;
}

/// Counts the parsed body towards the memory budget; false when it would exceed it.
bool claim_parse_memory(const io::received_request& it)
{
    if (!it.charge)
        return true;
    const auto& text = it.request.body;
    const auto values = std::ranges::count_if(
        text, [](char c) { return c == ',' || c == '[' || c == '{' || c == ':'; });
    return it.charge->try_set(it.charge->bytes() + text.size() +
                              static_cast<std::size_t>(values) * parsed_value_bytes);
}

refusal classify_model_call(request_context& c, const filter_environment& env)
{
    const auto& request = c.received.request;
    if (request.method != "POST")
        return failure{result_code::method_not_allowed, "POST only"};
    if (!claim_parse_memory(c.received))
        return failure{result_code::memory_full, "", io::retry_after_memory_full};
    c.body = json::parse(request.body, nullptr, false);
    if (!c.body.is_object())
        return failure{result_code::bad_json, ""};
    const auto model = c.body.find("model");
    if (model == c.body.end() || !model->is_string())
        return failure{result_code::bad_field, "model must be text"};
    const auto messages = c.body.find("messages");
    if (messages == c.body.end() || !messages->is_array() || messages->empty())
        return failure{result_code::bad_field, "messages must be a list that is not empty"};
    const auto stream = c.body.value("stream", json(false));
    if (!stream.is_boolean())
        return failure{result_code::bad_field, "stream must be true or false"};
    const auto tokens = read_token_limit(c.body);
    if (!tokens)
        return failure{result_code::bad_field, "max_tokens must be a whole number of at least 1"};
    c.service = env.resources.service_of_model(*model);
    if (c.service == nullptr)
        return failure{result_code::unknown_model, ""};
    c.streams = stream;
    const auto prompt_token_times =
        static_cast<std::int64_t>(request.body.size()) / prompt_bytes_per_token_time;
    c.predicted = env.per_token * (*tokens + prompt_token_times);
    return std::nullopt;
}

refusal classify_plain_call(request_context& c, const filter_environment& env)
{
    const auto& request = c.received.request;
    c.service = env.resources.service_of_path(request.path);
    if (c.service == nullptr)
        return failure{result_code::unknown_route, ""};
    if (std::ranges::find(s_plain_methods, request.method) == s_plain_methods.end())
        return failure{result_code::method_not_allowed, ""};
    c.predicted = plain_call_time;
    return std::nullopt;
}

} // namespace

refusal check_router_state::operator()(request_context& /*c*/, const filter_environment& env) const
{
    if (env.is_draining)
        return failure{result_code::router_draining, ""};
    if (!env.is_ready)
        return failure{result_code::not_ready, ""};
    if (env.is_full)
        return failure{result_code::router_full, ""};
    return std::nullopt;
}

refusal check_limits::operator()(request_context& c, const filter_environment& /*env*/) const
{
    if (c.received.headers_too_large)
        return failure{result_code::headers_too_large, ""};
    if (c.received.body_too_large)
        return failure{result_code::body_too_large, ""};
    return std::nullopt;
}

refusal identify_team::operator()(request_context& c, const filter_environment& env) const
{
    auto header = c.received.request.headers.find("authorization");
    if (!header.starts_with(bearer))
        return failure{result_code::unknown_team, "send Authorization: Bearer <token>"};
    header.remove_prefix(bearer.size());
    c.team = env.resources.find_team(common::sha256_hex(header));
    if (c.team == nullptr)
        return failure{result_code::unknown_team, ""};
    return std::nullopt;
}

refusal classify_call::operator()(request_context& c, const filter_environment& env) const
{
    const bool is_model_call = c.received.request.path == chat_path;
    auto refused = is_model_call ? classify_model_call(c, env) : classify_plain_call(c, env);
    if (!refused)
        c.level = env.resources.priority_level(c.team->name, c.service->name, env.minute_of_day);
    return refused;
}

refusal set_retry_rule::operator()(request_context& c, const filter_environment& /*env*/) const
{
    const auto& request = c.received.request;
    const auto key = request.headers.find("idempotency-key");
    const bool is_safe = c.service->is_model() ||
                         std::ranges::find(s_safe_methods, request.method) != s_safe_methods.end();
    const bool once_only = c.service->is_once_only(request.method, request.path);
    if (once_only && key.empty())
        return failure{result_code::key_required, ""};
    if (!key.empty() && !ledger::is_valid_key(key))
        return failure{result_code::bad_key, ""};
    if (is_safe && !once_only)
    {
        c.rule = policy::retry_rule::idempotent;
        return std::nullopt;
    }
    if (key.empty())
        return std::nullopt;
    c.rule = policy::retry_rule::keyed;
    c.idempotency_key = key;
    return std::nullopt;
}

const std::vector<filter>& default_chain()
{
    static const std::vector<filter> s_chain = {check_router_state{}, check_limits{},
                                                identify_team{}, classify_call{}, set_retry_rule{}};
    return s_chain;
}

refusal run_chain(const std::vector<filter>& chain, request_context& c,
                  const filter_environment& env)
{
    for (const auto& it : chain)
    {
        auto refused = std::visit([&](const auto& f) { return f(c, env); }, it);
        if (refused)
            return refused;
    }
    return std::nullopt;
}

} // namespace kumquatgap::filters
