#pragma once

#include "process.hpp"
#include "relay.hpp"

#include "io/event_loop.hpp"
#include "io/http_client.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kumquatgap::failures
{

/// How one call of a test ended.
struct outcome
{
    io::call_outcome how = io::call_outcome::cut;
    int status = 0;
    std::string body;

    /// The result code of an error answer; 0 for any other.
    int code() const;
    /// True for an error answer that says that the call was not run.
    bool says_not_run() const;
    /// The text of a streamed or whole chat completion.
    std::string text() const;
    /// True when a streamed completion ended in the normal way.
    bool is_whole_stream() const;
};

/// A call that is under way.
struct open_call
{
    outcome result;
    bool ended = false;
    std::string so_far;
    io::call_handle handle;
};

/// A target of a deployment.
struct target_plan
{
    std::string name;
    std::string service;
    int slots = 8;
};

/// What a deployment consists of.
struct plan
{
    int routers = 1;
    std::vector<target_plan> targets = {{"engine-a", "assistant"}, {"engine-b", "assistant"}};
    std::string agent_settings = {};
    std::string router_settings = {};
    std::string api_settings = {};
    std::vector<std::string> engine_flags = {};
    /// Daemons exchange the configuration among themselves; without it each one watches the store.
    bool spreads_config = false;
    /// Routers meet the agents through relays.
    bool relays = false;
    /// When set, agents of orders meet the order service through this address.
    std::string order_service_via = {};
};

/// Everything on loopback, one process each: store, engines, order service, API, routers, agents.
class deployment
{
public:
    explicit deployment(plan p);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts a program that was killed again, with the same settings.
    void restart(const std::string& name);
    process& at(const std::string& name) { return m_processes.at(name); }
    const std::string& address(const std::string& name) const { return m_addresses.at(name); }
    io::event_loop& loop() { return m_loop; }

    /// The relay before a target's agent.
    relay& relay_of(const std::string& target) { return *m_relays.at(target); }

    /// Starts a call.
    std::shared_ptr<open_call> begin(const std::string& address, const io::http_request& request);
    /// Makes a call and waits for its end.
    outcome call(const std::string& address, const io::http_request& request);
    /// Runs the loop until the condition holds; false when it has not after half a minute.
    bool wait_until(const std::function<bool()>& condition);
    /// Lets the loop run for a time.
    void run_for(common::milliseconds time);

    /// Writes a resource through the API.
    outcome put(const std::string& kind, const std::string& name, const nlohmann::json& spec,
                const std::string& version = "0");
    /// Deletes a resource, whatever its version, through the API.
    outcome erase(const std::string& kind, const std::string& name);
    /// Writes a daemon's host into the platform's list.
    void list_host(const std::string& name, const std::string& state);
    /// The names of all routers and agents.
    const std::vector<std::string>& daemons() const { return m_daemons; }
    /// Waits until the daemon has a revision in force.
    bool wait_for_revision(const std::string& name, std::int64_t revision);
    /// The revision of the last resource that was written through put().
    std::int64_t last_version() const { return m_last_version; }
    /// Orders a fault of a stand-in.
    void order_fault(const std::string& stand_in, const std::string& query);
    /// How often the order service ran each order.
    std::map<std::string, int> executions();
    /// A metric of a daemon; -1 when the daemon does not answer.
    std::int64_t metric(const std::string& name, const std::string& metric_name);
    /// Waits until all daemons have the newest accepted revision in force.
    bool wait_for_config();

private:
    void start(const std::string& name, std::vector<std::string> command);
    void start_daemon(const std::string& program, const std::string& name,
                      const std::string& settings);
    void apply_resources(const plan& p);
    std::string common_settings(const std::string& host);

    std::string m_folder;
    bool m_spreads_config = false;
    io::event_loop m_loop;
    io::http_client m_client{m_loop};
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, std::vector<std::string>> m_commands;
    std::map<std::string, process> m_processes;
    std::map<std::string, std::unique_ptr<relay>> m_relays;
    std::vector<std::string> m_daemons;
    std::vector<std::string> m_seeds;
    std::int64_t m_last_version = 0;
};

/// A chat completion request of the test's team.
io::http_request chat(const std::string& prompt, int tokens, bool streams);
/// The text that every stand-in engine gives to a prompt.
std::string expected_text(const std::string& prompt, int tokens);
/// An order with its idempotency key.
io::http_request order(const std::string& id);

} // namespace kumquatgap::failures
