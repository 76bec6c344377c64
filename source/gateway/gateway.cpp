#include "gateway/gateway.hpp"

#include "common/log.hpp"
#include "common/text.hpp"
#include "gateway/exchange.hpp"
#include "policy/load_broadcast_interval.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <iterator>
#include <numeric>
#include <vector>

namespace kumquatgap::gateway
{

namespace
{

/// How often queueing times, deadlines and stalls are checked.
constexpr milliseconds tick_period{25};
/// How often the rate limits of targets are broadcast.
constexpr milliseconds limits_broadcast_period{250};
constexpr milliseconds store_calls_log_period{10'000};
/// Log lines per second; a line has about 300 bytes. The first limit covers part of the calls of
/// one entry host at design load (6,900/s over 35 hosts), the second a spike of failures.
constexpr double success_lines_per_second = 100;
constexpr double failure_lines_per_second = 400;
constexpr double per_thousand = 1000;
/// Settings that take effect on reload; changes of the others take effect at the next start.
constexpr auto s_reloadable =
    std::to_array<std::string_view>({"process.log_level", "gateway.grace_ms", "retries.ratio",
                                     "retries.extra", "retries.window_ms"});

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
    schema.add("process", "regions", common::table_setting{&s.regions});
    schema.add("gateway", "listen", common::address_setting{&s.listen});
    schema.add("gateway", "ready_listen", common::address_setting{&s.ready_listen});
    schema.add("gateway", "metrics_listen", common::address_setting{&s.metrics_listen, false});
    schema.add("gateway", "grace_ms", common::duration_setting{&s.grace, milliseconds{1}, longest});
    schema.add("retries", "ratio", common::decimal_setting{&s.retries.ratio, 0, most});
    schema.add("retries", "extra", common::decimal_setting{&s.retries.extra, 0, most});
    schema.add("retries", "window_ms",
               common::duration_setting{&s.retries.window, milliseconds{1}, longest});
    schema.add("admission", "policy",
               common::choice_setting{&s.admission_policy, {"deadline", "value"}});
    constexpr double max_value_ratio = 100;
    schema.add("admission", "priority_value_ratio",
               common::decimal_setting{&s.priority_value_ratio, 1, max_value_ratio});
    schema.add("admission", "reserved_part", common::decimal_setting{&s.reserved_part, 0, 1});
}

gateway::gateway(io::event_loop& loop, io::http_client& client, kv::store& store,
                 const protocol_adapter& adapter, gateway_settings settings)
    : m_loop{loop}, m_client{client}, m_store{store}, m_adapter{adapter},
      m_settings{std::move(settings)}, m_follower{loop, store, adapter, m_settings.common},
      m_load_broadcast{loop, m_settings.common.host, m_settings.common.deployment_token,
                       [this](const std::string& peer, const peer_state& it)
                       { handle_peer_state(peer, it); }},
      m_retry_budget{
          m_settings.retries, {m_settings.common.host, std::random_device{}()}, common::now()},
      m_crash_guard{store, client, adapter, m_follower.evacuated(), m_settings.common.host},
      m_rate_limiter{{}, common::now()},
      m_eligibility{m_follower.targets(), m_follower.evacuated(), m_settings.regions,
                    [this](const fleet::target& it, timestamp now) { return may_send(it, now); }},
      m_success_log{"answered", success_lines_per_second}, m_failure_log{"refused_or_failed",
                                                                         failure_lines_per_second},
      m_server{loop,
               {},
               [this](io::received_request received, io::responder_ptr responder)
               { handle_request(std::move(received), std::move(responder)); }},
      m_admin_server{
          loop,
          {},
          [this](const io::received_request& received, const io::responder_ptr& responder)
          { handle_admin_request(received, *responder); }}
{
    m_crash_guard.on_probe([this](const fleet::target& it) { return may_probe(it, common::now()); },
                           [this](const fleet::target& it, const target_response& head,
                                  timestamp sent_at) { note_cold(it, head, sent_at); });
    if (m_settings.admission_policy == "value")
        m_admission_options.policy = policy::admission_policy::value;
    m_admission_options.value.priority_value_ratio = m_settings.priority_value_ratio;
    m_admission_options.late.reserved_part = m_settings.reserved_part;
}

gateway::~gateway() = default;

void gateway::prepare_servers()
{
    shell::set_host_limits(m_loop, m_settings.common);
    m_server.set_malformed_response(
        m_adapter.error_response({common::result_code::bad_request, ""}));
    m_server.set_memory_full_response(m_adapter.error_response(shell::memory_full_failure()));
    const auto handler =
        [this](const io::received_request& received, const io::responder_ptr& responder)
    { handle_admin_request(received, *responder); };
    m_metrics_server = std::make_unique<io::http_server>(m_loop, io::http_limits{}, handler);
    m_metrics_server->set_internal();
    m_admin_server.set_internal();
}

int gateway::run()
{
    prepare_servers();
    const bool has_addresses = m_server.listen(m_settings.listen) &&
                               m_admin_server.listen(m_settings.ready_listen) &&
                               (m_settings.metrics_listen.empty() ||
                                m_metrics_server->listen(m_settings.metrics_listen)) &&
                               (m_settings.common.control_address.empty() ||
                                m_load_broadcast.start(m_settings.common.control_address));
    if (!has_addresses || !m_follower.start())
    {
        common::log(common::log_level::error, "no_address", {{"address", m_settings.listen}});
        return shell::exit_no_address;
    }
    m_loop.on_signal(SIGTERM, [this] { begin_shutdown(); });
    m_loop.on_signal(SIGINT, [this] { begin_shutdown(); });
    m_settings_follower = std::make_unique<shell::settings_follower>(
        m_loop, shell::settings_path(), [this](const std::string& text) { reload_settings(text); });
    m_follower.on_change([this] { handle_state_change(); });
    for (const auto kind : {quarantine_kind::prompt_part, quarantine_kind::request})
        m_follower.on_entry(std::string{quarantine::prefix_of(kind)},
                            [this, kind](const auto& item, entry_change what)
                            { m_crash_guard.handle_entry(kind, item, what, common::now()); });
    m_tick_timer = m_loop.every(tick_period, [this] { tick(); });
    m_store_calls_timer =
        m_loop.every(store_calls_log_period, [this] { m_store.counts().log_totals(); });
    common::log(
        common::log_level::info, "started",
        {{"address", m_settings.listen}, {"apply_ms", m_settings.common.apply_time.count()}});
    m_loop.run();
    common::log(common::log_level::info, "stopped",
                {{"open_calls", static_cast<std::int64_t>(m_exchanges.size())}});
    return 0;
}

void gateway::handle_peer_state(const std::string& peer, const peer_state& it)
{
    const auto now = common::now();
    for (auto& [service, state] : m_services)
        state.picker.update_peer_loads(peer, it.work, now);
    for (const auto& [id, started_at] : it.draining)
        m_follower.note_draining(id, started_at, peer);
    for (const auto& [id, limit] : it.limits)
        m_follower.note_rate_limit(id, limit, peer);
    for (const auto& [id, notice] : it.cold)
        m_follower.note_cold(id, notice, peer);
    m_rate_limiter.update_peer_sends(peer, it.sends, now);
    m_crash_guard.merge({it.crashes, it.request_crashes}, now);
    if (it.retries)
        m_retry_budget.merge(peer, *it.retries, now);
    report_started_gateway(now);
}

/// A gateway that has started can use the retry budget only once the others have answered it.
void gateway::report_started_gateway(timestamp now)
{
    if (m_retry_budget.has_update() && m_load_broadcast.is_due(m_follower.peers().size(), now))
        broadcast_state(now);
}

void gateway::apply_target_notices(const fleet::target& it, const target_response& head,
                                   timestamp sent_at)
{
    // A target at a reassigned address reports its own state, not that of the expected target.
    if (head.is_misdirected)
        return;
    note_cold(it, head, sent_at);
    if (head.is_draining)
    {
        m_metrics.count("kqg_leaving_answers_total");
        m_follower.note_draining(it.id, it.started_at, {});
    }
    if (head.rate_limit)
        m_metrics.count("kqg_limited_answers_total");
    m_follower.note_rate_limit(it.id, {it.started_at, head.rate_limit, common::now()}, {});
    if (head.busy_for)
    {
        m_metrics.count("kqg_busy_answers_total");
        m_follower.note_busy(it.id, it.started_at, *head.busy_for);
    }
}

bool gateway::is_ready() const
{
    return !m_is_shutting_down && m_can_retry && m_follower.configuration() != nullptr;
}

void gateway::write_metrics(timestamp now)
{
    m_metrics.set("kqg_open_calls", static_cast<std::int64_t>(m_exchanges.size()));
    m_metrics.set("kqg_target_connections",
                  static_cast<std::int64_t>(m_client.connections_opened()));
    m_metrics.set("kqg_target_connections_for_repeats",
                  static_cast<std::int64_t>(m_client.connections_opened_for_exclusion()));
    m_store.counts().write_metrics(m_metrics);
    m_loop.memory().write_metrics(m_metrics);
    m_follower.write_metrics(m_metrics, now);
    m_load_broadcast.write_metrics(m_metrics, now);
    m_crash_guard.write_metrics(m_metrics);
    write_placement_metrics();
    m_metrics.set("kqg_limited_targets", static_cast<std::int64_t>(targets().limited().size()));
    write_cold_metrics(now);
    for (const auto& it : m_services)
    {
        const auto& name = it.first;
        const auto& state = it.second;
        const auto set = [&](std::string_view what, std::int64_t value)
        { m_metrics.set(common::concat(what, "{service=\"", name, "\"}"), value); };
        set("kqg_calls_waiting", static_cast<std::int64_t>(state.queue.size()));
        write_admission_metrics(name, state, now);
        const auto retries = m_retry_budget.state(name, now);
        set("kqg_retries_in_window", retries.retries);
        set("kqg_retries_left", static_cast<std::int64_t>(retries.left()));
        set("kqg_retries_known_ms", retries.known.count());
        set("kqg_service_held", now < state.paused_until ? 1 : 0);
        if (!state.latency.has_engine())
            continue;
        set("kqg_predicted_first_event_ms", state.latency.time_to_first_event().count());
        set("kqg_measured_over_predicted_pass_thousandths",
            static_cast<std::int64_t>(state.latency.pass_time_ratio() * per_thousand));
    }
}

void gateway::handle_admin_request(const io::received_request& received, io::responder& responder)
{
    write_metrics(common::now());
    if (!shell::answer_admin_request(received.request, responder, is_ready(), m_metrics))
        responder.reply(m_adapter.error_response({common::result_code::not_found, ""}));
}

void gateway::handle_request(io::received_request received, io::responder_ptr responder)
{
    const auto id = m_next_exchange++;
    auto it = std::make_shared<exchange>(*this, id, std::move(received), std::move(responder));
    m_exchanges.emplace(id, it);
    it->start();
}

void gateway::remove(const exchange& it)
{
    // Deferred, since one of the exchange's own functions may be running.
    m_loop.defer([this, id = it.number()] { m_exchanges.erase(id); });
}

/// False for a queued call whose prompt may crash its target.
bool gateway::may_start(std::uint64_t id, timestamp now) const
{
    const auto found = m_exchanges.find(id);
    if (found == m_exchanges.end())
        return true;
    const auto& marks = found->second->marks();
    const auto verdict = m_crash_guard.judge(marks);
    return verdict == policy::part_verdict::clear ||
           (verdict == policy::part_verdict::suspect && is_own_trial_turn(marks, now));
}

/// Gateways take turns with suspect calls in the order of their names.
bool gateway::is_own_trial_turn(const call_marks& marks, timestamp now) const
{
    const auto& peers = m_follower.peers();
    const auto index = std::ranges::count_if(peers, [&](const auto& it)
                                             { return it.name < m_settings.common.host; });
    return m_crash_guard.is_own_turn(marks, static_cast<std::size_t>(index), peers.size() + 1, now);
}

/// True for a queued call that only targets in one of these sets of regions may serve.
bool gateway::is_limited_to(const std::vector<fleet::permitted_regions>& sets,
                            std::uint64_t id) const
{
    if (sets.empty())
        return false;
    const auto found = m_exchanges.find(id);
    return found != m_exchanges.end() &&
           std::ranges::find(sets, found->second->regions()) != sets.end();
}

void gateway::dispatch(const std::string& name)
{
    auto& state = service(name);
    const auto now = common::now();
    if (holds_calls(now))
        return;
    refuse_unreachable_deadlines(name, state, now);
    std::set<std::uint64_t> unplaced;
    // Regions in which no target has a free slot, from calls that exclude no target.
    std::vector<fleet::permitted_regions> full;
    while (now >= state.paused_until)
    {
        if (state.is_recovering && !state.picker.own_loads().empty())
            return;
        const auto id = state.queue.next(
            now, [&](std::uint64_t it)
            { return !unplaced.contains(it) && !is_limited_to(full, it) && may_start(it, now); });
        if (!id)
            return;
        const auto found = m_exchanges.find(*id);
        if (found == m_exchanges.end())
        {
            state.queue.remove(*id);
            continue;
        }
        const auto it = found->second;
        const auto target = pick_target(name, state, *it, now);
        if (target.empty())
        {
            if (it->excluded_targets().empty() && !it->regions().is_restricted())
                return;
            // Other calls may use a slot of the targets that this one excludes or must not use.
            if (it->excluded_targets().empty())
                full.push_back(it->regions());
            unplaced.insert(*id);
            continue;
        }
        if (!it->leave_target(now))
            continue;
        state.queue.started(*id, now);
        state.gap_goal = it->gap_goal();
        m_crash_guard.record_sent(it->marks(), now);
        m_rate_limiter.record_send(target, now);
        it->send_to(*targets().find_usable(target, now));
    }
}

/// A gateway whose retries are still refused would fail calls that it can retry shortly after.
void gateway::update_readiness(timestamp now)
{
    if (m_can_retry || !m_follower.configuration())
        return;
    m_configured_at = m_configured_at.value_or(now);
    m_can_retry = m_retry_budget.has_settled(*m_configured_at, now);
}

void gateway::tick()
{
    const auto now = common::now();
    if (!note_tick(now))
        return;
    update_readiness(now);
    m_crash_guard.tick(targets(), now, random(),
                       policy::load_broadcast_interval(m_follower.peers().size()));
    update_send_limits(now);
    for (auto& [name, state] : m_services)
    {
        for (const auto id : state.queue.take_expired(now))
        {
            if (const auto it = m_exchanges.find(id); it != m_exchanges.end())
                it->second->handle_not_started(common::result_code::deadline_unreachable);
        }
        update_queue_halt(name, state, now);
        update_latency_model(name, state, now);
        update_admission(name, state, now);
        if (!state.queue.empty())
            dispatch(name);
        refuse_by_prediction(state, now);
    }
    refuse_unplaceable_calls(now);
    const auto open = m_exchanges;
    for (const auto& [id, it] : open)
        it->check_timeouts(now);
    m_success_log.report(now);
    m_failure_log.report(now);
    m_loop.memory().reclaim(now);
    if (m_load_broadcast.is_due(m_follower.peers().size(), now))
        broadcast_state(now);
}

void gateway::broadcast_state(timestamp now)
{
    auto evidence = m_crash_guard.to_broadcast(now);
    peer_state own{.work = {},
                   .draining = targets().draining_to_broadcast(now),
                   .crashes = std::move(evidence.parts),
                   .limits = {},
                   .sends = m_rate_limiter.to_broadcast(limited_rates(now), now),
                   .request_crashes = std::move(evidence.requests),
                   .retries = m_retry_budget.next_report(now)};
    // Each answer of a target confirms its limit, which is no reason to send all limits again.
    if (now - m_limits_sent_at >= limits_broadcast_period)
        own.limits = targets().limits_to_broadcast(now);
    for (const auto& [name, state] : m_services)
        own.work.insert(state.picker.own_loads().begin(), state.picker.own_loads().end());
    add_cold(own, now);
    if (m_load_broadcast.send(m_follower.peers(), own, now) && !own.limits.empty())
        m_limits_sent_at = now;
}

/// Refuses queued calls whose deadline passes before any target accepts work again.
void gateway::refuse_unreachable_deadlines(const std::string& name, service_state& state,
                                           timestamp now)
{
    const auto available_at = m_eligibility.available_from(name, {}, now);
    if (!available_at)
        return;
    for (const auto id : state.queue.take_unservable(*available_at))
    {
        if (const auto it = m_exchanges.find(id); it != m_exchanges.end())
            it->second->handle_not_started(common::result_code::deadline_unreachable);
    }
}

double gateway::usual_start_rate(const std::string& name, const fleet::permitted_regions& regions,
                                 timestamp now)
{
    const auto response_time = service(name).picker.mean_response_time();
    if (response_time.count() == 0)
        return 0;
    const std::chrono::duration<double> seconds = response_time;
    return static_cast<double>(m_eligibility.slots(name, regions, now)) / seconds.count() /
           static_cast<double>(m_follower.peers().size() + 1);
}

/// Halts a service's queue while its group has a failed member, and resumes it once the group
/// serves again or its streams have stopped stalling.
void gateway::update_queue_halt(const std::string& name, service_state& state, timestamp now)
{
    const bool is_group_recovering = state.is_recovering || now < state.paused_until;
    const bool is_stalled = state.latency.has_engine() && !state.stalls.is_progressing(now);
    if (is_group_recovering)
    {
        state.queue.halt(slots_of(name, now) / (m_follower.peers().size() + 1));
    }
    const bool was_halted = std::exchange(state.is_halted, is_group_recovering || is_stalled);
    if (was_halted && !state.is_halted)
        state.queue.resume(now);
}

/// Updates the service's latency model from the event gaps since the last tick, at the mean number
/// of streams per target.
void gateway::update_latency_model(const std::string& name, service_state& state, timestamp now)
{
    if (!state.latency.has_engine())
        return;
    const auto all = m_eligibility.eligible(name, {}, now);
    if (all.empty())
        return;
    const auto streams = std::accumulate(all.begin(), all.end(), 0.0,
                                         [&](double sum, const auto* it)
                                         { return sum + state.picker.load(it->id, now); });
    state.latency.tick(streams / static_cast<double>(all.size()));
}

void gateway::handle_state_change()
{
    std::set<std::string> peers;
    std::ranges::transform(m_follower.peers(), std::inserter(peers, peers.end()),
                           [](const auto& it) { return it.name; });
    m_retry_budget.set_peers(std::move(peers));
    if (m_follower.is_first_start())
        m_retry_budget.set_all_known(common::now());
    report_started_gateway(common::now());
    if (const auto c = configuration())
    {
        m_server.set_limits(to_http_limits(c->limits));
        for (const auto& [name, it] : c->services)
        {
            if (it.engine)
                service(name).latency.set_engine(*it.engine);
        }
    }
    handle_evacuation_change(common::now());
    refuse_unplaceable_calls(common::now());
    for (const auto& [name, state] : m_services)
    {
        if (!state.queue.empty())
            dispatch(name);
    }
}

void gateway::reload_settings(const std::string& text)
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
    m_retry_budget.set_limits(m_settings.retries);
}

} // namespace kumquatgap::gateway
