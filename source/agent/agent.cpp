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
constexpr milliseconds longest_duration{30LL * 24 * 3600 * 1000};
constexpr std::string_view drain_path = "/kqg/drain";
constexpr int http_ok = 200;
constexpr std::size_t max_header_bytes = std::size_t{32} << 10;

} // namespace

void add_settings(common::settings_schema& schema, agent_settings& s)
{
    shell::add_common_settings(schema, s.common);
    const auto duration = [](milliseconds* target, std::int64_t lowest) {
        return common::duration_setting{target, milliseconds{lowest}, longest_duration};
    };
    constexpr std::int64_t most_bytes = std::int64_t{64} << 20;
    constexpr std::int64_t most_waiting = 1'000'000;
    constexpr std::int64_t most_percent = 90;
    schema.add("agent", "listen", common::address_setting{&s.listen});
    schema.add("agent", "target", common::text_setting{&s.target});
    schema.add("agent", "target_address", common::address_setting{&s.target_address});
    schema.add("agent", "target_connect_ms", duration(&s.target_connect, 1));
    schema.add("agent", "target_silence_ms", duration(&s.target_silence, 1));
    schema.add("agent", "heartbeat_ms", duration(&s.heartbeat, 1));
    schema.add("agent", "max_waiting", common::number_setting{&s.max_waiting, 0, most_waiting});
    schema.add("agent", "max_body_bytes", common::number_setting{&s.max_body_bytes, 1, most_bytes});
    schema.add("agent", "long_call_ms", duration(&s.long_call, 1));
    schema.add("agent", "short_reserve_percent",
               common::number_setting{&s.short_reserve_percent, 0, most_percent});
    schema.add("agent", "claim_timeout_ms", duration(&s.claim_timeout, 1));
    schema.add("agent", "ledger_retention_ms", duration(&s.ledger_retention, 1000));
    schema.add("agent", "drain_limit_ms", duration(&s.drain_limit, 0));
}

agent::agent(agent_settings settings)
    : m_settings{std::move(settings)}, m_run_id{common::random_id()}, m_client{m_loop},
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
               [this](const io::received_request& received, const io::responder_ptr& answer)
               { handle(received, answer); }}
{
}

agent::~agent() = default;

int agent::run()
{
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
    const auto* own = view->find_target(m_settings.target);
    if (own != nullptr)
    {
        m_queue.set_slots(own->slots);
        for (const auto& [team, percent] : view->shares_of(own->service))
            m_queue.set_share(team, percent);
    }
    const auto it = view->hosts().find(m_settings.common.host);
    const bool leaving = it != view->hosts().end() && it->second.leaving;
    if (leaving != std::exchange(m_host_is_leaving, leaving))
        common::log(common::log_level::info, leaving ? "host_leaving" : "host_back");
    start_ready_calls();
}

void agent::handle(const io::received_request& received, const io::responder_ptr& answer)
{
    const bool is_ready = m_follower.is_ready() && !is_draining();
    const auto load_now = load();
    m_metrics.set("kqg_calls_in_service", load_now.in_service);
    m_metrics.set("kqg_calls_waiting", load_now.waiting);
    m_follower.write_metrics(m_metrics);
    m_store.counts().write_metrics(m_metrics);
    if (shell::answer_admin_request(received.request, *answer, is_ready, m_metrics))
        return;
    if (!shell::has_token(received.request, m_settings.common.deployment_token))
        return answer->reply(shell::to_answer({result_code::not_permitted, ""}));
    if (received.request.path == drain_path && received.request.method == "POST")
    {
        begin_drain("order");
        return answer->reply({http_ok, {}, "draining\n"});
    }
    if (received.request.path != protocol::call_path)
        return answer->reply(shell::to_answer({result_code::unknown_route, ""}));
    handle_call(received, answer);
}

void agent::handle_call(const io::received_request& received, const io::responder_ptr& answer)
{
    auto call = protocol::from_request(received.request);
    if (!call || received.body_too_large || received.headers_too_large)
        return answer->reply(shell::to_answer({result_code::bad_message, ""}));
    answer->start_stream(http_ok, {{"Content-Type", "text/event-stream"}});
    if (auto refused = refusal(*call))
    {
        answer->write(protocol::to_text(protocol::answer_failure{*refused, load()}));
        return answer->end();
    }
    const auto id = m_next_id++;
    auto it = std::make_shared<exchange>(*this, id, std::move(*call), answer);
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
    const auto* own = view->find_target(m_settings.target);
    if (own == nullptr)
        return failure{result_code::target_draining, "the target's resource is gone"};
    if (call.target != m_settings.target || call.service != own->service)
        return failure{result_code::wrong_target, ""};
    return std::nullopt;
}

void agent::start_ready_calls()
{
    start_calls();
    for (const auto id : m_queue.calls_to_preempt(common::now()))
    {
        if (const auto left = m_exchanges.at(id)->pause())
            m_queue.preempted(id, *left, common::now());
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
    // The exchange may be inside one of its own functions.
    m_loop.defer(
        [this, id]
        {
            m_exchanges.erase(id);
            start_ready_calls();
        });
}

void agent::begin_drain(std::string_view why)
{
    if (std::exchange(m_ordered_to_drain, true))
        return;
    common::log(common::log_level::info, "drain_begun",
                {{"why", why}, {"open_calls", static_cast<std::int64_t>(m_exchanges.size())}});
}

void agent::begin_shutdown()
{
    if (std::exchange(m_shutting_down, true))
        return;
    begin_drain("signal");
    // Refusals go on until the last call has ended, so that routers learn where not to send.
    m_idle_timer =
        m_loop.every(idle_check_period,
                     [this]
                     {
                         if (m_exchanges.empty() && m_ledger_work == 0 && !m_server.is_busy())
                             m_loop.stop();
                     });
    if (m_settings.drain_limit.count() > 0)
        m_limit_timer = m_loop.after(m_settings.drain_limit, [this] { m_loop.stop(); });
}

} // namespace kumquatgap::agent
