#include "rank_agent/rank_agent.hpp"

#include "common/log.hpp"
#include "common/text.hpp"
#include "rank_agent/agent_number.hpp"

#include <array>
#include <csignal>

namespace kumquatgap::rank_agent
{

using common::milliseconds;
using common::timestamp;

namespace
{

/// How often the agent looks at what is due at rest and in a switch, where the group may stand and
/// the next switch waits for this one. A rank on the same host answers in 2 to 4 ms.
constexpr milliseconds tick_period{25};
constexpr milliseconds switch_tick_period{10};
/// How often the rank is asked for its state at rest; in a switch it is asked at each tick.
constexpr milliseconds report_period{250};
/// A state that has not changed is told again after this, at rest and in a switch.
constexpr milliseconds rest_status_period{500};
constexpr milliseconds switch_status_period{100};
constexpr milliseconds rank_timeout{1000};
constexpr milliseconds store_calls_line_period{30'000};
/// How often the operators' configuration is read until it names the group's engines.
constexpr milliseconds engine_period{1000};
/// A controller that is told to stop ends its switch first, for up to this long.
constexpr milliseconds longest_shutdown{3000};

/// Settings that are used as soon as they change; the others need a new start.
constexpr auto s_reloadable = std::to_array<std::string_view>({"process.log_level"});

io::call_options to_rank(milliseconds timeout)
{
    return {.connect_timeout = timeout,
            .silence_timeout = timeout,
            .whole_timeout = timeout,
            .most_body_bytes = most_rank_answer_bytes};
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
                       const rank_wire& names, rank_agent_settings settings)
    : m_loop{loop}, m_client{client}, m_wire{names}, m_settings{std::move(settings)},
      m_driver{draw_agent_number(), common::now(), m_settings.checks_fences},
      m_orders{client, names, m_settings.target, "order_sent"}, m_pace_notice{store,
                                                                              m_settings.target},
      m_store{store}, m_messenger{loop, m_settings.common.control_address,
                                  m_settings.common.deployment_token, link(),
                                  [this](const experts::agent_message& m)
                                  { std::visit([this](const auto& it) { take(it); }, m); }},
      m_choices{link()}, m_metrics_server{loop,
                                          {},
                                          [this](const io::received_request& received,
                                                 const io::responder_ptr& answer)
                                          {
                                              write_metrics(common::now());
                                              if (!shell::answer_admin_request(
                                                      received.request, *answer, true, m_metrics))
                                                  answer->reply({404, {}, ""});
                                          }}
{
}

rank_agent::~rank_agent() = default;

int rank_agent::run()
{
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
        m_loop.every(store_calls_line_period, [this] { m_store.counts().write_line(); });
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

/// Each group of a service has a controller and a lease of its own. What was decided in another
/// group means nothing here.
void rank_agent::join_group(const std::string& name)
{
    common::log(common::log_level::info, "group_joined", {{"group", name}, {"left", m_group}});
    m_group = name;
    m_view = {};
    m_choices.clear();
    m_remote_ranks.clear();
    m_controller.reset();
    if (m_leadership)
    {
        m_leadership->stop();
        m_left_groups.push_back(std::move(m_leadership));
        m_driver = {draw_agent_number(), common::now(), m_settings.checks_fences};
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

void rank_agent::take(const experts::status_message& m)
{
    if (!m_controller)
        return;
    // The rank's own agent is back.
    m_remote_ranks.erase(m.status.report.rank);
    const auto now = common::now();
    m_controller->take(m, now);
    // The group may stand while a switch is under way, and the next one waits for its end, so no
    // time is lost until the next tick.
    move_switch_on(now);
}

void rank_agent::take(const experts::held_message& m)
{
    if (m_controller)
        m_controller->take(m);
}

/// For the controller, or for the relay of a block, which sends the sum on.
void rank_agent::take(const experts::choices_message& m)
{
    if (m_controller)
        return m_controller->take(m, common::now());
    if (m.group == m_group)
        m_choices.take(m);
}

void rank_agent::take(const experts::beacon_message& m)
{
    if (m.group != m_group || !m_view.take(m, common::now()) || !m_driver.has_report())
        return;
    const auto& r = m_driver.report();
    if (m.is_for_block)
    {
        auto passed_on = m;
        passed_on.is_for_block = false;
        const auto block = m_view.block_addresses(r.rank);
        std::ranges::for_each(block, [&](const auto& it) { m_messenger.send(it, passed_on); });
    }
    if (m.epoch == r.epoch && m.known_map != r.version)
        tell_held();
}

/// The controller knows the map in force by another way than this agent, with the experts in
/// another order perhaps, so it is told that this agent does not have it, and sends the whole map.
void rank_agent::give_up_base(const experts::map_changes& changes, experts::map_version version)
{
    common::log(common::log_level::info, "map_base_unknown",
                {{"version", version}, {"base", changes.base}});
    m_maps.forget(changes.base);
    if (m_driver.has_report())
        tell_status(common::now());
}

void rank_agent::take(const experts::directive_message& m)
{
    m_messenger.pass_on(m);
    auto what = m.what;
    if (m.changes)
    {
        const auto base = m_maps.find(what.epoch, m.changes->base);
        auto map = base ? experts::applied(*base, *m.changes) : std::nullopt;
        if (!map)
            return give_up_base(*m.changes, what.version);
        what.map = std::make_shared<const experts::expert_map>(std::move(*map));
    }
    if (what.map)
        m_maps.put(what.epoch, what.version, what.map);
    const auto before = m_driver.current().number;
    m_driver.take(what);
    if (m_driver.current().number != before)
        read_report();
}

void rank_agent::read_report()
{
    // A report that was asked for before the last news might be older than it.
    m_report_asked = common::now();
    m_report_call = m_client.send(m_settings.target, m_wire.report_request(),
                                  {.on_end =
                                       [this](io::call_end how, const io::http_answer& answer)
                                   {
                                       const auto call = std::move(m_report_call);
                                       if (how == io::call_end::complete)
                                           report_read(m_wire.read_report(answer));
                                   }},
                                  to_rank(rank_timeout));
}

void rank_agent::report_read(const std::optional<experts::rank_report>& r)
{
    if (!r)
        return;
    if (r->group != m_group)
        join_group(r->group);
    m_driver.take(*r);
    if (r->version != m_held.version || r->epoch != m_held_epoch)
        read_held();
    carry_out_order();
    tell_status(common::now());
    m_pace_notice.update(r->pace, common::now());
}

/// Tells the controller of the rank's state when that has changed, and else from time to time.
void rank_agent::tell_status(timestamp now)
{
    const auto leader = m_view.leader();
    if (leader.empty())
        return;
    const auto status = m_driver.status(now);
    const bool is_at_rest = m_driver.current().phase == experts::switch_phase::rest;
    const auto period = is_at_rest ? rest_status_period : switch_status_period;
    const auto known_map = m_maps.known(status.report.epoch, status.report.version);
    const bool is_news = leader != m_told_leader || known_map != m_told_known_map ||
                         experts::differ(status, m_told_status);
    if (!is_news && now - m_status_told < period)
        return;
    // A controller that starts anew with the whole group knows no map before the ranks tell it.
    if (leader != m_told_leader && known_map == experts::map_archive::unknown)
        tell_held();
    m_told_leader = leader;
    m_told_status = status;
    m_told_known_map = known_map;
    m_status_told = now;
    m_messenger.send(leader, experts::status_message{m_settings.common.control_address,
                                                     m_settings.target, status, known_map});
}

void rank_agent::carry_out_order()
{
    const auto order = m_driver.next_order(common::now());
    if (!order)
        return;
    m_orders.send(*order, m_order_timer.timeout(),
                  [this](experts::order_end end, std::optional<milliseconds> answered_after)
                  {
                      if (answered_after)
                          m_order_timer.answered(*answered_after);
                      else
                          m_order_timer.lost();
                      m_driver.order_ended(end, common::now());
                      read_report();
                  });
}

void rank_agent::read_held()
{
    if (m_held_call)
        return;
    m_held_call = m_client.send(m_settings.target, m_wire.held_request(),
                                {.on_end =
                                     [this](io::call_end how, const io::http_answer& answer)
                                 {
                                     const auto call = std::move(m_held_call);
                                     if (how != io::call_end::complete || !m_driver.has_report())
                                         return;
                                     if (auto held = m_wire.read_held(answer))
                                     {
                                         m_held = std::move(*held);
                                         m_held_epoch = m_driver.report().epoch;
                                         note_first_map();
                                         if (m_maps.known(m_held_epoch, m_held.version) ==
                                             experts::map_archive::unknown)
                                             tell_held();
                                     }
                                 }},
                                to_rank(rank_timeout));
}

void rank_agent::read_choices()
{
    m_choices_asked = common::now();
    m_choices_call = m_client.send(m_settings.target, m_wire.choices_request(),
                                   {.on_end =
                                        [this](io::call_end how, const io::http_answer& answer)
                                    {
                                        const auto call = std::move(m_choices_call);
                                        if (how != io::call_end::complete)
                                            return;
                                        if (const auto counts = m_wire.read_choices(answer))
                                            choices_read(*counts);
                                    }},
                                   to_rank(rank_timeout));
}

void rank_agent::note_first_map()
{
    const auto& r = m_driver.report();
    if (m_held_epoch != r.epoch || m_maps.find(r.epoch, 0))
        return;
    if (auto map = m_choices.first_map(r, m_held))
        m_maps.put(r.epoch, 0, std::move(map));
}

void rank_agent::tell_held()
{
    const auto& r = m_driver.report();
    if (m_held_epoch == r.epoch && m_held.version == r.version && !m_view.leader().empty())
        m_messenger.send(m_view.leader(), experts::held_message{r.group, r.epoch, r.rank,
                                                                m_held.version, m_held.sets});
}

void rank_agent::choices_read(const choice_counts& counts)
{
    m_choices.take(counts, m_held.sets.size());
    if (!m_driver.has_report())
        return;
    note_first_map();
    const auto& r = m_driver.report();
    if (const auto m = m_choices.due(r, m_view, common::now()))
        m_messenger.send(m_view.choices_address(r.rank), *m);
}

/// Reads what the operators publish of the group's engines.
void rank_agent::read_engine(timestamp now)
{
    m_engine_asked = now;
    m_store.get(m_wire.configuration_key(),
                [this](const auto& answer)
                {
                    if (!answer || !answer.value() || !m_controller)
                        return;
                    const auto c = m_wire.read_configuration(answer.value()->value);
                    if (!c || !c->services.contains(m_settings.service))
                        return;
                    if (const auto& engine = c->services.at(m_settings.service).engine)
                        m_controller->set_engine(*engine);
                });
}

void rank_agent::lead(timestamp now)
{
    if (!m_leadership)
        return;
    if (m_controller && m_controller->is_used_up())
        m_leadership->give_up();
    const auto token = m_leadership->token(now);
    if (!token || (m_controller && m_controller->token() != *token))
    {
        m_remote_ranks.clear();
        m_controller.reset();
    }
    if (!token)
        return;
    if (!m_controller)
    {
        m_controller = std::make_unique<group_controller>(
            m_group, *token,
            controller_options{.link = link(), .address = m_settings.common.control_address});
        m_controller->set_earlier_addresses(m_view.addresses());
    }
    if (!m_controller->has_engine() && now - m_engine_asked >= engine_period)
        read_engine(now);
    send_beacons(now);
    move_switch_on(now);
    stand_in_for_agents(now);
}

void rank_agent::send_beacons(timestamp now)
{
    for (const auto& it : m_controller->beacons(now))
        m_messenger.send(it.address, it.what);
}

void rank_agent::move_switch_on(timestamp now)
{
    m_controller->tick(now);
    if (m_controller->current().phase == experts::switch_phase::rest)
        m_remote_ranks.clear();
    for (const auto& it : m_controller->agents_to_tell(now))
        m_messenger.send(it.address, it.what);
}

/// A frozen agent would keep the group held until it wakes, so its rank is driven from here.
void rank_agent::stand_in_for_agents(timestamp now)
{
    const auto abandoned = m_settings.checks_fences ? m_controller->abandoned_ranks(now)
                                                    : std::vector<experts::rank_number>{};
    for (const auto rank : abandoned)
    {
        const auto target = m_controller->target_of(rank);
        if (m_remote_ranks.contains(rank) || target.empty())
            continue;
        common::log(common::log_level::warn, "agent_silent", {{"rank", rank}, {"target", target}});
        const auto on_status = [this](const experts::rank_status& s)
        {
            if (m_controller)
                m_controller->take(s, common::now());
        };
        m_remote_ranks.emplace(rank,
                               std::make_unique<remote_rank>(m_client, m_wire, target, on_status));
    }
    for (const auto& [rank, it] : m_remote_ranks)
    {
        it->take(m_controller->directive_for(rank));
        it->tick(now);
    }
}

void rank_agent::write_metrics(timestamp now)
{
    m_store.counts().write_metrics(m_metrics);
    m_metrics.set("kqg_leads", m_controller ? 1 : 0);
    m_metrics.set("kqg_control_bytes", static_cast<std::int64_t>(m_messenger.bytes()));
    m_metrics.set("kqg_switch_phase", static_cast<std::int64_t>(m_driver.current().phase));
    if (m_controller)
        m_metrics.set("kqg_skew_thousandths", m_controller->skew_thousandths());
    if (!m_driver.has_report())
        return;
    m_metrics.set("kqg_map_version", m_driver.report().version);
    m_metrics.set("kqg_group_epoch", m_driver.report().epoch);
    m_metrics.set("kqg_report_age_ms", (now - m_report_asked).count());
}

void rank_agent::tick()
{
    const auto now = common::now();
    lead(now);
    const bool is_armed = m_driver.has_report() && m_driver.report().armed;
    const bool is_at_rest = m_driver.current().phase == experts::switch_phase::rest && !is_armed;
    m_tick_timer = m_loop.after(is_at_rest ? tick_period : switch_tick_period, [this] { tick(); });
    const auto period = is_at_rest ? report_period : switch_tick_period;
    if (!m_report_call && !m_orders.is_busy() && now - m_report_asked >= period)
        read_report();
    if (!m_choices_call && now - m_choices_asked >= experts::choices_period)
        read_choices();
    if (m_shutting_down &&
        (!m_controller || m_controller->is_at_rest(now) || now - m_term_at > longest_shutdown))
        m_loop.stop();
}

void rank_agent::begin_shutdown()
{
    if (std::exchange(m_shutting_down, true))
        return;
    m_term_at = common::now();
    common::log(common::log_level::info, "shutdown_begun");
}

} // namespace kumquatgap::rank_agent
