#include "gateway/gateway.hpp"

#include "common/log.hpp"
#include "common/text.hpp"
#include "gateway/exchange.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <limits>
#include <numeric>

namespace kumquatgap::gateway
{

namespace
{

/// How often waits, deadlines and stalls are looked at.
constexpr milliseconds tick_period{25};
/// New callers come until the balancer has missed two probes, and reuse open connections after
/// that. Later calls are refused, as too little of the grace would be left for a long stream.
constexpr double accepting_part_of_grace = 0.35;
/// The process ends by then, whatever is open.
constexpr double last_part_of_grace = 0.95;
/// Connections may still come for this long after SIGTERM.
constexpr milliseconds settle_time{2500};
constexpr milliseconds idle_check_period{50};
constexpr milliseconds store_calls_line_period{10'000};
/// Log lines a second; a line has some 300 bytes. The first covers the calls of an entry host at
/// the size that is designed for (6,900/s over 35 hosts) in part, the second at a crest of
/// failures.
constexpr double ordinary_lines_per_second = 100;
constexpr double failure_lines_per_second = 400;
constexpr double per_thousand = 1000;
/// Settings that are used as soon as they change; the others need a new start.
constexpr auto s_reloadable =
    std::to_array<std::string_view>({"process.log_level", "gateway.grace_ms", "retries.ratio",
                                     "retries.extra", "retries.window_ms"});

milliseconds part_of(milliseconds d, double part)
{
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(d.count()) * part)};
}

io::http_limits to_http_limits(const fleet::caller_limits& it)
{
    return {it.body_bytes, it.header_bytes, it.header_timeout, it.idle_timeout};
}

} // namespace

void add_settings(common::settings_schema& schema, gateway_settings& s)
{
    shell::add_common_settings(schema, s.common);
    constexpr milliseconds longest{24 * 3600 * 1000};
    constexpr double most = 1e6;
    schema.add("gateway", "listen", common::address_setting{&s.listen});
    schema.add("gateway", "ready_listen", common::address_setting{&s.ready_listen});
    schema.add("gateway", "metrics_listen", common::address_setting{&s.metrics_listen, false});
    schema.add("gateway", "grace_ms", common::duration_setting{&s.grace, milliseconds{1}, longest});
    schema.add("retries", "ratio", common::decimal_setting{&s.retries.ratio, 0, most});
    schema.add("retries", "extra", common::decimal_setting{&s.retries.extra, 0, most});
    schema.add("retries", "window_ms",
               common::duration_setting{&s.retries.window, milliseconds{1}, longest});
}

gateway::gateway(io::event_loop& loop, io::http_client& client, kv::store& store, const wire& names,
                 gateway_settings settings)
    : m_loop{loop}, m_client{client}, m_store{store}, m_wire{names},
      m_settings{std::move(settings)}, m_follower{loop, store, names, m_settings.common},
      m_loads{loop, m_settings.common.host, m_settings.common.deployment_token,
              [this](const std::string& peer, const load_exchange::news& it)
              { hear_peer(peer, it); }},
      m_retries{m_settings.retries}, m_ordinary_log{"answered", ordinary_lines_per_second},
      m_failure_log{"refused_or_failed", failure_lines_per_second},
      m_server{loop,
               {},
               [this](io::received_request received, io::responder_ptr answer)
               { handle(std::move(received), std::move(answer)); }},
      m_admin{loop,
              {},
              [this](const io::received_request& received, const io::responder_ptr& answer)
              { handle_admin(received, *answer); }}
{
}

gateway::~gateway() = default;

int gateway::run()
{
    m_server.set_malformed_answer(m_wire.failure_answer({common::result_code::bad_request, ""}));
    const auto admin = [this](const io::received_request& received, const io::responder_ptr& answer)
    { handle_admin(received, *answer); };
    m_metrics_server = std::make_unique<io::http_server>(m_loop, io::http_limits{}, admin);
    const bool has_addresses = m_server.listen(m_settings.listen) &&
                               m_admin.listen(m_settings.ready_listen) &&
                               (m_settings.metrics_listen.empty() ||
                                m_metrics_server->listen(m_settings.metrics_listen)) &&
                               (m_settings.common.control_address.empty() ||
                                m_loads.start(m_settings.common.control_address));
    if (!has_addresses || !m_follower.start())
    {
        common::log(common::log_level::error, "no_address", {{"address", m_settings.listen}});
        return shell::exit_no_address;
    }
    m_loop.on_signal(SIGTERM, [this] { begin_shutdown(); });
    m_loop.on_signal(SIGINT, [this] { begin_shutdown(); });
    m_settings_follower = std::make_unique<shell::settings_follower>(
        m_loop, shell::settings_path(), [this](const std::string& text) { read_settings(text); });
    m_follower.on_change([this] { state_changed(); });
    m_tick_timer = m_loop.every(tick_period, [this] { tick(); });
    m_store_calls_timer =
        m_loop.every(store_calls_line_period, [this] { m_store.counts().write_line(); });
    common::log(common::log_level::info, "started", {{"address", m_settings.listen}});
    m_loop.run();
    common::log(common::log_level::info, "stopped",
                {{"open_calls", static_cast<std::int64_t>(m_exchanges.size())}});
    return 0;
}

