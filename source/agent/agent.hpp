#pragma once

#include "common/metrics.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "kv/etcd_store.hpp"
#include "policy/target_queue.hpp"
#include "protocol/agent_call.hpp"
#include "shell/config_follower.hpp"
#include "shell/ledger_writer.hpp"
#include "shell/program.hpp"

#include <map>
#include <memory>
#include <string>

namespace kumquatgap::agent
{

/// The agent's settings.
struct agent_settings
{
    shell::common_settings common;
    std::string listen;
    /// The name of the target's resource.
    std::string target;
    /// `ip:port` of the target itself.
    std::string target_address;
    common::milliseconds target_connect{1000};
    /// The longest time without a byte from the target during a response.
    common::milliseconds target_silence{30'000};
    /// The longest time without an event to the router before a heartbeat is sent.
    common::milliseconds heartbeat{400};
    std::int64_t max_waiting = 256;
    std::int64_t max_body_bytes = std::int64_t{1} << 20;
    /// Calls with a longer predicted duration count as long calls.
    common::milliseconds long_call{5000};
    std::int64_t short_reserve_percent = 25;
    common::milliseconds claim_timeout{2000};
    /// How long the ledger keeps the record of an idempotency key.
    common::milliseconds ledger_retention{24 * 3600 * 1000};
    /// The longest wait for open calls on shutdown; 0 for no limit.
    common::milliseconds drain_limit{0};
};

/// Declares the agent's settings.
void add_settings(common::settings_schema& schema, agent_settings& s);

class exchange;

/// The proxy that all calls to one target pass through: queues them, records at-most-once calls in
/// the ledger, and refuses new calls while the target is draining.
class agent
{
public:
    explicit agent(agent_settings settings);
    ~agent();

    /// Runs until shut down; the result is the program's exit status.
    int run();

    io::event_loop& loop() { return m_loop; }
    io::http_client& client() { return m_client; }
    shell::ledger_writer& ledger() { return m_ledger; }
    policy::target_queue& queue() { return m_queue; }
    common::metrics& counters() { return m_metrics; }
    const agent_settings& settings() const { return m_settings; }
    std::shared_ptr<const config::view> resources() const { return m_follower.view(); }
    /// A random id that differs for every run of the agent.
    const std::string& instance_id() const { return m_instance_id; }
    policy::load_report load() const;

    /// Starts calls on free slots, and preempts long calls for short calls that wait.
    void start_ready_calls();
    /// Removes a finished exchange and gives its slot to the next call.
    void remove(std::uint64_t id);
    /// Count the ledger sessions that may still write a record; shutdown waits for them.
    void ledger_session_started() { ++m_open_ledger_sessions; }
    void ledger_session_ended() { --m_open_ledger_sessions; }

private:
    void handle(const io::received_request& received, const io::responder_ptr& responder);
    void handle_call(const io::received_request& received, const io::responder_ptr& responder);
    std::optional<common::failure> refusal(const protocol::agent_call& call) const;
    void apply_resources();
    void start_calls();
    void start_draining(std::string_view reason);
    void begin_shutdown();
    void end_open_calls();
    bool is_draining() const { return m_drain_requested || m_host_is_draining; }

    agent_settings m_settings;
    std::string m_instance_id;
    io::event_loop m_loop;
    io::http_client m_client;
    kv::etcd_store m_store;
    shell::config_follower m_follower;
    shell::ledger_writer m_ledger;
    policy::target_queue m_queue;
    common::metrics m_metrics;
    std::map<std::uint64_t, std::shared_ptr<exchange>> m_exchanges;
    std::uint64_t m_next_id = 1;
    std::int64_t m_open_ledger_sessions = 0;
    io::http_server m_server;
    bool m_drain_requested = false;
    bool m_host_is_draining = false;
    bool m_shutting_down = false;
    io::timer_handle m_expire_timer;
    io::timer_handle m_idle_timer;
    io::timer_handle m_drain_limit_timer;
};

} // namespace kumquatgap::agent
