#include "rank_ring.hpp"

#include "common/text.hpp"
#include "experts/expert_map.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace kumquatgap::review
{

using ::kumquatgap::experts::order_kind;
using ::kumquatgap::experts::order_outcome;
using nlohmann::json;

namespace
{

constexpr milliseconds pass_period{60};
constexpr std::int64_t choices_of_pass = 400;
constexpr auto operations =
    std::to_array<std::string_view>({"prepare", "arm", "disarm", "hold", "go"});

void reply(io::responder& answer, int status, const json& body = json::object())
{
    answer.reply({status, {{"Content-Type", "application/json"}}, body.dump()});
}

/// A rank that is ordered to prepare a map begins to copy; other orders are done at once.
int status_of(order_outcome end, order_kind kind)
{
    switch (end)
    {
    case order_outcome::accepted:
        return kind == order_kind::prepare ? 202 : 200;
    case order_outcome::fenced:
        return 412;
    default:
        return 409;
    }
}

} // namespace

rank_ring::rank_ring(io::event_loop& loop, std::string name,
                     const std::vector<std::string>& addresses, recorder record)
    : m_loop{loop}, m_name{std::move(name)}, m_record{std::move(record)}
{
    for (const auto& address : addresses)
    {
        auto it = std::make_unique<rank>();
        it->address = address;
        it->engine.state.rank = static_cast<int>(m_ranks.size());
        it->engine.state.size = static_cast<int>(addresses.size());
        it->engine.restart(1);
        it->engine.state.group = m_name;
        it->counts.assign(std::size_t{sets} * experts, 0);
        it->server = std::make_unique<io::http_server>(
            loop, io::http_limits{},
            [this, raw = it.get()](const io::received_request& received,
                                   const io::responder_ptr& answer)
            { handle(*raw, received.request, answer); });
        if (!it->server->listen(it->address))
            throw std::runtime_error{"a rank's address is taken"};
        m_ranks.push_back(std::move(it));
    }
    shift_demand();
    m_pass_timer = m_loop.every(pass_period, [this] { begin_pass(); });
}

rank_ring::~rank_ring() = default;

void rank_ring::shift_demand()
{
    constexpr double bad_skew = 1.5;
    constexpr int most_draws = 1000;
    std::vector<double> usual;
    usual.reserve(experts);
    for (int e = 0; e < experts; ++e)
        usual.push_back(1.0 / (1 + e));
    m_demand.assign(sets, usual);
    for (int i = 0; i < most_draws; ++i)
    {
        for (auto& set : m_demand)
            std::ranges::shuffle(set, m_random);
        if (skew() >= bad_skew)
            return;
    }
    throw std::runtime_error{"no demand is bad for the map in force"};
}

bool rank_ring::is_held() const
{
    return std::ranges::any_of(m_ranks,
                               [](const auto& it) { return it->engine.state.held.has_value(); });
}

void rank_ring::begin_pass()
{
    const auto next = m_ranks.front()->engine.state.pass + 1;
    const bool is_stopped =
        std::ranges::any_of(m_ranks, [&](const auto& it) { return it->engine.state.held == next; });
    if (!m_has_work || is_stopped)
        return;
    std::vector<std::discrete_distribution<std::size_t>> chosen;
    for (const auto& set : m_demand)
        chosen.emplace_back(set.begin(), set.end());
    for (const auto& it : m_ranks)
    {
        const auto before = it->engine.state.version;
        it->engine.begin_pass();
        if (it->engine.state.version != before)
            it->map = it->prepared_map;
        for (std::size_t set = 0; set < chosen.size(); ++set)
        {
            for (std::int64_t n = 0; n < choices_of_pass; ++n)
                ++it->counts[set * experts + chosen[set](m_random)];
        }
    }
    ++m_passes;
    const auto& first = *m_ranks.front();
    const auto other = std::ranges::find_if(
        m_ranks, [&](const auto& it)
        { return it->engine.state.version != first.engine.state.version || it->map != first.map; });
    if (other == m_ranks.end())
        return;
    if (m_broken_passes++ == 0)
        m_record(common::concat(m_name, ": pass ", next, " begins with map ",
                                first.engine.state.version, " at rank 0 and map ",
                                (*other)->engine.state.version, " at rank ",
                                (*other)->engine.state.rank));
}

void rank_ring::handle(rank& it, const io::http_request& request, const io::responder_ptr& answer)
{
    if (request.path == "/-/report")
        return answer->reply({200, {}, report(it)});
    if (request.path == "/-/picked")
        return answer->reply(
            {200, {}, picked(it, request.query.find("lists") != std::string::npos)});
    if (request.path == "/-/order")
        return take_order(it, request, answer);
    reply(*answer, 404);
}

std::string rank_ring::report(const rank& it)
{
    const auto& r = it.engine.state;
    json out = {
        {"group", {{"name", r.group}, {"epoch", r.epoch}, {"rank", r.rank}, {"state", "open"}}},
        {"size", r.size},
        {"born", 1'790'000'000'000},
        {"pace", r.slowdown},
        {"step", r.pass},
        {"map", {{"version", r.version}}},
        {"prepared", {{"version", r.prepared}}}};
    if (r.armed)
        out["armed"] = {{"version", r.armed->version}, {"step", r.armed->pass}};
    if (r.held)
        out["held"] = {{"step", *r.held}};
    return out.dump();
}

/// Map 0 assigns the experts in turn.
std::vector<int> rank_ring::held_experts(const rank& it, std::size_t set)
{
    const auto& r = it.engine.state;
    std::vector<int> out;
    if (it.map.empty())
    {
        for (int e = r.rank; e < experts; e += r.size)
            out.push_back(e);
    }
    else
        out = json::parse(it.map)
                  .at(set)
                  .at(static_cast<std::size_t>(r.rank))
                  .get<std::vector<int>>();
    std::ranges::sort(out);
    return out;
}

std::int64_t rank_ring::copies(const rank& it, const std::string& map)
{
    const auto body = json::parse(map);
    std::int64_t out = 0;
    for (std::size_t set = 0; set < sets; ++set)
    {
        const auto held = held_experts(it, set);
        const auto wanted =
            body.at(set).at(static_cast<std::size_t>(it.engine.state.rank)).get<std::vector<int>>();
        out += std::ranges::count_if(wanted, [&](int e)
                                     { return std::ranges::find(held, e) == held.end(); });
    }
    return out;
}

/// How uneven the map in force is for the present demand.
double rank_ring::skew() const
{
    ::kumquatgap::experts::expert_map out;
    for (std::size_t set = 0; set < sets; ++set)
    {
        ::kumquatgap::experts::expert_set_map in_set;
        std::ranges::transform(m_ranks, std::back_inserter(in_set),
                               [&](const auto& it) { return held_experts(*it, set); });
        out.sets.push_back(std::move(in_set));
    }
    return ::kumquatgap::experts::skew(out, m_demand);
}

std::string rank_ring::picked(const rank& it, bool wants_lists)
{
    const auto& r = it.engine.state;
    if (!wants_lists)
        return json{{"step", r.pass}, {"epoch", r.epoch}, {"counts", it.counts}}.dump();
    json lists = json::array();
    for (std::size_t set = 0; set < sets; ++set)
        lists.push_back(held_experts(it, set));
    return json{{"map", {{"version", r.version}, {"experts", lists}}}}.dump();
}

std::optional<milliseconds> rank_ring::prepared_for(std::size_t rank) const
{
    const auto& it = *m_ranks.at(rank);
    if (it.engine.state.prepared != m_newest)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(common::now() - it.prepared_at);
}

/// A rank that is ordered to prepare a map copies the experts that are new to it, one by one.
order_outcome rank_ring::apply(rank& it, const ::kumquatgap::experts::rank_order& order,
                               const std::string& map)
{
    if (order.kind == order_kind::prepare && order.version == it.copying)
        return order_outcome::accepted;
    const auto before = it.engine.state.prepared;
    const auto end = it.engine.carry_out(order, ::kumquatgap::experts::mutation::none);
    if (end != order_outcome::accepted || order.kind != order_kind::prepare ||
        order.version == before)
        return end;
    it.engine.state.prepared = before;
    it.copying = order.version;
    m_newest = std::max(m_newest, order.version);
    it.copy_timer = m_loop.after(copy_time * copies(it, map),
                                 [&it, map]
                                 {
                                     it.engine.state.prepared = std::exchange(it.copying, 0);
                                     it.prepared_map = map;
                                     it.prepared_at = common::now();
                                 });
    return end;
}

order_outcome rank_ring::carry_out(rank& it, const ::kumquatgap::experts::rank_order& order,
                                   const std::string& map, std::string_view how)
{
    const auto end = apply(it, order, map);
    m_record(common::concat(m_name, " rank ", it.engine.state.rank, ": ",
                            operations.at(static_cast<std::size_t>(order.kind)), " of version ",
                            order.version, ", step ", order.pass, ", generation ", order.fence,
                            ": ", how, ", ", status_of(end, order.kind)));
    return end;
}

void rank_ring::take_order(rank& it, const io::http_request& request,
                           const io::responder_ptr& answer)
{
    const auto body = json::parse(request.body);
    const auto name = std::ranges::find(operations, body.at("operation").get<std::string>());
    if (name == operations.end())
        return reply(*answer, 400);
    ::kumquatgap::experts::rank_order order;
    order.kind = static_cast<order_kind>(name - operations.begin());
    order.fence = body.at("fencingToken");
    order.epoch = body.at("epoch");
    order.version = body.value("version", std::int64_t{0});
    order.pass = body.value("step", std::int64_t{0});
    const auto map = body.value("map", json::array()).dump();
    ++m_orders;
    const auto late = m_lateness ? m_lateness(static_cast<std::size_t>(it.engine.state.rank), *name)
                                 : std::nullopt;
    if (!late)
        return reply(*answer, status_of(carry_out(it, order, map, "answered"), order.kind));
    m_record(common::concat(m_name, " rank ", it.engine.state.rank, ": ", *name, " of version ",
                            order.version, ", step ", order.pass, ", generation ", order.fence,
                            ": left unanswered, carried out ", late->count(), " ms later"));
    m_late_orders.push_back(m_loop.after(*late, [this, &it, order, map]
                                         { carry_out(it, order, map, "carried out late"); }));
}

} // namespace kumquatgap::review