void gateway::hear_peer(const std::string& peer, const load_exchange::news& it)
{
    const auto now = common::now();
    for (auto& [service, state] : m_services)
        state.board.heard(peer, it.work, now);
    for (const auto& [id, started_at] : it.leaving)
        m_follower.target_leaves(id, started_at, peer);
}

void gateway::target_said(const fleet::target& it, const target_answer& head)
{
    // Whoever answers at the address of another target speaks of itself.
    if (head.is_other_target)
        return;
    if (head.is_leaving)
    {
        m_metrics.count("kqg_leaving_answers_total");
        m_follower.target_leaves(it.id, it.started_at, {});
    }
    if (head.busy_for)
    {
        m_metrics.count("kqg_busy_answers_total");
        m_follower.target_is_busy(it.id, it.started_at, *head.busy_for);
    }
}

bool gateway::is_ready() const
{
    return !m_shutting_down && m_follower.configuration() != nullptr;
}

void gateway::write_metrics(timestamp now)
{
    m_metrics.set("kqg_open_calls", static_cast<std::int64_t>(m_exchanges.size()));
    m_metrics.set("kqg_target_connections",
                  static_cast<std::int64_t>(m_client.connections_opened()));
    m_store.counts().write_metrics(m_metrics);
    m_follower.write_metrics(m_metrics, now);
    m_loads.write_metrics(m_metrics, now);
    for (const auto& it : m_services)
    {
        const auto& name = it.first;
        const auto& state = it.second;
        const auto set = [&](std::string_view what, std::int64_t value)
        { m_metrics.set(common::concat(what, "{service=\"", name, "\"}"), value); };
        set("kqg_calls_waiting", static_cast<std::int64_t>(state.line.size()));
        set("kqg_retries_left", static_cast<std::int64_t>(m_retries.left(name, now)));
        set("kqg_service_held", now < state.held_until ? 1 : 0);
        if (!state.pace.has_engine())
            continue;
        set("kqg_predicted_first_event_ms", state.pace.first_event_time().count());
        set("kqg_measured_over_predicted_pass_thousandths",
            static_cast<std::int64_t>(state.pace.factor() * per_thousand));
    }
}

void gateway::handle_admin(const io::received_request& received, io::responder& answer)
{
    write_metrics(common::now());
    if (!shell::answer_admin_request(received.request, answer, is_ready(), m_metrics))
        answer.reply(m_wire.failure_answer({common::result_code::not_found, ""}));
}

void gateway::handle(io::received_request received, io::responder_ptr answer)
{
    const auto id = m_next_exchange++;
    auto it = std::make_shared<exchange>(*this, id, std::move(received), std::move(answer));
    m_exchanges.emplace(id, it);
    it->start();
}

void gateway::remove(const exchange& it)
{
    // The exchange may be inside one of its own functions.
    m_loop.defer([this, id = it.number()] { m_exchanges.erase(id); });
}

/// The target that takes the call now; empty when it has to wait.
std::string gateway::place(const std::string& name, service_state& state, const exchange& it,
                           timestamp now)
{
    std::vector<policy::placement_candidate> candidates;
    const auto in_time = state.pace.has_engine() ? state.pace.streams_within(it.gap_goal())
                                                 : std::numeric_limits<double>::max();
    for (const auto* t : targets().usable(name, now))
    {
        auto limit = std::min(static_cast<double>(t->slots), in_time);
        if (const auto pace = m_follower.pace_of(t->address); pace > 1)
            limit = std::min(limit, state.pace.streams_of_slow(pace));
        candidates.push_back(
            {t->id, limit, t->data_centre == m_settings.common.data_centre ? 0 : 1});
    }
    return state.board.pick(candidates, it.tried(), now, draw());
}

void gateway::dispatch(const std::string& name)
{
    auto& state = m_services[name];
    const auto now = common::now();
    refuse_hopeless(name, state, now);
    while (now >= state.held_until)
    {
        if (state.is_suspect && !state.board.own_loads().empty())
            return;
        const auto id = state.line.next(now);
        if (!id)
            return;
        const auto found = m_exchanges.find(*id);
        if (found == m_exchanges.end())
        {
            state.line.remove(*id);
            continue;
        }
        const auto it = found->second;
        const auto target = place(name, state, *it, now);
        if (target.empty())
            return;
        state.line.started(*id, now);
        it->send_to(*targets().find_usable(target, now));
    }
}

