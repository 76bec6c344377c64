#pragma once

#include "common/metrics.hpp"
#include "filters/request_filters.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "kv/etcd_store.hpp"
#include "policy/picker.hpp"
#include "policy/retry_state.hpp"
#include "shell/config_follower.hpp"
#include "shell/program.hpp"

#include <map>
#include <memory>
#include <random>
#include <set>

namespace kumquatgap::router
{

/// The router's settings.
struct router_settings
{
    shell::common_settings common;
    std::string listen;
    std::int64_t max_body_bytes = std::int64_t{1} << 20;
    std::int64_t max_header_bytes = std::int64_t{16} << 10;
    std::int64_t max_open_calls = 4096;
    /// The longest time without a byte from an agent that has a call.
    common::milliseconds agent_silence{2000};
    common::milliseconds agent_connect{1000};
    /// How long the router still accepts calls after it has reported itself not ready.
    common::milliseconds drain_settle{1000};
    /// The longest wait for open calls on shutdown; 0 for no limit.
    common::milliseconds drain_limit{0};
    /// Offset of the data centre's local time from UTC, in minutes.
    std::int64_t utc_offset_minutes = 0;
    common::milliseconds per_token{10};
};

/// Declares the router's settings.
void add_settings(common::settings_schema& schema, router_settings& s);

class exchange;

/// The router process: its loop, clients, configuration, target picker and retry budget, which all
/// exchanges share.
class router
{
public:
    explicit router(router_settings settings);
    ~router();

    /// Runs until shut down; the result is the program's exit status.
    int run();

    io::event_loop& loop() { return m_loop; }
    io::http_client& client() { return m_client; }
    common::metrics& counters() { return m_metrics; }
    policy::retry_budget& retries() { return m_retries; }
    const router_settings& settings() const { return m_settings; }
    std::shared_ptr<const config::view> resources() const { return m_follower.view(); }
    filters::filter_environment environment(const config::view& resources) const;

    /// Returns the chosen target, or a null pointer when no untried target accepts work.
    const config::target* pick(const config::view& resources, const std::string& service,
                               const std::set<std::string>& tried);
    policy::picker& picker() { return m_picker; }
    /// Removes a finished exchange.
    void remove(const exchange* it);

private:
    void handle(io::received_request received, io::responder_ptr responder);
    void begin_shutdown();
    void stop_when_idle();
    void end_open_calls();

    router_settings m_settings;
    io::event_loop m_loop;
    io::http_client m_client;
    kv::etcd_store m_store;
    shell::config_follower m_follower;
    policy::picker m_picker{policy::picker_options{}};
    policy::retry_budget m_retries;
    common::metrics m_metrics;
    std::mt19937_64 m_random{std::random_device{}()};
    std::map<const exchange*, std::shared_ptr<exchange>> m_exchanges;
    io::http_server m_server;
    bool m_shutting_down = false;
    bool m_draining = false;
    io::timer_handle m_drain_settle_timer;
    io::timer_handle m_idle_timer;
    io::timer_handle m_drain_limit_timer;
};

} // namespace kumquatgap::router
