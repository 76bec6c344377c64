#include "membership/message.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace kumquatgap::membership
{

using nlohmann::json;

namespace
{

json to_json(const digest& m)
{
    json watchers = json::array();
    for (const auto& it : m.watchers)
        watchers.push_back({it.name, it.age.count()});
    json out{{"type", "digest"},
             {"name", m.name},
             {"address", m.address},
             {"as_of", m.as_of},
             {"last_change", m.last_change},
             {"watchers", std::move(watchers)},
             {"era", m.in_era}};
    if (m.asked_at != 0)
        out["asked_at"] = m.asked_at;
    if (m.answer_to != 0)
    {
        out["answer_to"] = m.answer_to;
        out["unconfirmed_ms"] = m.unconfirmed_time.count();
    }
    return out;
}

json to_json(const delta_message& m)
{
    json changes = json::array();
    for (const auto& it : m.changes.changes)
        changes.push_back({it.key, it.value ? json(*it.value) : json(), it.mod_revision});
    return {{"type", "delta"},
            {"from", m.changes.from},
            {"to", m.changes.to},
            {"changes", std::move(changes)},
            {"era", m.changes.in_era}};
}

json to_json(const snapshot_message& m)
{
    json items = json::array();
    for (const auto& it : m.state.items)
        items.push_back({it.key, it.value, it.mod_revision});
    return {{"type", "snapshot"},
            {"as_of", m.state.as_of},
            {"items", std::move(items)},
            {"era", m.state.in_era}};
}

digest read_digest(const json& in, kv::era default_era)
{
    digest out{in.at("name"), in.at("address"), in.at("as_of"), in.at("last_change"), {}};
    for (const auto& it : in.at("watchers"))
        out.watchers.push_back({it.at(0), common::milliseconds{it.at(1).get<std::int64_t>()}});
    out.in_era = in.value("era", default_era);
    out.asked_at = in.value("asked_at", std::int64_t{0});
    out.answer_to = in.value("answer_to", std::int64_t{0});
    if (out.answer_to != 0)
        out.unconfirmed_time = common::milliseconds{in.at("unconfirmed_ms").get<std::int64_t>()};
    return out;
}

delta_message read_delta(const json& in, kv::era default_era)
{
    delta_message out{{in.at("from"), in.at("to"), {}, in.value("era", default_era)}};
    for (const auto& it : in.at("changes"))
    {
        const auto& value = it.at(1);
        out.changes.changes.push_back(
            {it.at(0), value.is_null() ? std::nullopt : std::optional{value.get<std::string>()},
             it.at(2)});
    }
    return out;
}

snapshot_message read_snapshot(const json& in, kv::era default_era)
{
    snapshot_message out{{in.at("as_of"), {}, in.value("era", default_era)}};
    for (const auto& it : in.at("items"))
        out.state.items.push_back({it.at(0), it.at(1), it.at(2)});
    return out;
}

} // namespace

std::string_view name_of(const message& m)
{
    constexpr auto names = std::to_array<std::string_view>({"digest", "delta", "snapshot"});
    static_assert(std::variant_size_v<message> == names.size());
    return names[m.index()];
}

kv::revision revision_of(const message& m)
{
    if (const auto* d = std::get_if<delta_message>(&m))
        return d->changes.to;
    if (const auto* s = std::get_if<snapshot_message>(&m))
        return s->state.as_of;
    return std::get<digest>(m).as_of;
}

std::string to_bytes(const message& m, std::string_view token)
{
    auto body = std::visit([](const auto& it) { return to_json(it); }, m);
    body["token"] = token;
    std::string out;
    json::to_cbor(body, out);
    return out;
}

std::optional<message> from_bytes(std::string_view bytes, std::string_view token,
                                  kv::era default_era)
{
    const auto body = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    try
    {
        if (body.at("token") != token)
            return std::nullopt;
        const auto type = body.at("type").get<std::string>();
        if (type == "digest")
            return read_digest(body, default_era);
        if (type == "delta")
            return read_delta(body, default_era);
        if (type == "snapshot")
            return read_snapshot(body, default_era);
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace kumquatgap::membership