void gateway::tick()
{
    const auto now = common::now();
    for (auto& [name, state] : m_services)
    {
        for (const auto id : state.line.take_expired(now))
        {
            if (const auto it = m_exchanges.find(id); it != m_exchanges.end())
                it->second->waited_too_long();
        }
        follow_halts(name, state, now);
        measure_pace(name, state, now);
        if (!state.line.empty())
            dispatch(name);
    }
    const auto open = m_exchanges;
    for (const auto& [id, it] : open)
        it->check_time(now);
    m_ordinary_log.report(now);
    m_failure_log.report(now);
    load_exchange::news own{{}, targets().leaving_to_tell(now)};
    for (const auto& [name, state] : m_services)
        own.work.insert(state.board.own_loads().begin(), state.board.own_loads().end());
    m_loads.send(m_follower.peers(), own, now);
}

/// Calls that would have to start before any target takes work again are refused now.
void gateway::refuse_hopeless(const std::string& name, service_state& state, timestamp now)
{
    const auto back_at = targets().all_busy_until(name, now);
    if (!back_at)
        return;
    for (const auto id : state.line.take_hopeless(*back_at))
    {
        if (const auto it = m_exchanges.find(id); it != m_exchanges.end())
            it->second->waited_too_long();
    }
}

/// Tells a line when its service's group is lost or stands still, and when it goes on.
void gateway::follow_halts(const std::string& name, service_state& state, timestamp now)
{
    const bool is_forming = state.is_suspect || now < state.held_until;
    const bool stands = state.pace.has_engine() && !state.progress.is_going(now);
    if (is_forming)
    {
        const auto all = targets().usable(name, now);
        const auto places = std::accumulate(all.begin(), all.end(), std::size_t{0},
                                            [](std::size_t sum, const auto* it)
                                            { return sum + static_cast<std::size_t>(it->slots); });
        state.line.halt(places / (m_follower.peers().size() + 1));
    }
    const bool was_halted = std::exchange(state.is_halted, is_forming || stands);
    if (was_halted && !state.is_halted)
        state.line.resume(now);
}

/// Compares the pauses of the service's streams with what its engines' figures predict.
void gateway::measure_pace(const std::string& name, service_state& state, timestamp now)
{
    if (!state.pace.has_engine())
        return;
    const auto all = targets().usable(name, now);
    if (all.empty())
        return;
    const auto streams = std::accumulate(all.begin(), all.end(), 0.0,
                                         [&](double sum, const auto* it)
                                         { return sum + state.board.load(it->id, now); });
    state.pace.tick(streams / static_cast<double>(all.size()));
}

void gateway::state_changed()
{
    m_retries.set_routers(m_follower.peers().size() + 1);
    if (const auto c = configuration())
    {
        m_server.set_limits(to_http_limits(c->limits));
        for (const auto& [name, it] : c->services)
        {
            if (it.engine)
                m_services[name].pace.set_engine(*it.engine);
        }
    }
    for (const auto& [name, state] : m_services)
    {
        if (!state.line.empty())
            dispatch(name);
    }
}

void gateway::read_settings(const std::string& text)
{
    const auto changed = shell::read_changed(text, m_settings, &add_settings, s_reloadable);
    if (!changed)
        return;
    if (!common::set_log_level(changed->common.log_level))
        common::log(common::log_level::error, "log_level_unknown",
                    {{"level", changed->common.log_level}});
    m_settings.common.log_level = changed->common.log_level;
    m_settings.grace = changed->grace;
    m_settings.retries = changed->retries;
    m_retries.set_limits(m_settings.retries);
}

void gateway::begin_shutdown()
{
    if (std::exchange(m_shutting_down, true))
        return;
    m_term_at = common::now();
    common::log(common::log_level::info, "shutdown_begun",
                {{"open_calls", static_cast<std::int64_t>(m_exchanges.size())}});
    m_server.close_after_replies();
    m_idle_timer = m_loop.every(idle_check_period, [this] { finish_when_idle(); });
}

void gateway::finish_when_idle()
{
    const auto passed = common::now() - m_term_at;
    m_refuses_calls = passed > part_of(m_settings.grace, accepting_part_of_grace);
    // Callers keep idle connections open until the process is gone.
    const bool is_idle = m_exchanges.empty() && !m_server.is_busy();
    const bool has_settled = m_refuses_calls && passed > settle_time;
    if ((is_idle && has_settled) || passed > part_of(m_settings.grace, last_part_of_grace))
        m_loop.stop();
}

} // namespace kumquatgap::gateway
