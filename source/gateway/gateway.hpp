#pragma once

#include "common/limited_log.hpp"
#include "common/metrics.hpp"
#include "fleet/configuration.hpp"
#include "fleet/target_table.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/state_follower.hpp"
#include "gateway/wire.hpp"
#include "io/event_loop.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "policy/engine_pace.hpp"
#include "policy/progress_meter.hpp"
#include "policy/retry_share.hpp"
#include "policy/target_board.hpp"
#include "policy/waiting_line.hpp"
#include "shell/program.hpp"
#include "shell/settings_follower.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace kumquatgap::gateway
{

using common::timestamp;

/// The gateway's settings.
struct gateway_settings
{
    shell::common_settings common;
    /// `ip:port` for callers.
    std::string listen;
    /// `ip:port` for readiness probes.
    std::string ready_listen;
    /// `ip:port` for metrics; none when empty.
    std::string metrics_listen;
    policy::retry_limits retries;
    /// From SIGTERM to the kill.
    milliseconds grace{8000};
};

/// Declares the gateway's settings.
void add_settings(common::settings_schema& schema, gateway_settings& s);

class exchange;

/// What is kept for each service.
struct service_state
{
    policy::waiting_line line{policy::waiting_line_options{}};
    policy::target_board board{policy::target_board_options{}};
    /// No call is placed before this, since the group of targets is broken.
    timestamp held_until;
    /// The group was broken, and no call has succeeded since; calls go one by one until one does.
    bool is_suspect = false;
    /// The line has been told that no call can start, or that streams stand still.
    bool is_halted = false;
    policy::progress_meter progress;
    policy::engine_pace pace;
};

/// Takes callers' requests and forwards them straight to targets.
class gateway
{
public:
    gateway(io::event_loop& loop, io::http_client& client, kv::store& store, const wire& names,
            gateway_settings settings);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    /// Runs until shut down; the result is the program's exit status.
    int run();

    io::event_loop& loop() { return m_loop; }
    io::http_client& client() { return m_client; }
    const wire& names() const { return m_wire; }
    common::metrics& counters() { return m_metrics; }
    /// For the ends of calls that went well.
    common::limited_log& ordinary_log() { return m_ordinary_log; }
    /// For refusals, failures and failed attempts.
    common::limited_log& failure_log() { return m_failure_log; }
    policy::retry_share& retries() { return m_retries; }
    const fleet::target_table& targets() const { return m_follower.targets(); }
    void target_found_wrong(const std::string& id) { m_follower.target_found_wrong(id); }
    /// Takes what a target says of itself in the head of an answer.
    void target_said(const fleet::target& it, const target_answer& head);
    /// The store's revision of the state that decisions go by.
    kv::revision state_revision() const { return m_follower.as_of(); }
    std::shared_ptr<const fleet::configuration> configuration() const
    {
        return m_follower.configuration();
    }
    service_state& service(const std::string& name) { return m_services[name]; }
    /// True once new calls are refused, so that the open ones can end before the process must.
    bool refuses_calls() const { return m_refuses_calls; }
    /// What all answers that are being collected may take together: a fifth of the memory of the
    /// smallest entry host (240 MB).
    static constexpr std::size_t most_collected_bytes = std::size_t{48} << 20;
    /// Bytes of answers that are being collected.
    std::size_t& collected_bytes() { return m_collected_bytes; }
    /// A random number from 0 to below 1.
    double draw() { return std::uniform_real_distribution<double>{0, 1}(m_random); }
    /// Starts the calls of a service that have a place now.
    void dispatch(const std::string& name);
    /// Forgets an exchange that has ended.
    void remove(const exchange& it);

private:
    void handle(io::received_request received, io::responder_ptr answer);
    void hear_peer(const std::string& peer, const load_exchange::news& it);
    void refuse_hopeless(const std::string& name, service_state& state, timestamp now);
    void write_metrics(timestamp now);
    void handle_admin(const io::received_request& received, io::responder& answer);
    std::string place(const std::string& name, service_state& state, const exchange& it,
                      timestamp now);
    void tick();
    void follow_halts(const std::string& name, service_state& state, timestamp now);
    void measure_pace(const std::string& name, service_state& state, timestamp now);
    void state_changed();
    void read_settings(const std::string& text);
    void begin_shutdown();
    void finish_when_idle();
    bool is_ready() const;

    io::event_loop& m_loop;
    io::http_client& m_client;
    kv::store& m_store;
    const wire& m_wire;
    gateway_settings m_settings;
    state_follower m_follower;
    load_exchange m_loads;
    policy::retry_share m_retries;
    common::metrics m_metrics;
    common::limited_log m_ordinary_log;
    common::limited_log m_failure_log;
    std::mt19937_64 m_random{std::random_device{}()};
    std::map<std::string, service_state> m_services;
    std::map<std::uint64_t, std::shared_ptr<exchange>> m_exchanges;
    std::uint64_t m_next_exchange = 1;
    std::size_t m_collected_bytes = 0;
    io::http_server m_server;
    io::http_server m_admin;
    std::unique_ptr<io::http_server> m_metrics_server;
    std::unique_ptr<shell::settings_follower> m_settings_follower;
    timestamp m_term_at;
    bool m_shutting_down = false;
    bool m_refuses_calls = false;
    io::timer_handle m_tick_timer;
    io::timer_handle m_store_calls_timer;
    io::timer_handle m_idle_timer;
};

} // namespace kumquatgap::gateway
