#include "router/router.hpp"

#include "common/log.hpp"
#include "router/exchange.hpp"

#include <chrono>
#include <csignal>

namespace kumquatgap::router
{

using common::milliseconds;

namespace
{

/// Retries are at most this fraction of first attempts, plus a small reserve.
constexpr double retry_fraction = 0.1;
constexpr double retry_reserve = 20;
constexpr milliseconds idle_check_period{20};
/// How long the last answers may take to be sent.
constexpr milliseconds last_answer_time{200};
constexpr milliseconds max_duration{24 * 3600 * 1000};
constexpr int minutes_a_day = 24 * 60;

int minute_of_day(std::int64_t utc_offset_minutes)
{
    const auto now = std::chrono::floor<std::chrono::minutes>(std::chrono::system_clock::now());
    const auto minutes = now.time_since_epoch().count() + utc_offset_minutes;
    return static_cast<int>(minutes % minutes_a_day);
}

} // namespace

void add_settings(common::settings_schema& schema, router_settings& s)
{
    shell::add_common_settings(schema, s.common);
    const auto duration = [](milliseconds* target, std::int64_t min_ms) {
        return common::duration_setting{target, milliseconds{min_ms}, max_duration};
    };
    constexpr std::int64_t max_bytes = std::int64_t{64} << 20;
    constexpr std::int64_t max_calls = 1'000'000;
    schema.add("router", "listen", common::address_setting{&s.listen});
    schema.add("router", "max_body_bytes", common::number_setting{&s.max_body_bytes, 1, max_bytes});
    schema.add("router", "max_header_bytes",
               common::number_setting{&s.max_header_bytes, 1, max_bytes});
    schema.add("router", "max_open_calls", common::number_setting{&s.max_open_calls, 1, max_calls});
    schema.add("router", "agent_silence_ms", duration(&s.agent_silence, 1));
    schema.add("router", "agent_connect_ms", duration(&s.agent_connect, 1));
    schema.add("router", "drain_settle_ms", duration(&s.drain_settle, 0));
    schema.add("router", "drain_limit_ms", duration(&s.drain_limit, 0));
    schema.add("router", "utc_offset_minutes",
               common::number_setting{&s.utc_offset_minutes, -minutes_a_day, minutes_a_day});
    schema.add("router", "per_token_ms", duration(&s.per_token, 1));
}

router::router(router_settings settings)
    : m_settings{std::move(settings)}, m_client{m_loop}, m_store{m_loop,
                                                                 m_client,
                                                                 {m_settings.common.store_address,
                                                                  m_settings.common.store_timeout}},
      m_follower{m_loop, m_store, m_settings.common}, m_retries{retry_fraction, retry_reserve},
      m_server{m_loop,
               {static_cast<std::size_t>(m_settings.max_body_bytes),
                static_cast<std::size_t>(m_settings.max_header_bytes)},
               [this](io::received_request received, io::responder_ptr responder)
               { handle(std::move(received), std::move(responder)); }}
{
}

router::~router() = default;

int router::run()
{
    shell::set_host_limits(m_loop, m_settings.common);
    m_server.set_malformed_response(shell::to_response({common::result_code::bad_request, ""}));
    m_server.set_memory_full_response(shell::to_response(shell::memory_full_failure()));
    if (!m_server.listen(m_settings.listen))
    {
        common::log(common::log_level::error, "no_address", {{"address", m_settings.listen}});
        return shell::exit_no_address;
    }
    m_loop.on_signal(SIGTERM, [this] { begin_shutdown(); });
    m_loop.on_signal(SIGINT, [this] { begin_shutdown(); });
    if (!m_follower.start())
        return shell::exit_no_address;
    common::log(common::log_level::info, "started", {{"address", m_settings.listen}});
    m_loop.run();
    common::log(common::log_level::info, "stopped");
    return 0;
}

filters::filter_environment router::environment(const config::view& resources) const
{
    return {.resources = resources,
            .is_ready = m_follower.is_ready(),
            .is_draining = m_draining,
            .is_full = std::cmp_greater_equal(m_exchanges.size(), m_settings.max_open_calls),
            .minute_of_day = minute_of_day(m_settings.utc_offset_minutes),
            .per_token = m_settings.per_token};
}

void router::handle(io::received_request received, io::responder_ptr responder)
{
    const bool is_ready = m_follower.is_ready() && !m_shutting_down;
    m_metrics.set("kqg_open_calls", static_cast<std::int64_t>(m_exchanges.size()));
    m_follower.write_metrics(m_metrics);
    m_store.counts().write_metrics(m_metrics);
    m_loop.memory().write_metrics(m_metrics);
    if (shell::answer_admin_request(received.request, *responder, is_ready, m_metrics))
        return;
    auto it = std::make_shared<exchange>(*this, std::move(received), std::move(responder));
    m_exchanges.emplace(it.get(), it);
    it->start();
}

const config::target* router::pick(const config::view& resources, const std::string& service,
                                   const std::set<std::string>& tried)
{
    const auto& targets = resources.targets_of(service);
    std::vector<policy::candidate_target> candidates;
    for (const auto& it : targets)
    {
        if (!it.leaving)
            candidates.push_back(
                {it.name, it.slots, it.data_centre == m_settings.common.data_centre ? 0 : 1});
    }
    const auto name = m_picker.pick(candidates, tried, common::now(), m_random);
    const auto it = std::ranges::find(targets, name, &config::target::name);
    return it == targets.end() ? nullptr : &*it;
}

void router::remove(const exchange* it)
{
    // Deferred, since one of the exchange's own functions may be on the call stack.
    m_loop.defer([this, it] { m_exchanges.erase(it); });
}

void router::begin_shutdown()
{
    if (std::exchange(m_shutting_down, true))
        return;
    common::log(common::log_level::info, "shutdown_begun",
                {{"open_calls", static_cast<std::int64_t>(m_exchanges.size())}});
    m_drain_settle_timer = m_loop.after(m_settings.drain_settle,
                                        [this]
                                        {
                                            m_draining = true;
                                            m_server.stop_listening();
                                            stop_when_idle();
                                        });
    if (m_settings.drain_limit.count() > 0)
        m_drain_limit_timer = m_loop.after(m_settings.drain_limit, [this] { end_open_calls(); });
}

/// Gives each open call its last answer and stops once these were sent.
void router::end_open_calls()
{
    m_draining = true;
    const auto open = m_exchanges;
    for (const auto& [key, it] : open)
        it->end_unanswered();
    stop_when_idle();
    m_drain_limit_timer = m_loop.after(last_answer_time, [this] { m_loop.stop(); });
}

void router::stop_when_idle()
{
    m_idle_timer = m_loop.every(idle_check_period,
                                [this]
                                {
                                    if (!m_server.is_busy())
                                        m_loop.stop();
                                });
}

} // namespace kumquatgap::router
