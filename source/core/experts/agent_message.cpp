#include "experts/agent_message.hpp"

#include "common/log.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

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

/// A byte carries numbers up to this.
constexpr int largest_byte = 255;
constexpr unsigned bits_per_byte = 8;

/// Counts travel as one byte each, in units that the largest of them fits.
std::int64_t unit_of(const std::vector<std::vector<std::int64_t>>& counts)
{
    std::int64_t largest = 0;
    for (const auto& set : counts)
        largest = std::accumulate(set.begin(), set.end(), largest,
                                  [](std::int64_t a, std::int64_t b) { return std::max(a, b); });
    return std::max<std::int64_t>(1, (largest + largest_byte - 1) / largest_byte);
}

json to_json(const std::vector<std::vector<std::int64_t>>& counts, std::int64_t unit)
{
    json out = json::array();
    for (const auto& set : counts)
    {
        json::binary_t::container_type bytes(set.size());
        std::ranges::transform(set, bytes.begin(),
                               [unit](std::int64_t n)
                               { return static_cast<std::uint8_t>(n / unit); });
        out.push_back(json::binary(std::move(bytes)));
    }
    return out;
}

std::vector<std::vector<std::int64_t>> counts_from(const json& it, std::int64_t unit)
{
    std::vector<std::vector<std::int64_t>> out;
    out.reserve(it.size());
    for (const auto& set : it)
    {
        const auto& bytes = set.get_binary();
        auto& counts = out.emplace_back(bytes.size());
        std::ranges::transform(bytes, counts.begin(), [unit](std::uint8_t n) { return n * unit; });
    }
    return out;
}

/// A map travels as one byte an expert where that is enough, else as two, the low one first.
json to_json(const expert_map& map)
{
    int largest = 0;
    for (const auto& set : map.sets)
        for (const auto& rank : set)
            largest = std::accumulate(rank.begin(), rank.end(), largest,
                                      [](int a, int b) { return std::max(a, b); });
    const bool is_wide = largest > largest_byte;
    json sets = json::array();
    for (const auto& set : map.sets)
    {
        json ranks = json::array();
        for (const auto& rank : set)
        {
            json::binary_t::container_type bytes;
            bytes.reserve(rank.size() * 2);
            for (const int e : rank)
            {
                bytes.push_back(static_cast<std::uint8_t>(e & largest_byte));
                if (is_wide)
                    bytes.push_back(static_cast<std::uint8_t>(e >> bits_per_byte));
            }
            ranks.push_back(json::binary(std::move(bytes)));
        }
        sets.push_back(std::move(ranks));
    }
    return {{"wide", is_wide}, {"sets", std::move(sets)}};
}

std::vector<int> experts_from(const json::binary_t& bytes, bool is_wide)
{
    std::vector<int> out;
    out.reserve(bytes.size());
    if (!is_wide)
    {
        out.assign(bytes.begin(), bytes.end());
        return out;
    }
    for (std::size_t i = 0; i + 1 < bytes.size(); i += 2)
        out.push_back(bytes[i] | (bytes[i + 1] << bits_per_byte));
    return out;
}

expert_map map_from(const json& it)
{
    expert_map out;
    const bool is_wide = it.at("wide");
    for (const auto& set : it.at("sets"))
    {
        auto& ranks = out.sets.emplace_back();
        for (const auto& rank : set)
            ranks.push_back(experts_from(rank.get_binary(), is_wide));
    }
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
        const auto unit = unit_of(m.choices);
        return {{"kind", choices_kind}, {"group", m.group},
                {"epoch", m.epoch},     {"rank", m.rank},
                {"version", m.version}, {"unit", unit},
                {"held", m.held},       {"choices", to_json(m.choices, unit)}};
    }

    json operator()(const directive_message& m) const
    {
        const auto& d = m.what;
        json out = {
            {"kind", directive_kind}, {"fence", d.token}, {"number", d.number},
            {"agent", d.agent},       {"epoch", d.epoch}, {"phase", static_cast<int>(d.phase)},
            {"version", d.version},   {"pass", d.pass},   {"holder", d.holder}};
        if (d.map)
            out["map"] = to_json(*d.map);
        for (const auto& it : m.pass_on)
            out["pass_on"].push_back({it.address, it.agent});
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
    out.group = it.at("group");
    out.epoch = it.at("epoch");
    out.rank = it.at("rank");
    out.version = it.at("version");
    out.choices = counts_from(it.at("choices"), it.at("unit"));
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
        d.map = std::make_shared<const expert_map>(map_from(it.at("map")));
    directive_message out{std::move(d)};
    for (const auto& other : it.value("pass_on", json::array()))
        out.pass_on.push_back({other.at(0), other.at(1)});
    return out;
}

} // namespace

std::size_t message_bytes(const directive& d)
{
    /// Names and numbers of a directive, and of each list of experts.
    constexpr std::size_t fixed_bytes = 200;
    constexpr std::size_t list_bytes = 1;
    std::size_t out = fixed_bytes;
    if (!d.map)
        return out;
    for (const auto& set : d.map->sets)
        for (const auto& rank : set)
            out += rank.size() + list_bytes;
    return out;
}

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
