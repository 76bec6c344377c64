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
    /// The longest time without a byte from the target in the middle of an answer.
    common::milliseconds target_silence{30'000};
    /// The longest time without an event to the router.
    common::milliseconds heartbeat{400};
    std::int64_t max_waiting = 256;
    std::int64_t max_body_bytes = std::int64_t{1} << 20;
    /// Calls predicted to take longer are long ones.
    common::milliseconds long_call{5000};
    std::int64_t short_reserve_percent = 25;
    common::milliseconds claim_timeout{2000};
    /// How long an idempotency key is remembered.
    common::milliseconds ledger_retention{24 * 3600 * 1000};
    /// The longest wait for open calls on shutdown; 0 for none.
    common::milliseconds drain_limit{0};
};

/// Declares the agent's settings.
void add_settings(common::settings_schema& schema, agent_settings& s);

class exchange;

/// The one way to a target: its queue, its ledger, and whether it takes new work.
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
    /// Distinguishes this run of the agent from earlier ones.
    const std::string& run_id() const { return m_run_id; }
    policy::load_report load() const;

    /// Starts the calls whose turn it is, and interrupts long ones for short ones that wait.
    void start_ready_calls();
    /// Forgets an exchange that has ended and gives its slot to the next call.
    void remove(std::uint64_t id);
    /// Counts ledger records that are still to be written; shutdown waits for them.
    void ledger_work_begun() { ++m_ledger_work; }
    void ledger_work_ended() { --m_ledger_work; }

private:
    void handle(const io::received_request& received, const io::responder_ptr& answer);
    void handle_call(const io::received_request& received, const io::responder_ptr& answer);
    std::optional<common::failure> refusal(const protocol::agent_call& call) const;
    void apply_resources();
    void start_calls();
    void begin_drain(std::string_view why);
    void begin_shutdown();
    bool is_draining() const { return m_ordered_to_drain || m_host_is_leaving; }

    agent_settings m_settings;
    std::string m_run_id;
    io::event_loop m_loop;
    io::http_client m_client;
    kv::etcd_store m_store;
    shell::config_follower m_follower;
    shell::ledger_writer m_ledger;
    policy::target_queue m_queue;
    common::metrics m_metrics;
    std::map<std::uint64_t, std::shared_ptr<exchange>> m_exchanges;
    std::uint64_t m_next_id = 1;
    std::int64_t m_ledger_work = 0;
    io::http_server m_server;
    bool m_ordered_to_drain = false;
    bool m_host_is_leaving = false;
    bool m_shutting_down = false;
    io::timer_handle m_expire_timer;
    io::timer_handle m_idle_timer;
    io::timer_handle m_limit_timer;
};

} // namespace kumquatgap::agent
