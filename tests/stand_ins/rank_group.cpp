#include "rank_group.hpp"

#include "experts/expert_map.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace kumquatgap::stand_ins
{

using common::milliseconds;
using experts::order_kind;
using experts::order_outcome;
using nlohmann::json;

namespace
{

constexpr milliseconds pass_period{20};
constexpr int latest_order_ms = 2000;
constexpr std::int64_t choices_of_pass = 400;
constexpr auto operations =
    std::to_array<std::string_view>({"prepare", "arm", "disarm", "hold", "go"});

void reply(io::responder& answer, int status, const json& body = json::object())
{
    answer.reply({status, {{"Content-Type", "application/json"}}, body.dump()});
}

int status_of(order_outcome end)
{
    switch (end)
    {
    case order_outcome::accepted:
        return 200;
    case order_outcome::fenced:
        return 412;
    default:
        return 409;
    }
}

} // namespace

rank_group::rank_group(io::event_loop& loop, std::vector<std::string> addresses, std::string name)
    : m_loop{loop}, m_name{std::move(name)}
{
    for (auto& address : addresses)
    {
        auto it = std::make_unique<rank>();
        it->address = std::move(address);
        it->engine.state.group = m_name;
        it->engine.state.rank = static_cast<int>(m_ranks.size());
        it->engine.state.size = static_cast<int>(addresses.size());
        it->counts.assign(experts, 0);
        it->server = std::make_unique<io::http_server>(
            loop, io::http_limits{},
            [this, raw = it.get()](const io::received_request& received,
                                   const io::responder_ptr& answer)
            { handle(*raw, received.request, answer); });
        if (!it->server->listen(it->address))
            throw std::runtime_error{"a rank's address is taken"};
        m_ranks.push_back(std::move(it));
    }
    restart_rank();
    shift_popularity();
    m_pass_timer = m_loop.every(pass_period, [this] { begin_pass(); });
}

rank_group::~rank_group() = default;

void rank_group::restart_rank()
{
    ++m_epoch;
    m_last_pass_at = common::now();
    for (const auto& it : m_ranks)
    {
        it->engine.restart(m_epoch);
        it->engine.state.group = m_name;
        it->prepared_map.clear();
        it->map.clear();
    }
}

void rank_group::shift_popularity()
{
    // The ranks hold half of all experts each, so that one draw in forty suits the map in force.
    constexpr double bad_skew = 1.5;
    constexpr int most_draws = 1000;
    m_popularity.clear();
    for (int e = 0; e < experts; ++e)
        m_popularity.push_back(1.0 / (1 + e));
    for (int i = 0; i < most_draws; ++i)
    {
        std::ranges::shuffle(m_popularity, m_random);
        if (skew() >= bad_skew)
            return;
    }
    throw std::runtime_error{"no popularity is bad for the map in force"};
}

void rank_group::begin_pass()
{
    const auto next = m_ranks.front()->engine.state.pass + 1;
    if (std::ranges::any_of(m_ranks, [&](const auto& it) { return it->engine.state.held == next; }))
        return;
    std::discrete_distribution<std::size_t> chosen{m_popularity.begin(), m_popularity.end()};
    for (const auto& it : m_ranks)
    {
        const auto before = it->engine.state.version;
        it->engine.begin_pass();
        if (it->engine.state.version != before)
            it->map = it->prepared_map;
        for (std::int64_t n = 0; n < choices_of_pass; ++n)
            ++it->counts[chosen(m_random)];
    }
    const auto& first = *m_ranks.front();
    const bool is_whole = std::ranges::all_of(
        m_ranks, [&](const auto& it)
        { return it->engine.state.version == first.engine.state.version && it->map == first.map; });
    m_broken_passes += is_whole ? 0 : 1;
    ++m_passes;
    m_last_pass_at = common::now();
}

void rank_group::handle(rank& it, const io::http_request& request, const io::responder_ptr& answer)
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

std::string rank_group::report(const rank& it) const
{
    const auto& r = it.engine.state;
    json out = {
        {"group", {{"name", r.group}, {"epoch", r.epoch}, {"rank", r.rank}, {"state", "open"}}},
        {"size", r.size},
        {"born", 1},
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

/// The experts of a rank in an order of its own.
std::vector<int> rank_group::held(const rank& it) const
{
    const auto& r = it.engine.state;
    std::vector<int> out;
    // Map 0 assigns the experts in turn.
    if (it.map.empty())
    {
        for (int e = r.rank; e < experts; e += r.size)
            out.push_back(e);
    }
    else
        out =
            json::parse(it.map).at(0).at(static_cast<std::size_t>(r.rank)).get<std::vector<int>>();
    std::ranges::sort(out);
    return out;
}

/// How uneven the map in force is for the present popularity.
double rank_group::skew() const
{
    ::kumquatgap::experts::expert_set_map set;
    std::ranges::transform(m_ranks, std::back_inserter(set),
                           [this](const auto& it) { return held(*it); });
    return ::kumquatgap::experts::skew({{set}}, {m_popularity});
}

std::string rank_group::picked(const rank& it, bool wants_lists) const
{
    const auto& r = it.engine.state;
    if (!wants_lists)
        return json{{"step", r.pass}, {"epoch", r.epoch}, {"counts", it.counts}}.dump();
    return json{{"map", {{"version", r.version}, {"experts", {held(it)}}}}}.dump();
}

order_outcome rank_group::carry_out(rank& it, const experts::rank_order& order,
                                    const std::string& map)
{
    const auto end = it.engine.carry_out(order, experts::mutation::none);
    if (end == order_outcome::accepted && order.kind == order_kind::prepare)
        it.prepared_map = map;
    return end;
}

void rank_group::take_order(rank& it, const io::http_request& request,
                            const io::responder_ptr& answer)
{
    const auto body = json::parse(request.body);
    const auto name = std::ranges::find(operations, body.at("operation").get<std::string>());
    if (name == operations.end())
        return reply(*answer, 400);
    experts::rank_order order;
    order.kind = static_cast<order_kind>(name - operations.begin());
    order.fence = body.at("fencingToken");
    order.epoch = body.at("epoch");
    order.version = body.value("version", std::int64_t{0});
    order.pass = body.value("step", std::int64_t{0});
    const auto map = body.value("map", json::array()).dump();
    if (m_mood == order_mood::answered || m_random() % 2 == 0)
        return reply(*answer, status_of(carry_out(it, order, map)));
    const milliseconds delay{m_random() % latest_order_ms};
    m_late_orders.push_back(
        m_loop.after(delay, [this, &it, order, map] { carry_out(it, order, map); }));
}

} // namespace kumquatgap::stand_ins
