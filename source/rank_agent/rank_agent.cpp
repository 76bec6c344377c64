#include "rank_agent/rank_agent.hpp"

#include "common/log.hpp"
#include "common/text.hpp"
#include "rank_agent/instance_id.hpp"

#include <array>
#include <csignal>

namespace kumquatgap::rank_agent
{

using common::milliseconds;
using common::timestamp;

namespace
{

/// Interval of the agent's periodic work, at rest and during a switch, when the group may be held
/// and the next switch waits for this one. A rank on the same host answers in 2 to 4 ms.
constexpr milliseconds tick_period{25};
constexpr milliseconds switch_tick_period{10};
/// Interval of requests for the rank's report at rest; in a switch it is requested at each tick.
constexpr milliseconds report_period{250};
/// An unchanged status is sent again after this, at rest and during a switch.
constexpr milliseconds rest_status_period{500};
constexpr milliseconds switch_status_period{100};
constexpr milliseconds rank_timeout{1000};
constexpr milliseconds store_calls_log_period{30'000};
/// Interval between reads of the operators' configuration until it has the engine profile.
constexpr milliseconds engine_profile_period{1000};
/// On shutdown, a controller first finishes its switch, for up to this long.
constexpr milliseconds max_shutdown_time{3000};

/// Settings that take effect on reload; the others need a restart.
constexpr auto s_reloadable = std::to_array<std::string_view>({"process.log_level"});

io::call_options rank_call_options(milliseconds timeout)
{
    return {.connect_timeout = timeout,
            .silence_timeout = timeout,
            .total_timeout = timeout,
            .max_collected_bytes = max_rank_response_bytes};
}

} // namespace

void add_settings(common::settings_schema& schema, rank_agent_settings& s)
{
    shell::add_common_settings(schema, s.common);
    schema.add("rank", "target", common::address_setting{&s.target});
    schema.add("rank", "service", common::text_setting{&s.service});
    schema.add("rank", "checks_fences", common::flag_setting{&s.checks_fences});
    schema.add("rank", "metrics_listen", common::address_setting{&s.metrics_listen, false});
    constexpr double slowest_mbps = 0.1;
    constexpr double fastest_mbps = 1e6;
    schema.add("control", "link_mbps",
               common::decimal_setting{&s.link_mbps, slowest_mbps, fastest_mbps});
}

rank_agent::rank_agent(io::event_loop& loop, io::http_client& client, kv::store& store,
                       const rank_protocol_adapter& adapter, rank_agent_settings settings)
    : m_loop{loop}, m_client{client}, m_adapter{adapter}, m_settings{std::move(settings)},
      m_driver{random_instance_id(), common::now(), m_settings.checks_fences},
      m_rank{client, adapter, m_settings.target}, m_orders{m_rank, adapter, "order_sent"},
      m_slowdown_publisher{store, m_settings.target}, m_store{store},
      m_messenger{loop, m_settings.common.control_address, m_settings.common.deployment_token,
                  link(),
                  [this](const experts::agent_message& m)
                  { std::visit([this](const auto& it) { handle(it); }, m); }},
      m_selection_reporter{link()},
      m_metrics_server{
          loop,
          {},
          [this](const io::received_request& received, const io::responder_ptr& responder)
          {
              write_metrics(common::now());
              if (!shell::answer_admin_request(received.request, *responder, true, m_metrics))
                  responder->reply({404, {}, ""});
          }}
{
}

rank_agent::~rank_agent() = default;

int rank_agent::run()
{
    shell::set_host_limits(m_loop, m_settings.common);
    m_metrics_server.set_memory_full_response(shell::to_response(shell::memory_full_failure()));
    const bool has_addresses =
        m_messenger.listen() &&
        (m_settings.metrics_listen.empty() || m_metrics_server.listen(m_settings.metrics_listen));
    if (!has_addresses)
    {
        common::log(common::log_level::error, "no_address",
                    {{"address", m_settings.common.control_address}});
        return shell::exit_no_address;
    }
    m_loop.on_signal(SIGTERM, [this] { begin_shutdown(); });
    m_loop.on_signal(SIGINT, [this] { begin_shutdown(); });
    m_settings_follower = std::make_unique<shell::settings_follower>(
        m_loop, shell::settings_path(), [this](const std::string& text) { read_settings(text); });
    tick();
    m_store_calls_timer =
        m_loop.every(store_calls_log_period, [this] { m_store.counts().log_totals(); });
    common::log(common::log_level::info, "started", {{"target", m_settings.target}});
    m_loop.run();
    common::log(common::log_level::info, "stopped");
    return 0;
}

void rank_agent::read_settings(const std::string& text)
{
    const auto changed = shell::read_changed(text, m_settings, &add_settings, s_reloadable);
    if (!changed)
        return;
    if (!common::set_log_level(changed->common.log_level))
        common::log(common::log_level::error, "log_level_unknown",
                    {{"level", changed->common.log_level}});
    m_settings.common.log_level = changed->common.log_level;
}

/// Each group of a service has its own controller and lease. State of the previous group is not
/// valid in the new one.
void rank_agent::join_group(const std::string& name)
{
    common::log(common::log_level::info, "group_joined", {{"group", name}, {"left", m_group}});
    m_group = name;
    m_view = {};
    m_selection_reporter.clear();
    m_remote_drivers.clear();
    m_controller.reset();
    if (m_leadership)
    {
        m_leadership->stop();
        m_former_leaderships.push_back(std::move(m_leadership));
        m_driver = {random_instance_id(), common::now(), m_settings.checks_fences};
    }
    m_leadership = std::make_unique<leadership>(
        m_loop, m_store, common::concat("kqg/groups/", m_settings.service, "/", name),
        m_settings.common.control_address, m_view);
    m_leadership->start();
}

experts::link_budget rank_agent::link() const
{
    constexpr double bytes_per_s_of_mbps = 1e6 / 8;
    return {.bytes_per_s = m_settings.link_mbps * bytes_per_s_of_mbps};
}

void rank_agent::handle(const experts::status_message& m)
{
    if (!m_controller)
        return;
    // The rank's own agent is active again.
    m_remote_drivers.erase(m.status.report.rank);
    const auto now = common::now();
    m_controller->handle(m, now);
    // The group may be held during a switch, and the next switch waits for this one, so the switch
    // advances now instead of at the next tick.
    advance_switch(now);
}

void rank_agent::handle(const experts::rank_experts_message& m)
{
    if (m_controller)
        m_controller->handle(m);
}

/// Received by the controller, or by the relay of a block, which forwards the sum.
void rank_agent::handle(const experts::selection_counts_message& m)
{
    if (m_controller)
        return m_controller->handle(m, common::now());
    if (m.group == m_group)
        m_selection_reporter.add(m);
}

void rank_agent::handle(const experts::beacon_message& m)
{
    if (m.group != m_group || !m_view.handle(m, common::now()) || !m_driver.has_report())
        return;
    const auto& r = m_driver.report();
    if (m.forward_to_block)
    {
        auto forwarded = m;
        forwarded.forward_to_block = false;
        const auto block = m_view.block_addresses(r.rank);
        std::ranges::for_each(block, [&](const auto& it) { m_messenger.send(it, forwarded); });
    }
    if (m.epoch == r.epoch && m.known_map_version != r.version)
        send_local_experts();
}

/// The controller may have assembled the map in effect from the ranks' experts, in a different
/// order than this agent's copy. The status reports to the controller that this agent lacks the
/// map, so that it sends the full map.
void rank_agent::discard_base_map(const experts::map_delta& delta, experts::map_version version)
{
    common::log(common::log_level::info, "map_base_unknown",
                {{"version", version}, {"base", delta.base}});
    m_map_cache.erase(delta.base);
    if (m_driver.has_report())
        send_status(common::now());
}

void rank_agent::handle(const experts::directive_message& m)
{
    m_messenger.forward(m);
    auto directive = m.body;
    if (m.delta)
    {
        const auto base = m_map_cache.find(directive.epoch, m.delta->base);
        auto map = base ? experts::apply_delta(*base, *m.delta) : std::nullopt;
        if (!map)
            return discard_base_map(*m.delta, directive.version);
        directive.map = std::make_shared<const experts::expert_map>(std::move(*map));
    }
    if (directive.map)
        m_map_cache.put(directive.epoch, directive.version, directive.map);
    const auto previous_number = m_driver.current().number;
    m_driver.handle(directive);
    if (m_driver.current().number != previous_number)
        request_report();
}

void rank_agent::request_report()
{
    // Replaces a pending request: a report requested before the latest directive or order might be
    // older than it.
    m_report_requested_at = common::now();
    m_report_call = m_rank.send(
        m_adapter.report_request(),
        [this](io::call_outcome how, const io::http_response& response)
        {
            const auto call = std::move(m_report_call);
            if (how == io::call_outcome::complete)
                on_report(m_adapter.read_report(response));
        },
        rank_call_options(rank_timeout));
}

void rank_agent::on_report(const std::optional<experts::rank_report>& r)
{
    if (!r)
        return;
    if (r->group != m_group)
        join_group(r->group);
    m_driver.handle(*r);
    if (r->version != m_local_experts.version || r->epoch != m_local_experts_epoch)
        request_local_experts();
    send_due_order();
    send_status(common::now());
    m_slowdown_publisher.update(r->slowdown, common::now());
}

/// Sends the rank's status to the controller if it has changed, and otherwise periodically.
void rank_agent::send_status(timestamp now)
{
    const auto leader = m_view.leader();
    if (leader.empty())
        return;
    const auto status = m_driver.status(now);
    const bool is_at_rest = m_driver.current().phase == experts::switch_phase::rest;
    const auto period = is_at_rest ? rest_status_period : switch_status_period;
    const auto known_map_version =
        m_map_cache.known_version(status.report.epoch, status.report.version);
    const bool has_changed = leader != m_status_recipient ||
                             known_map_version != m_sent_known_map_version ||
                             experts::differ(status, m_sent_status);
    if (!has_changed && now - m_status_sent_at < period)
        return;
    // A controller that starts with the whole group has no map until the ranks send their experts.
    if (leader != m_status_recipient && known_map_version == experts::map_cache::unknown)
        send_local_experts();
    m_status_recipient = leader;
    m_sent_status = status;
    m_sent_known_map_version = known_map_version;
    m_status_sent_at = now;
    m_messenger.send(leader, experts::status_message{m_settings.common.control_address,
                                                     m_settings.target, status, known_map_version});
}

void rank_agent::send_due_order()
{
    const auto order = m_driver.next_order(common::now());
    if (!order)
        return;
    m_orders.send(*order, m_order_timer.timeout(),
                  [this](experts::order_outcome end, std::optional<milliseconds> response_time)
                  {
                      if (response_time)
                          m_order_timer.answered(*response_time);
                      else
                          m_order_timer.lost();
                      m_driver.order_ended(end, common::now());
                      request_report();
                  });
}

void rank_agent::request_local_experts()
{
    if (m_local_experts_call)
        return;
    m_local_experts_call = m_rank.send(
        m_adapter.rank_experts_request(),
        [this](io::call_outcome how, const io::http_response& response)
        {
            const auto call = std::move(m_local_experts_call);
            if (how != io::call_outcome::complete || !m_driver.has_report())
                return;
            if (auto local_experts = m_adapter.read_rank_experts(response))
            {
                m_local_experts = std::move(*local_experts);
                m_local_experts_epoch = m_driver.report().epoch;
                cache_initial_map();
                if (m_map_cache.known_version(m_local_experts_epoch, m_local_experts.version) ==
                    experts::map_cache::unknown)
                    send_local_experts();
            }
        },
        rank_call_options(rank_timeout));
}

void rank_agent::request_selection_totals()
{
    m_totals_requested_at = common::now();
    m_totals_call = m_rank.send(
        m_adapter.selection_totals_request(),
        [this](io::call_outcome how, const io::http_response& response)
        {
            const auto call = std::move(m_totals_call);
            if (how != io::call_outcome::complete)
                return;
            if (const auto counts = m_adapter.read_selection_totals(response))
                on_selection_totals(*counts);
        },
        rank_call_options(rank_timeout));
}

void rank_agent::cache_initial_map()
{
    const auto& r = m_driver.report();
    if (m_local_experts_epoch != r.epoch || m_map_cache.find(r.epoch, 0))
        return;
    if (auto map = m_selection_reporter.initial_map(r, m_local_experts))
        m_map_cache.put(r.epoch, 0, std::move(map));
}

void rank_agent::send_local_experts()
{
    const auto& r = m_driver.report();
    if (m_local_experts_epoch == r.epoch && m_local_experts.version == r.version &&
        !m_view.leader().empty())
        m_messenger.send(m_view.leader(), experts::rank_experts_message{r.group, r.epoch, r.rank,
                                                                        m_local_experts.version,
                                                                        m_local_experts.sets});
}

void rank_agent::on_selection_totals(const selection_totals& counts)
{
    m_selection_reporter.add_reading(counts, m_local_experts.sets.size());
    if (!m_driver.has_report())
        return;
    cache_initial_map();
    const auto& r = m_driver.report();
    if (const auto m = m_selection_reporter.take_due(r, m_view, common::now()))
        m_messenger.send(m_view.counts_destination(r.rank), *m);
}

/// Reads the engine profile that the operators publish for the group.
void rank_agent::request_engine_profile(timestamp now)
{
    m_engine_requested_at = now;
    m_store.get(m_adapter.configuration_key(),
                [this](const auto& response)
                {
                    if (!response || !response.value() || !m_controller)
                        return;
                    const auto c = m_adapter.read_configuration(response.value()->value);
                    if (!c || !c->services.contains(m_settings.service))
                        return;
                    if (const auto& engine = c->services.at(m_settings.service).engine)
                        m_controller->set_engine(*engine);
                });
}

void rank_agent::run_controller(timestamp now)
{
    if (!m_leadership)
        return;
    if (m_controller && m_controller->is_lease_exhausted())
        m_leadership->resign();
    const auto token = m_leadership->token(now);
    if (!token || (m_controller && m_controller->token() != *token))
    {
        m_remote_drivers.clear();
        m_controller.reset();
    }
    if (!token)
        return;
    if (!m_controller)
    {
        m_controller = std::make_unique<group_controller>(
            m_group, *token,
            controller_options{.link = link(), .address = m_settings.common.control_address});
        m_controller->set_previous_addresses(m_view.addresses());
    }
    if (!m_controller->has_engine() && now - m_engine_requested_at >= engine_profile_period)
        request_engine_profile(now);
    // An agent that shuts down finishes its switch but holds no further pass.
    m_controller->set_lease_end(m_shutting_down ? now : m_leadership->valid_until());
    for (const auto& it : m_controller->take_due_beacons(now))
        m_messenger.send(it.address, it.message);
    advance_switch(now);
    take_over_silent_agents(now);
}

void rank_agent::advance_switch(timestamp now)
{
    m_controller->tick(now);
    if (m_controller->current().phase == experts::switch_phase::rest)
        m_remote_drivers.clear();
    for (const auto& it : m_controller->take_due_directives(now))
        m_messenger.send(it.address, it.message);
}

/// A frozen agent would keep the group held until it resumes, so the controller drives its rank
/// remotely.
void rank_agent::take_over_silent_agents(timestamp now)
{
    const auto ranks = m_settings.checks_fences ? m_controller->ranks_to_take_over(now)
                                                : std::vector<experts::rank_number>{};
    for (const auto rank : ranks)
    {
        const auto target = m_controller->target_of(rank);
        if (m_remote_drivers.contains(rank) || target.empty())
            continue;
        common::log(common::log_level::warn, "agent_silent", {{"rank", rank}, {"target", target}});
        const auto on_status = [this](const experts::rank_status& s)
        {
            if (m_controller)
                m_controller->handle(s, common::now());
        };
        m_remote_drivers.emplace(
            rank, std::make_unique<remote_rank_driver>(m_client, m_adapter, target, on_status));
    }
    for (const auto& [rank, it] : m_remote_drivers)
    {
        it->handle(m_controller->directive_for(rank));
        it->tick(now);
    }
}

void rank_agent::write_metrics(timestamp now)
{
    m_store.counts().write_metrics(m_metrics);
    m_loop.memory().write_metrics(m_metrics);
    m_metrics.set("kqg_leads", m_controller ? 1 : 0);
    m_metrics.set("kqg_control_bytes", static_cast<std::int64_t>(m_messenger.bytes()));
    m_metrics.set("kqg_switch_phase", static_cast<std::int64_t>(m_driver.current().phase));
    if (m_controller)
        m_metrics.set("kqg_skew_thousandths", m_controller->skew_thousandths());
    if (!m_driver.has_report())
        return;
    m_metrics.set("kqg_map_version", m_driver.report().version);
    m_metrics.set("kqg_group_epoch", m_driver.report().epoch);
    m_metrics.set("kqg_report_age_ms", (now - m_report_requested_at).count());
}

void rank_agent::tick()
{
    const auto now = common::now();
    run_controller(now);
    const bool is_armed = m_driver.has_report() && m_driver.report().armed;
    const bool is_at_rest = m_driver.current().phase == experts::switch_phase::rest && !is_armed;
    m_tick_timer = m_loop.after(is_at_rest ? tick_period : switch_tick_period, [this] { tick(); });
    const auto period = is_at_rest ? report_period : switch_tick_period;
    if (!m_report_call && !m_orders.is_busy() && now - m_report_requested_at >= period)
        request_report();
    if (!m_totals_call && now - m_totals_requested_at >= experts::min_counts_interval)
        request_selection_totals();
    if (m_shutting_down && (!m_controller || m_controller->may_stop(now) ||
                            now - m_shutdown_began_at > max_shutdown_time))
        m_loop.stop();
}

void rank_agent::begin_shutdown()
{
    if (std::exchange(m_shutting_down, true))
        return;
    m_shutdown_began_at = common::now();
    common::log(common::log_level::info, "shutdown_begun");
}

} // namespace kumquatgap::rank_agent
