#include "experts/agent_message.hpp"

#include "common/log.hpp"
#include "experts/map_codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>

namespace kumquatgap::experts
{

using nlohmann::json;

namespace
{

/// The index of each alternative in agent_message. An encoded message is a list: token, kind,
/// fields.
enum class message_kind : std::uint8_t
{
    status,
    rank_experts,
    selection_counts,
    beacon,
    directive
};

/// Reads the fields of a list in order.
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

/// Upper bound on the size of a group; a beacon with more ranks is malformed.
constexpr int max_ranks = 65'536;
/// Fractions are encoded as whole thousandths.
constexpr double thousandths_per_unit = 1000;

json to_json(const rank_report& r)
{
    json armed = nullptr;
    if (r.armed)
        armed = {r.armed->version, r.armed->pass};
    json held = nullptr;
    if (r.held)
        held = *r.held;
    return {r.group,   r.epoch,
            r.rank,    r.size,
            r.is_open, r.pass,
            r.version, r.prepared,
            r.born,    static_cast<std::int64_t>(r.slowdown * thousandths_per_unit),
            armed,     held};
}

rank_report report_from_json(const json& list)
{
    field_reader fields{list};
    rank_report out;
    out.group = fields.next<std::string>();
    out.epoch = fields.next<std::int64_t>();
    out.rank = fields.next<rank_number>();
    out.size = fields.next<int>();
    out.is_open = fields.next<bool>();
    out.pass = fields.next<pass_number>();
    out.version = fields.next<map_version>();
    out.prepared = fields.next<map_version>();
    out.born = fields.next<std::int64_t>();
    out.slowdown = static_cast<double>(fields.next<std::int64_t>()) / thousandths_per_unit;
    if (const auto& armed = fields.next_field(); !armed.is_null())
        out.armed = armed_switch{armed.at(0), armed.at(1)};
    if (const auto& held = fields.next_field(); !held.is_null())
        out.held = held.get<pass_number>();
    return out;
}

/// The step by which counts are quantized, so that the largest of them fits one byte.
std::int64_t quantization_step(const std::vector<std::vector<std::int64_t>>& counts)
{
    std::int64_t max_count = 0;
    for (const auto& set : counts)
        max_count = std::accumulate(set.begin(), set.end(), max_count,
                                    [](std::int64_t a, std::int64_t b) { return std::max(a, b); });
    return std::max<std::int64_t>(1, (max_count + max_byte - 1) / max_byte);
}

json to_json(const std::vector<std::vector<std::int64_t>>& counts, std::int64_t step)
{
    json out = json::array();
    for (const auto& set : counts)
    {
        json::binary_t::container_type bytes(set.size());
        std::ranges::transform(set, bytes.begin(),
                               [step](std::int64_t n)
                               { return static_cast<std::uint8_t>((n + step / 2) / step); });
        out.push_back(json::binary(std::move(bytes)));
    }
    return out;
}

std::vector<std::vector<std::int64_t>> counts_from_json(const json& it, std::int64_t step)
{
    std::vector<std::vector<std::int64_t>> out;
    out.reserve(it.size());
    for (const auto& set : it)
    {
        const auto& bytes = set.get_binary();
        auto& counts = out.emplace_back(bytes.size());
        std::ranges::transform(bytes, counts.begin(), [step](std::uint8_t n) { return n * step; });
    }
    return out;
}

struct field_encoder
{
    json operator()(const status_message& m) const
    {
        const auto& s = m.status;
        return {m.address,     m.target,          to_json(s.report),
                s.instance_id, s.directive_token, s.directive_number,
                s.is_settled,  s.was_fenced,      m.known_map_version};
    }

    json operator()(const rank_experts_message& m) const
    {
        return {m.group, m.epoch, m.rank, m.version, lists_to_json(m.experts)};
    }

    json operator()(const selection_counts_message& m) const
    {
        const auto step = quantization_step(m.counts);
        return {m.group, m.epoch, step, to_json(m.counts, step)};
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
                m.known_map_version,
                m.forward_to_block};
    }

