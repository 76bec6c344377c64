#pragma once

#include "common/metrics.hpp"
#include "experts/agent_message.hpp"
#include "experts/group_view.hpp"
#include "experts/order_timer.hpp"
#include "experts/rank_driver.hpp"
#include "io/event_loop.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "kv/store.hpp"
#include "rank_agent/group_controller.hpp"
#include "rank_agent/leadership.hpp"
#include "rank_agent/messenger.hpp"
#include "rank_agent/order_sender.hpp"
#include "rank_agent/rank_client.hpp"
#include "rank_agent/rank_protocol_adapter.hpp"
#include "rank_agent/remote_rank_driver.hpp"
#include "rank_agent/selection_reporter.hpp"
#include "rank_agent/slowdown_publisher.hpp"
#include "shell/program.hpp"
#include "shell/settings_follower.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatgap::rank_agent
{

struct rank_agent_settings
{
    shell::common_settings common;
    /// `ip:port` of the rank.
    std::string target;
    std::string service;
    /// True if the rank refuses orders whose fence is lower than one it has seen.
    bool checks_fences = true;
    /// `ip:port` of the metrics endpoint; disabled if empty.
    std::string metrics_listen;
    /// Capacity of the host's link in Mbit/s.
    double link_mbps = 20;
};

/// Declares the agent's settings.
void add_settings(common::settings_schema& schema, rank_agent_settings& s);

/// The agent beside a rank of a group. Reads the rank's state and selection counts, carries out the
/// directives of the group's controller, and is the controller itself while it holds the group's
/// lease.
class rank_agent
{
public:
    rank_agent(io::event_loop& loop, io::http_client& client, kv::store& store,
               const rank_protocol_adapter& adapter, rank_agent_settings settings);
    rank_agent(const rank_agent&) = delete;
    rank_agent& operator=(const rank_agent&) = delete;
    ~rank_agent();

    /// Runs until shutdown; returns the program's exit status.
    int run();

private:
    void handle(const experts::status_message& m);
    void handle(const experts::rank_experts_message& m);
    void handle(const experts::selection_counts_message& m);
    void handle(const experts::beacon_message& m);
    void handle(const experts::directive_message& m);
    void tick();
    void request_report();
    void send_status(common::timestamp now);
    void on_report(const std::optional<experts::rank_report>& r);
    void request_selection_totals();
    void on_selection_totals(const selection_totals& counts);
    void request_local_experts();
    void send_local_experts();
    void discard_base_map(const experts::map_delta& delta, experts::map_version version);
    void cache_initial_map();
    experts::link_budget link() const;
    void write_metrics(common::timestamp now);
    void send_due_order();
    void run_controller(common::timestamp now);
    void advance_switch(common::timestamp now);
    void request_engine_profile(common::timestamp now);
    void take_over_silent_agents(common::timestamp now);
    void read_settings(const std::string& text);
    void join_group(const std::string& name);
    void begin_shutdown();

    io::event_loop& m_loop;
    io::http_client& m_client;
    const rank_protocol_adapter& m_adapter;
    rank_agent_settings m_settings;
    experts::rank_driver m_driver;
    rank_client m_rank;
    order_sender m_orders;
    experts::order_timer m_order_timer;
    /// Group of the rank; empty before its first report.
    std::string m_group;
    experts::group_view m_view;
    std::unique_ptr<leadership> m_leadership;
    /// Leaderships of groups that the rank has left; a response to them may be pending.
    std::vector<std::unique_ptr<leadership>> m_former_leaderships;
    slowdown_publisher m_slowdown_publisher;
    std::unique_ptr<group_controller> m_controller;
    /// Drivers of ranks whose agents are silent.
    std::map<experts::rank_number, std::unique_ptr<remote_rank_driver>> m_remote_drivers;
    kv::store& m_store;
    messenger m_messenger;
    selection_reporter m_selection_reporter;
    io::http_server m_metrics_server;
    std::unique_ptr<shell::settings_follower> m_settings_follower;
    common::metrics m_metrics;
    rank_experts m_local_experts;
    std::int64_t m_local_experts_epoch = -1;
    experts::map_cache m_map_cache;
    common::timestamp m_report_requested_at;
    common::timestamp m_totals_requested_at;
    /// The status that was sent last, when, and to which controller.
    experts::rank_status m_sent_status;
    experts::map_version m_sent_known_map_version = experts::map_cache::unknown;
    common::timestamp m_status_sent_at;
    std::string m_status_recipient;
    common::timestamp m_engine_requested_at;
    io::call_handle m_report_call;
    io::call_handle m_totals_call;
    io::call_handle m_local_experts_call;
    io::timer_handle m_tick_timer;
    io::timer_handle m_store_calls_timer;
    bool m_shutting_down = false;
    common::timestamp m_shutdown_began_at;
};

} // namespace kumquatgap::rank_agent
