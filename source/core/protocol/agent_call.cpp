#include "protocol/agent_call.hpp"

#include "common/text.hpp"

#include "io/sse.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace kumquatgap::protocol
{

using nlohmann::json;

namespace
{

/// Maps a header to a text field of a call.
struct text_field
{
    const char* header;
    std::string agent_call::*field;
    bool required;
};

constexpr auto s_text_fields = std::to_array<text_field>({
    {"x-kqg-call", &agent_call::call_id, true},
    {"x-kqg-attempt", &agent_call::attempt, true},
    {"x-kqg-team", &agent_call::team, true},
    {"x-kqg-member", &agent_call::member, true},
    {"x-kqg-service", &agent_call::service, true},
    {"x-kqg-target", &agent_call::target, true},
    {"x-kqg-method", &agent_call::method, true},
    {"x-kqg-path", &agent_call::path, true},
    {"x-kqg-query", &agent_call::query, false},
    {"idempotency-key", &agent_call::idempotency_key, false},
    {"traceparent", &agent_call::traceparent, false},
    {"content-type", &agent_call::content_type, false},
});

constexpr auto s_streams_header = "x-kqg-streams";
constexpr auto s_level_header = "x-kqg-level";
constexpr auto s_predicted_header = "x-kqg-predicted-ms";
constexpr auto s_time_left_header = "x-kqg-time-left-ms";

json to_json(const policy::load_report& load)
{
    return {
        {"in_service", load.in_service}, {"waiting", load.waiting}, {"draining", load.draining}};
}

policy::load_report read_load(const json& in)
{
    return {in.at("in_service"), in.at("waiting"), in.at("draining")};
}

/// Formats each kind of event as a server-sent event.
struct event_writer
{
    std::string operator()(const response_heartbeat&) const { return ":\n\n"; }
    std::string operator()(const response_head& e) const
    {
        const json data = {{"status", e.status}, {"content_type", e.content_type}};
        return common::concat("event: head\ndata: ", data.dump(), "\n\n");
    }
    std::string operator()(const response_token& e) const
    {
        return common::concat("id: ", e.number, "\ndata: ", e.data, "\n\n");
    }
    std::string operator()(const response_body& e) const
    {
        return common::concat("event: body\nid: ", e.number,
                              "\ndata: ", common::base64_encode(e.bytes), "\n\n");
    }
    std::string operator()(const response_end& e) const
    {
        const json data = {{"attempt", e.attempt}, {"parts", e.parts}, {"load", to_json(e.load)}};
        return common::concat("event: end\ndata: ", data.dump(), "\n\n");
    }
    std::string operator()(const response_failure& e) const
    {
        json data = {{"code", common::number(e.why.code)},
                     {"detail", e.why.detail},
                     {"load", to_json(e.load)}};
        if (e.why.retry_after)
            data["retry_after_ms"] = e.why.retry_after->count();
        return common::concat("event: failed\ndata: ",
                              data.dump(-1, ' ', false, json::error_handler_t::replace), "\n\n");
    }
};

std::optional<response_event> read_failure(const json& data)
{
    const auto* code = common::find_code(data.at("code").get<std::uint16_t>());
    if (code == nullptr)
        return std::nullopt;
    response_failure out{{code->code, data.at("detail")}, read_load(data.at("load"))};
    if (data.contains("retry_after_ms"))
        out.why.retry_after = common::milliseconds{data["retry_after_ms"].get<std::int64_t>()};
    return out;
}

std::optional<response_event> read_head(const json& data)
{
    const auto status = data.at("status").get<int>();
    if (!io::is_final_status(status))
        return std::nullopt;
    return response_head{status, data.at("content_type")};
}

/// Reads an event whose data is JSON.
std::optional<response_event> read_json_event(const io::sse_event& event)
{
    const auto data = json::parse(event.data, nullptr, false);
    try
    {
        if (event.event == "head")
            return read_head(data);
        if (event.event == "end")
            return response_end{data.at("attempt"), data.at("parts"), read_load(data.at("load"))};
        if (event.event == "failed")
            return read_failure(data);
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
    return std::nullopt;
}

bool read_non_negative(std::string_view text, std::int64_t& n)
{
    return common::parse_number(text, n) && n >= 0;
}

} // namespace

io::http_request to_request(const agent_call& call, std::string_view token)
{
    io::http_request out{"POST", std::string{call_path}, {}, {}, call.body};
    out.headers.add("authorization", common::concat("Bearer ", token));
    for (const auto& it : s_text_fields)
    {
        if (!(call.*it.field).empty())
            out.headers.add(it.header, call.*it.field);
    }
    if (call.streams)
        out.headers.add(s_streams_header, "true");
    out.headers.add(s_level_header, std::to_string(call.level));
    out.headers.add(s_predicted_header, std::to_string(call.predicted.count()));
    out.headers.add(s_time_left_header, std::to_string(call.time_left.count()));
    return out;
}

std::optional<agent_call> from_request(const io::http_request& request)
{
    agent_call out;
    for (const auto& it : s_text_fields)
    {
        out.*it.field = request.headers.find(it.header);
        if (it.required && (out.*it.field).empty())
            return std::nullopt;
    }
    std::int64_t predicted = 0;
    std::int64_t time_left = 0;
    if (!read_non_negative(request.headers.find(s_level_header), out.level) ||
        !read_non_negative(request.headers.find(s_predicted_header), predicted) ||
        !read_non_negative(request.headers.find(s_time_left_header), time_left))
        return std::nullopt;
    out.streams = request.headers.find(s_streams_header) == "true";
    out.predicted = common::milliseconds{predicted};
    out.time_left = common::milliseconds{time_left};
    out.body = request.body;
    return out;
}

std::string to_text(const response_event& event)
{
    return std::visit(event_writer{}, event);
}

std::optional<response_event> from_text(std::string_view text)
{
    if (text.starts_with(':'))
        return response_heartbeat{};
    const auto event = io::parse_event(text);
    std::int64_t n = 0;
    if (event.event.empty())
    {
        if (!read_non_negative(event.id, n))
            return std::nullopt;
        return response_token{n, event.data};
    }
    if (event.event != "body")
        return read_json_event(event);
    response_body out;
    if (!read_non_negative(event.id, out.number) || !common::base64_decode(event.data, out.bytes))
        return std::nullopt;
    return out;
}

} // namespace kumquatgap::protocol
