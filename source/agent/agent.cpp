#include "agent/agent.hpp"

#include "agent/exchange.hpp"
#include "common/log.hpp"
#include "common/trace.hpp"

#include <csignal>

namespace kumquatgap::agent
{

using common::failure;
using common::milliseconds;
using common::result_code;

namespace
{

constexpr milliseconds expire_period{50};
constexpr milliseconds idle_check_period{20};
/// How long the last answers may take to be sent.
constexpr milliseconds last_answer_time{200};
constexpr milliseconds max_duration{30LL * 24 * 3600 * 1000};
constexpr std::string_view drain_path = "/kqg/drain";
constexpr int http_ok = 200;
constexpr std::size_t max_header_bytes = std::size_t{32} << 10;

} // namespace

void add_settings(common::settings_schema& schema, agent_settings& s)
{
    shell::add_common_settings(schema, s.common);
    const auto duration = [](milliseconds* target, std::int64_t min_ms) {
        return common::duration_setting{target, milliseconds{min_ms}, max_duration};
    };
    constexpr std::int64_t max_bytes = std::int64_t{64} << 20;
    constexpr std::int64_t max_waiting_calls = 1'000'000;
    constexpr std::int64_t max_percent = 90;
    schema.add("agent", "listen", common::address_setting{&s.listen});
    schema.add("agent", "target", common::text_setting{&s.target});
    schema.add("agent", "target_address", common::address_setting{&s.target_address});
    schema.add("agent", "target_connect_ms", duration(&s.target_connect, 1));
    schema.add("agent", "target_silence_ms", duration(&s.target_silence, 1));
    schema.add("agent", "heartbeat_ms", duration(&s.heartbeat, 1));
    schema.add("agent", "max_waiting",
               common::number_setting{&s.max_waiting, 0, max_waiting_calls});
    schema.add("agent", "max_body_bytes", common::number_setting{&s.max_body_bytes, 1, max_bytes});
    schema.add("agent", "long_call_ms", duration(&s.long_call, 1));
    schema.add("agent", "short_reserve_percent",
               common::number_setting{&s.short_reserve_percent, 0, max_percent});
    schema.add("agent", "claim_timeout_ms", duration(&s.claim_timeout, 1));
    schema.add("agent", "ledger_retention_ms", duration(&s.ledger_retention, 1000));
    schema.add("agent", "drain_limit_ms", duration(&s.drain_limit, 0));
}

agent::agent(agent_settings settings)
    : m_settings{std::move(settings)}, m_instance_id{common::random_id()}, m_client{m_loop},
      m_store{m_loop, m_client, {m_settings.common.store_address, m_settings.common.store_timeout}},
      m_follower{m_loop, m_store, m_settings.common}, m_ledger{m_loop,
                                                               m_store,
                                                               {.retention =
                                                                    m_settings.ledger_retention}},
      m_queue{{.max_waiting = m_settings.max_waiting,
               .long_call = m_settings.long_call,
               .short_reserve_percent = m_settings.short_reserve_percent}},
      m_server{m_loop,
               {static_cast<std::size_t>(m_settings.max_body_bytes), max_header_bytes},
               [this](const io::received_request& received, const io::responder_ptr& responder)
               { handle(received, responder); }}
{
}

agent::~agent() = default;

int agent::run()
{
    shell::set_host_limits(m_loop, m_settings.common);
    m_server.set_memory_full_response(shell::to_response(shell::memory_full_failure()));
    if (!m_server.listen(m_settings.listen))
    {
        common::log(common::log_level::error, "no_address", {{"address", m_settings.listen}});
        return shell::exit_no_address;
    }
    m_loop.on_signal(SIGTERM, [this] { begin_shutdown(); });
    m_loop.on_signal(SIGINT, [this] { begin_shutdown(); });
    m_follower.on_change([this] { apply_resources(); });
    if (!m_follower.start())
        return shell::exit_no_address;
    m_expire_timer = m_loop.every(expire_period,
                                  [this]
                                  {
                                      for (const auto id : m_queue.expire(common::now()))
                                          m_exchanges.at(id)->expired();
                                  });
    common::log(common::log_level::info, "started",
                {{"address", m_settings.listen}, {"target", m_settings.target}});
    m_loop.run();
    common::log(common::log_level::info, "stopped");
    return 0;
}

policy::load_report agent::load() const
{
    return {m_queue.in_service(), m_queue.waiting(), is_draining()};
}

void agent::apply_resources()
{
    const auto view = m_follower.view();
    const auto* own_target = view->find_target(m_settings.target);
    if (own_target != nullptr)
    {
        m_queue.set_slots(own_target->slots);
        for (const auto& [team, percent] : view->shares_of(own_target->service))
            m_queue.set_share(team, percent);
    }
    const auto it = view->hosts().find(m_settings.common.host);
    const bool leaving = it != view->hosts().end() && it->second.leaving;
    if (leaving != std::exchange(m_host_is_draining, leaving))
        common::log(common::log_level::info, leaving ? "host_leaving" : "host_back");
    start_ready_calls();
}

void agent::handle(const io::received_request& received, const io::responder_ptr& responder)
{
    const bool is_ready = m_follower.is_ready() && !is_draining();
    const auto current_load = load();
    m_metrics.set("kqg_calls_in_service", current_load.in_service);
    m_metrics.set("kqg_calls_waiting", current_load.waiting);
    m_follower.write_metrics(m_metrics);
    m_store.counts().write_metrics(m_metrics);
    m_loop.memory().write_metrics(m_metrics);
    if (shell::answer_admin_request(received.request, *responder, is_ready, m_metrics))
        return;
    if (!shell::has_token(received.request, m_settings.common.deployment_token))
        return responder->reply(shell::to_response({result_code::not_permitted, ""}));
    if (received.request.path == drain_path && received.request.method == "POST")
    {
        start_draining("order");
        return responder->reply({http_ok, {}, "draining\n"});
    }
    if (received.request.path != protocol::call_path)
        return responder->reply(shell::to_response({result_code::unknown_route, ""}));
    handle_call(received, responder);
}

void agent::handle_call(const io::received_request& received, const io::responder_ptr& responder)
{
    auto call = protocol::from_request(received.request);
    if (!call || received.body_too_large || received.headers_too_large)
        return responder->reply(shell::to_response({result_code::bad_message, ""}));
    responder->start_stream(http_ok, {{"Content-Type", "text/event-stream"}});
    if (auto refused = refusal(*call))
    {
        responder->write(protocol::to_text(protocol::response_failure{*refused, load()}));
        return responder->end();
    }
    const auto id = m_next_id++;
    auto it = std::make_shared<exchange>(*this, id, std::move(*call), responder, received.charge);
    m_exchanges.emplace(id, it);
    it->start();
}

std::optional<failure> agent::refusal(const protocol::agent_call& call) const
{
    if (!m_follower.is_ready())
        return failure{result_code::not_ready, ""};
    if (is_draining())
        return failure{result_code::target_draining, ""};
    const auto view = m_follower.view();
    const auto* own_target = view->find_target(m_settings.target);
    if (own_target == nullptr)
        return failure{result_code::target_draining, "the target's resource is gone"};
    if (call.target != m_settings.target || call.service != own_target->service)
        return failure{result_code::wrong_target, ""};
    return std::nullopt;
}

void agent::start_ready_calls()
{
    start_calls();
    for (const auto id : m_queue.calls_to_preempt(common::now()))
    {
        if (const auto remaining = m_exchanges.at(id)->preempt())
            m_queue.preempted(id, *remaining, common::now());
    }
    start_calls();
}

void agent::start_calls()
{
    for (const auto id : m_queue.start_ready(common::now()))
        m_exchanges.at(id)->run();
}

void agent::remove(std::uint64_t id)
{
    m_queue.finished(id, common::now());
    // Deferred, since one of the exchange's own functions may be on the call stack.
    m_loop.defer(
        [this, id]
        {
            m_exchanges.erase(id);
            start_ready_calls();
        });
}

void agent::start_draining(std::string_view reason)
{
    if (std::exchange(m_drain_requested, true))
        return;
    common::log(common::log_level::info, "drain_begun",
                {{"why", reason}, {"open_calls", static_cast<std::int64_t>(m_exchanges.size())}});
}

void agent::begin_shutdown()
{
    if (std::exchange(m_shutting_down, true))
        return;
    start_draining("signal");
    // New calls are refused, rather than connections closed, until the last call has ended, so that
    // routers learn that this target is draining.
    m_idle_timer = m_loop.every(idle_check_period,
                                [this]
                                {
                                    if (m_exchanges.empty() && m_open_ledger_sessions == 0 &&
                                        !m_server.is_busy())
                                        m_loop.stop();
                                });
    if (m_settings.drain_limit.count() > 0)
        m_drain_limit_timer = m_loop.after(m_settings.drain_limit, [this] { end_open_calls(); });
}

/// Refuses the calls that wait for a slot and stops once that was sent. Calls that the target has
/// end without an answer: their outcome is unknown.
void agent::end_open_calls()
{
    const auto open = m_exchanges;
    for (const auto& [id, it] : open)
        it->refuse_waiting();
    m_drain_limit_timer = m_loop.after(last_answer_time, [this] { m_loop.stop(); });
}

} // namespace kumquatgap::agent