    json operator()(const directive_message& m) const
    {
        const auto& d = m.body;
        json recipients = json::array();
        for (const auto& it : m.forward_to)
            recipients.push_back({it.address, it.instance_id});
        return {d.token,
                d.number,
                d.instance_id,
                d.epoch,
                static_cast<int>(d.phase),
                d.version,
                d.pass,
                d.holder,
                d.map ? map_to_json(*d.map) : json{},
                m.delta ? delta_to_json(*m.delta) : json{},
                std::move(recipients)};
    }
};

status_message decode_status(field_reader fields)
{
    status_message out;
    out.address = fields.next<std::string>();
    out.target = fields.next<std::string>();
    out.status.report = report_from_json(fields.next_field());
    out.status.instance_id = fields.next<std::int64_t>();
    out.status.directive_token = fields.next<fencing_token>();
    out.status.directive_number = fields.next<std::int64_t>();
    out.status.is_settled = fields.next<bool>();
    out.status.was_fenced = fields.next<bool>();
    out.known_map_version = fields.next<map_version>();
    return out;
}

rank_experts_message decode_rank_experts(field_reader fields)
{
    rank_experts_message out;
    out.group = fields.next<std::string>();
    out.epoch = fields.next<std::int64_t>();
    out.rank = fields.next<rank_number>();
    out.version = fields.next<map_version>();
    out.experts = lists_from_json(fields.next_field());
    return out;
}

selection_counts_message decode_selection_counts(field_reader fields)
{
    selection_counts_message out;
    out.group = fields.next<std::string>();
    out.epoch = fields.next<std::int64_t>();
    const auto step = fields.next<std::int64_t>();
    out.counts = counts_from_json(fields.next_field(), step);
    return out;
}

std::optional<agent_message> decode_beacon(field_reader fields)
{
    beacon_message out;
    out.group = fields.next<std::string>();
    out.token = fields.next<fencing_token>();
    out.leader = fields.next<std::string>();
    out.tree.size = fields.next<int>();
    out.tree.block_size = fields.next<int>();
    out.tree.relays = fields.next<std::vector<rank_number>>();
    out.addresses = addresses_from_json(fields.next_field());
    out.epoch = fields.next<std::int64_t>();
    out.known_map_version = fields.next<map_version>();
    out.forward_to_block = fields.next<bool>();
    const auto& tree = out.tree;
    if (tree.size < 0 || tree.size > max_ranks || tree.block_size < 1 ||
        tree.block_size > std::max(1, tree.size))
        return std::nullopt;
    return out;
}

std::optional<agent_message> decode_directive(field_reader fields)
{
    directive d;
    d.token = fields.next<fencing_token>();
    d.number = fields.next<std::int64_t>();
    d.instance_id = fields.next<std::int64_t>();
    d.epoch = fields.next<std::int64_t>();
    const auto phase = fields.next<int>();
    if (phase < 0 || phase > static_cast<int>(switch_phase::release))
        return std::nullopt;
    d.phase = static_cast<switch_phase>(phase);
    d.version = fields.next<map_version>();
    d.pass = fields.next<pass_number>();
    d.holder = fields.next<rank_number>();
    if (const auto& map = fields.next_field(); !map.is_null())
        d.map = std::make_shared<const expert_map>(map_from_json(map));
    directive_message out{std::move(d)};
    if (const auto& delta = fields.next_field(); !delta.is_null())
        out.delta = delta_from_json(delta);
    for (const auto& recipient : fields.next_field())
        out.forward_to.push_back({recipient.at(0), recipient.at(1)});
    return out;
}

std::optional<agent_message> decode_fields(int kind, field_reader fields)
{
    switch (static_cast<message_kind>(kind))
    {
    case message_kind::status:
        return decode_status(fields);
    case message_kind::rank_experts:
        return decode_rank_experts(fields);
    case message_kind::selection_counts:
        return decode_selection_counts(fields);
    case message_kind::beacon:
        return decode_beacon(fields);
    case message_kind::directive:
        return decode_directive(fields);
    }
    return std::nullopt;
}

/// Estimated size of the names and numbers of a message.
constexpr std::size_t overhead_bytes = 110;

} // namespace

std::size_t estimated_message_bytes(const directive& d)
{
    return overhead_bytes + (d.map ? estimated_map_bytes(*d.map) : 0);
}

std::size_t estimated_message_bytes(const map_delta& it)
{
    return overhead_bytes + estimated_delta_bytes(it);
}

std::size_t estimated_counts_message_bytes(std::size_t sets, std::size_t experts)
{
    constexpr std::size_t list_header_bytes = 3;
    return overhead_bytes + sets * (experts + list_header_bytes);
}

std::string to_bytes(const agent_message& m, std::string_view token)
{
    json body = {token, m.index()};
    body.push_back(std::visit(field_encoder{}, m));
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
        return decode_fields(body.at(1), field_reader{body.at(2)});
    }
    catch (const json::exception& e)
    {
        common::log(common::log_level::debug, "agent_message_malformed", {{"reason", e.what()}});
    }
    return std::nullopt;
}

} // namespace kumquatgap::experts
