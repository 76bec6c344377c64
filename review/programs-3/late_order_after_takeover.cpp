#include "deployment.hpp"

#include "../../source/unit_tests/experts/rank_engine.hpp"
#include "common/text.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <map>
#include <random>
#include <utility>

/// Groups of ranks that serve one stream at a time, with pauses between two. While a group switches
/// its map, one agent stands still for a while, and part of the orders are carried out late.
namespace kumquatgap::review
{

using nlohmann::json;

namespace
{

/// As on the sheet of oosterhout-twin.
constexpr std::size_t groups = 2;
constexpr std::size_t ranks = 8;
constexpr int sets = 6;
constexpr int experts_of_set = 64;
constexpr int places = 11;
constexpr int spare = 4;
constexpr int expert_mb = 1700;
constexpr int link_mbps = 92'000;
/// 8 bits a byte, 1000 ms a second.
constexpr int copy_ms = expert_mb * 8000 / link_mbps;
constexpr milliseconds start_limit{12'000};
constexpr milliseconds play_time{100'000};
constexpr milliseconds time_after_break{15'000};
constexpr milliseconds pass_period{60};
/// What each rank chooses of the popular and of the other experts of a set in one pass.
constexpr std::int64_t popular_choices = 8;
constexpr std::int64_t other_choices = 1;
/// A stream of 24 events, one a pass, lasts for this long; the next one begins this much later.
constexpr milliseconds stream_time{1500};
constexpr milliseconds pause_between_streams{8000};
/// The requester of a stream leaves after a gap of two seconds.
constexpr milliseconds longest_gap{2000};
/// An agent stands still until this long after the ranks are to be armed, and for no longer than
/// the limit.
constexpr milliseconds freeze_after_arm{1950};
constexpr milliseconds longest_freeze{3500};
/// 0.11 of the sheet's 20 machines.
constexpr int most_frozen = 2;
/// Which experts are chosen depends on the content of a request, and changes over time.
constexpr milliseconds popularity_period{2500};
/// An agent stands still while other ranks copy for this much longer at least, so that the
/// controller has noticed before the ranks are to switch.
constexpr milliseconds early_by{140};
/// Until an agent has told the controller that its rank is prepared.
constexpr milliseconds before_freeze{25};

/// The share of the orders that get no answer, and when they are carried out.
constexpr double late_share = 0.35;
/// For this long from the start of a stream; the streams of both groups start together.
constexpr milliseconds late_window{5500};
constexpr int earliest_ms = 2000;
constexpr int latest_ms = 12'000;
constexpr auto s_operations =
    std::to_array<std::string_view>({"prepare", "arm", "disarm", "hold", "go"});

std::string lease_key(const std::string& group)
{
    return "kqg/groups/kumquat-pool/" + group;
}

/// The ranks of one group by the users' protocol. It makes passes only while it has a stream.
class quiet_group
{
public:
    /// Called with a rank that has copied its experts while another one copies for some time yet.
    using copied_listener = std::function<void(std::size_t)>;

    quiet_group(io::event_loop& loop, std::string name, bool has_trouble,
                std::function<void(const std::string&)> record)
        : m_loop{loop}, m_name{std::move(name)}, m_has_trouble{has_trouble}, m_record{
                                                                                 std::move(record)}
    {
        for (std::size_t i = 0; i < ranks; ++i)
        {
            auto it = std::make_unique<rank>();
            it->address = failures::free_address();
            it->engine.restart(1);
            it->engine.state.group = m_name;
            it->engine.state.rank = static_cast<int>(i);
            it->engine.state.size = static_cast<int>(ranks);
            it->counts.assign(static_cast<std::size_t>(sets) * experts_of_set, 0);
            it->server = std::make_unique<io::http_server>(
                loop, io::http_limits{},
                [this, raw = it.get()](const io::received_request& received,
                                       const io::responder_ptr& answer)
                { handle(*raw, received.request, answer); });
            if (!it->server->listen(it->address))
                throw std::runtime_error{"a rank's address is taken"};
            m_ranks.push_back(std::move(it));
        }
        m_pass_timer = m_loop.every(pass_period, [this] { begin_pass(); });
    }

    const std::string& name() const { return m_name; }
    const std::string& address(std::size_t i) const { return m_ranks.at(i)->address; }
    int passes() const { return m_passes; }
    int mixed_passes() const { return m_mixed_passes; }
    void on_copied(copied_listener fn) { m_on_copied = std::move(fn); }
    /// Called when a rank gets an order to arm.
    void on_arm(std::function<void()> fn) { m_on_arm = std::move(fn); }
    /// A requester's stream begins.
    void begin_stream()
    {
        shift_popularity();
        m_stream_began_at = common::now();
        m_last_pass_at = common::now();
        m_has_stream = true;
        m_record(m_name + " a stream begins");
    }
    bool has_stream() const { return m_has_stream; }
    /// Ends the stream when its requester would leave.
    void check_gap()
    {
        if (m_has_stream && common::now() - m_last_pass_at > longest_gap)
            end_stream("its requester has left after a gap");
    }

private:
    struct rank
    {
        std::string address;
        experts::rank_engine engine;
        std::string prepared_map;
        common::timestamp copies_until;
        std::string map;
        std::vector<std::int64_t> counts;
        std::unique_ptr<io::http_server> server;
    };

    void shift_popularity()
    {
        m_popular = (m_popular + 1) % static_cast<int>(ranks);
        m_shifted_at = common::now();
    }

    void end_stream(const std::string& why)
    {
        m_has_stream = false;
        m_record(common::concat(m_name, " the stream ends: ", why));
    }

    void begin_pass()
    {
        if (!m_has_stream)
            return;
        const auto now = common::now();
        check_gap();
        if (!m_has_stream)
            return;
        if (now - m_stream_began_at > stream_time)
            return end_stream("complete");
        const auto next = m_ranks.front()->engine.state.pass + 1;
        if (std::ranges::any_of(m_ranks,
                                [&](const auto& it) { return it->engine.state.held == next; }))
            return;
        if (now - m_shifted_at >= popularity_period)
            shift_popularity();
        for (const auto& it : m_ranks)
        {
            const auto before = it->engine.state.version;
            it->engine.begin_pass();
            if (it->engine.state.version != before)
                it->map = it->prepared_map;
            // Most choices are for the experts that map 0 gives to one rank.
            for (std::size_t n = 0; n < it->counts.size(); ++n)
            {
                const auto expert = static_cast<int>(n) % experts_of_set;
                const bool is_popular = expert % static_cast<int>(ranks) == m_popular;
                it->counts[n] += is_popular ? popular_choices : other_choices;
            }
        }
        ++m_passes;
        m_last_pass_at = now;
        check_maps();
    }

    void check_maps()
    {
        const auto& first = *m_ranks.front();
        const bool is_one_map =
            std::ranges::all_of(m_ranks,
                                [&](const auto& it) {
                                    return it->engine.state.version == first.engine.state.version &&
                                           it->map == first.map;
                                });
        if (is_one_map)
            return;
        ++m_mixed_passes;
        std::string versions;
        for (const auto& it : m_ranks)
            versions += common::concat(" ", it->engine.state.version);
        m_record(common::concat(m_name, " MAP pass ", first.engine.state.pass,
                                " begins with the versions", versions));
    }

    void handle(rank& it, const io::http_request& request, const io::responder_ptr& answer)
    {
        if (request.path == "/-/report")
            return reply(*answer, 200, report(it));
        if (request.path == "/-/picked")
            return reply(*answer, 200, picked(it, request.query));
        if (request.path == "/-/order")
            return take_order(it, request, answer);
        reply(*answer, 404, json::object());
    }

    static void reply(io::responder& answer, int status, const json& body)
    {
        answer.reply({status, {{"Content-Type", "application/json"}}, body.dump()});
    }

    static json report(const rank& it)
    {
        const auto& r = it.engine.state;
        json out = {
            {"group", {{"name", r.group}, {"epoch", r.epoch}, {"rank", r.rank}, {"state", "open"}}},
            {"size", r.size},
            {"born", 1'796'000'000'000},
            {"pace", 1},
            {"step", r.pass},
            {"map", {{"version", r.version}}},
            {"prepared", {{"version", r.prepared}}}};
        if (r.armed)
            out["armed"] = {{"version", r.armed->version}, {"step", r.armed->pass}};
        if (r.held)
            out["held"] = {{"step", *r.held}};
        return out;
    }

    using rank_experts = std::vector<std::vector<int>>;

    /// The experts that a map gives to a rank, by set.
    static rank_experts experts_of(const std::string& map, int rank)
    {
        rank_experts out;
        for (const auto& set : json::parse(map))
            out.push_back(set.at(static_cast<std::size_t>(rank)).get<std::vector<int>>());
        return out;
    }

    static rank_experts held(const rank& it)
    {
        const auto& r = it.engine.state;
        if (!it.map.empty())
            return experts_of(it.map, r.rank);
        std::vector<int> out;
        for (int e = r.rank; e < experts_of_set; e += r.size)
            out.push_back(e);
        return rank_experts(sets, out);
    }

    /// The rank is prepared once it has copied the experts that are new to it.
    void copy(rank& it, experts::map_version version, const std::string& map)
    {
        const auto before = held(it);
        const auto after = experts_of(map, it.engine.state.rank);
        std::int64_t copies = 0;
        for (std::size_t i = 0; i < after.size(); ++i)
            copies += std::ranges::count_if(
                after[i],
                [&](int e) { return std::ranges::find(before[i], e) == before[i].end(); });
        const milliseconds time{copies * copy_ms};
        it.copies_until = common::now() + time;
        m_late.push_back(m_loop.after(time,
                                      [this, &it, version, map]
                                      {
                                          if (it.engine.highest != version)
                                              return;
                                          it.engine.state.prepared = version;
                                          it.prepared_map = map;
                                          report_copied(it);
                                      }));
    }

    void report_copied(const rank& it)
    {
        const auto now = common::now();
        const bool is_early = std::ranges::any_of(
            m_ranks, [&](const auto& other) { return other->copies_until - now >= early_by; });
        if (m_on_copied && is_early)
            m_on_copied(static_cast<std::size_t>(it.engine.state.rank));
    }

    static json picked(const rank& it, const std::string& query)
    {
        const auto& r = it.engine.state;
        if (query.find("lists") == std::string::npos)
            return {{"step", r.pass}, {"epoch", r.epoch}, {"counts", it.counts}};
        return {{"map", {{"version", r.version}, {"experts", held(it)}}}};
    }

    static int status_of(experts::order_outcome end)
    {
        if (end == experts::order_outcome::accepted)
            return 200;
        return end == experts::order_outcome::fenced ? 412 : 409;
    }

    void take_order(rank& it, const io::http_request& request, const io::responder_ptr& answer)
    {
        const auto body = json::parse(request.body);
        const auto operation = body.at("operation").get<std::string>();
        const auto name = std::ranges::find(s_operations, operation);
        if (name == s_operations.end())
            return reply(*answer, 400, json::object());
        experts::rank_order order;
        order.kind = static_cast<experts::order_kind>(name - s_operations.begin());
        order.fence = body.at("fencingToken");
        order.epoch = body.at("epoch");
        order.version = body.value("version", std::int64_t{0});
        order.pass = body.value("step", std::int64_t{0});
        const auto map = body.value("map", json::array()).dump();
        if (order.kind == experts::order_kind::arm && m_on_arm)
            m_on_arm();
        const bool is_in_window = common::now() - m_stream_began_at < late_window;
        if (!m_has_trouble || !is_in_window ||
            std::uniform_real_distribution<>{0, 1}(m_random) >= late_share)
            return reply(*answer, status_of(carry_out(it, order, map, "")), json::object());
        const milliseconds delay{std::uniform_int_distribution<>{earliest_ms, latest_ms}(m_random)};
        m_record(common::concat(m_name, " rank ", it.engine.state.rank, " ", operation, " version ",
                                order.version, " step ", order.pass, " fence ", order.fence,
                                " gets no answer, and is carried out ", delay.count(),
                                " ms later"));
        // The answer is never given; the caller gives up.
        m_unanswered.push_back(answer);
        m_late.push_back(
            m_loop.after(delay, [this, &it, order, map] { carry_out(it, order, map, " late"); }));
    }

    experts::order_outcome carry_out(rank& it, const experts::rank_order& order,
                                     const std::string& map, const std::string& when)
    {
        const auto prepared_before = it.engine.state.prepared;
        const auto end = it.engine.carry_out(order, experts::mutation::none);
        if (end == experts::order_outcome::accepted && order.kind == experts::order_kind::prepare &&
            prepared_before != order.version)
        {
            it.engine.state.prepared = prepared_before;
            copy(it, order.version, map);
        }
        m_record(common::concat(m_name, " rank ", it.engine.state.rank, " ",
                                s_operations.at(static_cast<std::size_t>(order.kind)), " version ",
                                order.version, " step ", order.pass, " fence ", order.fence, when,
                                " ", status_of(end)));
        return end;
    }

    io::event_loop& m_loop;
    std::string m_name;
    bool m_has_trouble;
    std::function<void(const std::string&)> m_record;
    copied_listener m_on_copied;
    std::function<void()> m_on_arm;
    common::timestamp m_shifted_at;
    std::vector<std::unique_ptr<rank>> m_ranks;
    std::mt19937 m_random{std::random_device{}()};
    int m_popular = 0;
    bool m_has_stream = false;
    common::timestamp m_stream_began_at;
    common::timestamp m_last_pass_at;
    int m_passes = 0;
    int m_mixed_passes = 0;
    std::list<io::responder_ptr> m_unanswered;
    std::list<io::timer_handle> m_late;
    io::timer_handle m_pass_timer;
};

/// A group and the agents beside its ranks.
class group_with_agents
{
public:
    group_with_agents(rank_deployment& deployment, const std::string& name, bool has_trouble,
                      milliseconds first_stream_after, int& frozen_agents)
        : m_deployment{deployment},
          m_frozen_agents{frozen_agents}, m_group{deployment.loop(), name, has_trouble,
                                                  [&deployment](const std::string& line)
                                                  { deployment.record(line); }}
    {
        for (std::size_t i = 0; i < ranks; ++i)
        {
            m_addresses.push_back(failures::free_address());
            m_agents.push_back(deployment.start_agent(common::concat(name, "-", i),
                                                      m_addresses.back(), m_group.address(i)));
        }
        m_next_stream_at = common::now() + first_stream_after;
        if (has_trouble)
        {
            m_group.on_copied([this](std::size_t rank) { freeze(rank); });
            m_group.on_arm([this] { note_arm(); });
        }
    }

    quiet_group& group() { return m_group; }
    bool has_leader() const { return leader() < ranks; }

    /// Begins the next stream when it is due.
    void tick(common::timestamp now)
    {
        m_group.check_gap();
        if (now < m_next_stream_at)
            return;
        m_next_stream_at += stream_time + pause_between_streams;
        m_group.begin_stream();
    }

private:
    std::size_t leader() const
    {
        const auto value = m_deployment.store().value(lease_key(m_group.name()));
        const auto it = std::ranges::find(m_addresses, value);
        return static_cast<std::size_t>(it - m_addresses.begin());
    }

    /// The agent of this rank stands still, unless it controls the group or its rank is the one
    /// that holds the pass, or as many stand still already as the sheet allows.
    void freeze(std::size_t rank)
    {
        if (m_thaw_timer || rank == 0 || rank == leader() || m_frozen.contains(rank) ||
            m_frozen_agents >= most_frozen)
            return;
        ++m_frozen_agents;
        m_has_seen_arm = false;
        m_frozen.emplace(rank,
                         m_deployment.loop().after(before_freeze,
                                                   [this, rank]
                                                   {
                                                       m_agents.at(rank)->signal(SIGSTOP);
                                                       m_deployment.record(common::concat(
                                                           m_group.name(), " the agent of rank ",
                                                           rank, " stands still"));
                                                   }));
        m_limit_timer =
            m_deployment.loop().after(longest_freeze - before_freeze, [this] { thaw(); });
    }

    void note_arm()
    {
        if (m_frozen.empty() || std::exchange(m_has_seen_arm, true))
            return;
        m_thaw_timer = m_deployment.loop().after(freeze_after_arm, [this] { thaw(); });
    }

    void thaw()
    {
        for (const auto& [rank, timer] : m_frozen)
        {
            m_agents.at(rank)->signal(SIGCONT);
            m_deployment.record(
                common::concat(m_group.name(), " the agent of rank ", rank, " goes on"));
            --m_frozen_agents;
        }
        m_deployment.loop().defer(
            [this]
            {
                m_frozen.clear();
                m_thaw_timer.reset();
                m_limit_timer.reset();
            });
    }

    rank_deployment& m_deployment;
    /// Of all groups.
    int& m_frozen_agents;
    quiet_group m_group;
    std::vector<std::string> m_addresses;
    std::vector<std::unique_ptr<failures::process>> m_agents;
    /// Agents that stand still, or are about to.
    std::map<std::size_t, io::timer_handle> m_frozen;
    io::timer_handle m_thaw_timer;
    io::timer_handle m_limit_timer;
    bool m_has_seen_arm = false;
    common::timestamp m_next_stream_at;
};

} // namespace

verdict late_order_after_takeover(const case_options& options)
{
    rank_deployment deployment{options};
    deployment.store().put("op/config",
                           json{{"version", 7},
                                {"routes", json::array()},
                                {"services", json::array({{{"name", "kumquat-pool"},
                                                           {"engine",
                                                            {{"slots", 12},
                                                             {"sets", sets},
                                                             {"experts", experts_of_set},
                                                             {"placements", places},
                                                             {"spare", spare},
                                                             {"expertMb", expert_mb},
                                                             {"linkMbps", link_mbps}}}}})}}
                               .dump());
    int frozen_agents = 0;
    std::list<group_with_agents> all;
    for (std::size_t i = 0; i < groups; ++i)
        all.emplace_back(deployment, common::concat("g-", i), options.has_trouble, milliseconds{0},
                         frozen_agents);
    const auto have_leaders = [&]
    { return std::ranges::all_of(all, [](const auto& it) { return it.has_leader(); }); };
    if (!deployment.wait_until(have_leaders, start_limit))
        return verdict::cannot_run;
    auto ends_at = common::now() + play_time;
    bool is_broken = false;
    constexpr milliseconds step{20};
    while (common::now() < ends_at)
    {
        for (auto& it : all)
            it.tick(common::now());
        deployment.run_for(step);
        const bool has_mixed_pass =
            std::ranges::any_of(all, [](auto& it) { return it.group().mixed_passes() > 0; });
        // The rest shows whether the group gets back to one map.
        if (has_mixed_pass && !std::exchange(is_broken, true))
            ends_at = std::min(ends_at, common::now() + time_after_break);
    }
    int passes = 0;
    int mixed = 0;
    for (auto& it : all)
    {
        passes += it.group().passes();
        mixed += it.group().mixed_passes();
    }
    deployment.record(common::concat("passes ", passes, " with two maps ", mixed));
    if (passes == 0)
        return verdict::cannot_run;
    return mixed > 0 ? verdict::broken : verdict::held;
}

} // namespace kumquatgap::review
