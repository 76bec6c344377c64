#include "experts/agent_message.hpp"

#include "common/log.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace kumquatgap::experts
{

using nlohmann::json;

namespace
{

constexpr std::string_view status_kind = "status";
constexpr std::string_view choices_kind = "choices";
constexpr std::string_view directive_kind = "directive";

json to_json(const rank_report& r)
{
    json out = {{"group", r.group},     {"epoch", r.epoch},       {"rank", r.rank},
                {"size", r.size},       {"open", r.is_open},      {"pass", r.pass},
                {"version", r.version}, {"prepared", r.prepared}, {"born", r.born},
                {"pace", r.pace}};
    if (r.armed)
        out["armed"] = {r.armed->version, r.armed->pass};
    if (r.held)
        out["held"] = *r.held;
    return out;
}

rank_report report_from(const json& it)
{
    rank_report out;
    out.group = it.at("group");
    out.epoch = it.at("epoch");
    out.rank = it.at("rank");
    out.size = it.at("size");
    out.is_open = it.at("open");
    out.pass = it.at("pass");
    out.version = it.at("version");
    out.prepared = it.at("prepared");
    out.born = it.at("born");
    out.pace = it.at("pace");
    if (it.contains("armed"))
        out.armed = armed_switch{it.at("armed").at(0), it.at("armed").at(1)};
    if (it.contains("held"))
        out.held = it.at("held").get<pass_number>();
    return out;
}

struct to_json_body
{
    json operator()(const status_message& m) const
    {
        return {{"kind", status_kind},
                {"address", m.address},
                {"target", m.target},
                {"report", to_json(m.status.report)},
                {"agent", m.status.agent},
                {"directive_token", m.status.directive_token},
                {"directive_number", m.status.directive_number},
                {"settled", m.status.is_settled},
                {"fenced", m.status.was_fenced}};
    }

    json operator()(const choices_message& m) const
    {
        return {{"kind", choices_kind}, {"epoch", m.epoch},     {"rank", m.rank},
                {"version", m.version}, {"choices", m.choices}, {"held", m.held}};
    }

    json operator()(const directive_message& m) const
    {
        const auto& d = m.what;
        json out = {
            {"kind", directive_kind}, {"fence", d.token}, {"number", d.number},
            {"agent", d.agent},       {"epoch", d.epoch}, {"phase", static_cast<int>(d.phase)},
            {"version", d.version},   {"pass", d.pass},   {"holder", d.holder}};
        if (d.map)
            out["map"] = d.map->sets;
        return out;
    }
};

status_message status_from(const json& it)
{
    return {it.at("address"),
            it.at("target"),
            {report_from(it.at("report")), it.at("agent"), it.at("directive_token"),
             it.at("directive_number"), it.at("settled"), it.at("fenced")}};
}

choices_message choices_from(const json& it)
{
    choices_message out;
    out.epoch = it.at("epoch");
    out.rank = it.at("rank");
    out.version = it.at("version");
    out.choices = it.at("choices").get<std::vector<std::vector<std::int64_t>>>();
    out.held = it.at("held").get<std::vector<std::vector<int>>>();
    return out;
}

std::optional<agent_message> directive_from(const json& it)
{
    directive d;
    d.token = it.at("fence");
    d.number = it.at("number");
    d.agent = it.at("agent");
    d.epoch = it.at("epoch");
    const int phase = it.at("phase");
    if (phase < 0 || phase > static_cast<int>(switch_phase::release))
        return std::nullopt;
    d.phase = static_cast<switch_phase>(phase);
    d.version = it.at("version");
    d.pass = it.at("pass");
    d.holder = it.at("holder");
    if (it.contains("map"))
        d.map = std::make_shared<const expert_map>(
            expert_map{it.at("map").get<std::vector<expert_set_map>>()});
    return directive_message{std::move(d)};
}

} // namespace

std::string to_bytes(const agent_message& m, std::string_view token)
{
    auto body = std::visit(to_json_body{}, m);
    body["token"] = token;
    std::string out;
    json::to_cbor(body, out);
    return out;
}

std::optional<agent_message> from_bytes(std::string_view bytes, std::string_view token)
{
    const auto it = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    try
    {
        if (it.is_discarded() || it.at("token") != token)
            return std::nullopt;
        const std::string kind = it.at("kind");
        if (kind == status_kind)
            return status_from(it);
        if (kind == choices_kind)
            return choices_from(it);
        if (kind == directive_kind)
            return directive_from(it);
    }
    catch (const json::exception& e)
    {
        common::log(common::log_level::debug, "agent_message_malformed", {{"reason", e.what()}});
    }
    return std::nullopt;
}

} // namespace kumquatgap::experts
