#include "ledger/record.hpp"

#include "common/text.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace kumquatgap::ledger
{

using nlohmann::json;

namespace
{

constexpr std::string_view ledger_prefix = "/kqg_ledger/";

struct state_name
{
    record_state state;
    std::string_view name;
};

constexpr auto s_state_names = std::to_array<state_name>({
    {record_state::started, "started"},
    {record_state::done, "done"},
    {record_state::lost, "lost"},
    {record_state::withdrawn, "withdrawn"},
});

} // namespace

bool is_valid_key(std::string_view key)
{
    return !key.empty() && key.size() <= max_key_length &&
           std::ranges::all_of(key, [](char c) { return c > ' ' && c < '\x7f' && c != '/'; });
}

std::string store_key(std::string_view member, std::string_view key)
{
    return common::concat(ledger_prefix, member, "/", key);
}

std::string serialize(const record& r)
{
    json out = {{"state", std::ranges::find(s_state_names, r.state, &state_name::state)->name},
                {"owner", r.owner},
                {"fingerprint", r.fingerprint}};
    if (r.answer)
        out["answer"] = {{"status", r.answer->status},
                         {"content_type", r.answer->content_type},
                         {"has_body", r.answer->has_body},
                         {"body", common::base64_encode(r.answer->body)}};
    return out.dump();
}

std::optional<record> deserialize(std::string_view value)
{
    const auto in = json::parse(value, nullptr, false);
    if (!in.is_object())
        return std::nullopt;
    try
    {
        const auto name = in.at("state").get<std::string>();
        const auto it = std::ranges::find(s_state_names, name, &state_name::name);
        if (it == s_state_names.end())
            return std::nullopt;
        record out{it->state, in.at("owner"), in.at("fingerprint"), std::nullopt};
        if (!in.contains("answer"))
            return out;
        const auto& answer = in["answer"];
        out.answer = stored_response{answer.at("status"), answer.at("content_type"), "",
                                     answer.at("has_body")};
        const auto body = answer.at("body").get<std::string>();
        if (!common::base64_decode(body, out.answer->body))
            return std::nullopt;
        return out;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace kumquatgap::ledger
