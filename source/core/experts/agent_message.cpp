#include "experts/agent_message.hpp"

#include "common/log.hpp"
#include "experts/map_bytes.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace kumquatgap::experts
{

using nlohmann::json;

namespace
{

/// The place of each kind in agent_message. A message is a list: the token, the kind, the fields.
enum class message_kind : std::uint8_t
{
    status,
    held,
    choices,
    beacon,
    directive
};

/// Reads the fields of a list one after the other.
class field_reader
{
public:
    explicit field_reader(const json& list) : m_list{list} {}

    template <class T>
    T next()
    {
        return next_field().template get<T>();
    }
    const json& next_field() { return m_list.at(m_next++); }

private:
    const json& m_list;
    std::size_t m_next = 0;
};

/// No group is larger; a beacon that says so is malformed.
constexpr int most_ranks = 65'536;
/// Fractions travel as whole thousandths.
constexpr double per_thousand = 1000;

json to_json(const rank_report& r)
{
    json armed = nullptr;
    if (r.armed)
        armed = {r.armed->version, r.armed->pass};
    json held = nullptr;
    if (r.held)
        held = *r.held;
    return {
        r.group, r.epoch,   r.rank,     r.size, r.is_open,
        r.pass,  r.version, r.prepared, r.born, static_cast<std::int64_t>(r.pace * per_thousand),
        armed,   held};
}

rank_report report_from(const json& list)
{
    field_reader it{list};
    rank_report out;
    out.group = it.next<std::string>();
    out.epoch = it.next<std::int64_t>();
    out.rank = it.next<rank_number>();
    out.size = it.next<int>();
    out.is_open = it.next<bool>();
    out.pass = it.next<pass_number>();
    out.version = it.next<map_version>();
    out.prepared = it.next<map_version>();
    out.born = it.next<std::int64_t>();
    out.pace = static_cast<double>(it.next<std::int64_t>()) / per_thousand;
    if (const auto& armed = it.next_field(); !armed.is_null())
        out.armed = armed_switch{armed.at(0), armed.at(1)};
    if (const auto& held = it.next_field(); !held.is_null())
        out.held = held.get<pass_number>();
    return out;
}

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
                               { return static_cast<std::uint8_t>((n + unit / 2) / unit); });
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

struct to_fields
{
    json operator()(const status_message& m) const
    {
        const auto& s = m.status;
        return {m.address,          m.target,     to_json(s.report), s.agent,    s.directive_token,
                s.directive_number, s.is_settled, s.was_fenced,      m.known_map};
    }

    json operator()(const held_message& m) const
    {
        return {m.group, m.epoch, m.rank, m.version, lists_to_json(m.held)};
    }

    json operator()(const choices_message& m) const
    {
        const auto unit = unit_of(m.choices);
        return {m.group, m.epoch, unit, to_json(m.choices, unit)};
    }

    json operator()(const beacon_message& m) const
    {
        return {m.group,
                m.token,
                m.leader,
                m.tree.size,
                m.tree.block_size,
                m.tree.relays,
                addresses_to_json(m.addresses),
                m.epoch,
                m.known_map,
                m.is_for_block};
    }

    json operator()(const directive_message& m) const
    {
        const auto& d = m.what;
        json others = json::array();
        for (const auto& it : m.pass_on)
            others.push_back({it.address, it.agent});
        return {d.token,
                d.number,
                d.agent,
                d.epoch,
                static_cast<int>(d.phase),
                d.version,
                d.pass,
                d.holder,
                d.map ? map_to_json(*d.map) : json{},
                m.changes ? changes_to_json(*m.changes) : json{},
                std::move(others)};
    }
};

status_message status_from(field_reader it)
{
    status_message out;
    out.address = it.next<std::string>();
    out.target = it.next<std::string>();
    out.status.report = report_from(it.next_field());
    out.status.agent = it.next<std::int64_t>();
    out.status.directive_token = it.next<fencing_token>();
    out.status.directive_number = it.next<std::int64_t>();
    out.status.is_settled = it.next<bool>();
    out.status.was_fenced = it.next<bool>();
    out.known_map = it.next<map_version>();
    return out;
}

held_message held_from(field_reader it)
{
    held_message out;
    out.group = it.next<std::string>();
    out.epoch = it.next<std::int64_t>();
    out.rank = it.next<rank_number>();
    out.version = it.next<map_version>();
    out.held = lists_from(it.next_field());
    return out;
}

choices_message choices_from(field_reader it)
{
    choices_message out;
    out.group = it.next<std::string>();
    out.epoch = it.next<std::int64_t>();
    const auto unit = it.next<std::int64_t>();
    out.choices = counts_from(it.next_field(), unit);
    return out;
}

std::optional<agent_message> beacon_from(field_reader it)
{
    beacon_message out;
    out.group = it.next<std::string>();
    out.token = it.next<fencing_token>();
    out.leader = it.next<std::string>();
    out.tree.size = it.next<int>();
    out.tree.block_size = it.next<int>();
    out.tree.relays = it.next<std::vector<rank_number>>();
    out.addresses = addresses_from(it.next_field());
    out.epoch = it.next<std::int64_t>();
    out.known_map = it.next<map_version>();
    out.is_for_block = it.next<bool>();
    const auto& tree = out.tree;
    if (tree.size < 0 || tree.size > most_ranks || tree.block_size < 1 ||
        tree.block_size > std::max(1, tree.size))
        return std::nullopt;
    return out;
}

std::optional<agent_message> directive_from(field_reader it)
{
    directive d;
    d.token = it.next<fencing_token>();
    d.number = it.next<std::int64_t>();
    d.agent = it.next<std::int64_t>();
    d.epoch = it.next<std::int64_t>();
    const auto phase = it.next<int>();
    if (phase < 0 || phase > static_cast<int>(switch_phase::release))
        return std::nullopt;
    d.phase = static_cast<switch_phase>(phase);
    d.version = it.next<map_version>();
    d.pass = it.next<pass_number>();
    d.holder = it.next<rank_number>();
    if (const auto& map = it.next_field(); !map.is_null())
        d.map = std::make_shared<const expert_map>(map_from(map));
    directive_message out{std::move(d)};
    if (const auto& changes = it.next_field(); !changes.is_null())
        out.changes = changes_from(changes);
    for (const auto& other : it.next_field())
        out.pass_on.push_back({other.at(0), other.at(1)});
    return out;
}

std::optional<agent_message> read_fields(int kind, field_reader it)
{
    switch (static_cast<message_kind>(kind))
    {
    case message_kind::status:
        return status_from(it);
    case message_kind::held:
        return held_from(it);
    case message_kind::choices:
        return choices_from(it);
    case message_kind::beacon:
        return beacon_from(it);
    case message_kind::directive:
        return directive_from(it);
    }
    return std::nullopt;
}

/// Names and numbers of a message.
constexpr std::size_t fixed_bytes = 110;

} // namespace

std::size_t message_bytes(const directive& d)
{
    return fixed_bytes + (d.map ? map_bytes(*d.map) : 0);
}

std::size_t message_bytes(const map_changes& it)
{
    return fixed_bytes + changes_bytes(it);
}

std::size_t choices_bytes(std::size_t sets, std::size_t experts)
{
    constexpr std::size_t list_bytes = 3;
    return fixed_bytes + sets * (experts + list_bytes);
}

std::string to_bytes(const agent_message& m, std::string_view token)
{
    json body = {token, m.index()};
    body.push_back(std::visit(to_fields{}, m));
    std::string out;
    json::to_cbor(body, out);
    return out;
}

std::optional<agent_message> from_bytes(std::string_view bytes, std::string_view token)
{
    const auto body = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    try
    {
        if (body.is_discarded() || body.at(0) != token)
            return std::nullopt;
        return read_fields(body.at(1), field_reader{body.at(2)});
    }
    catch (const json::exception& e)
    {
        common::log(common::log_level::debug, "agent_message_malformed", {{"reason", e.what()}});
    }
    return std::nullopt;
}

} // namespace kumquatgap::experts
