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
#include "rank_agent/choice_reporter.hpp"
#include "rank_agent/group_controller.hpp"
#include "rank_agent/leadership.hpp"
#include "rank_agent/messenger.hpp"
#include "rank_agent/order_sender.hpp"
#include "rank_agent/pace_notice.hpp"
#include "rank_agent/rank_wire.hpp"
#include "rank_agent/remote_rank.hpp"
#include "shell/program.hpp"
#include "shell/settings_follower.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatgap::rank_agent
{

/// The settings of a rank's agent.
struct rank_agent_settings
{
    shell::common_settings common;
    /// `ip:port` of the rank.
    std::string target;
    std::string service;
    /// The rank refuses orders whose fence is lower than one it has seen.
    bool checks_fences = true;
    /// `ip:port` for metrics; none when empty.
    std::string metrics_listen;
    /// What the host's link carries.
    double link_mbps = 20;
};

/// Declares the agent's settings.
void add_settings(common::settings_schema& schema, rank_agent_settings& s);

/// The agent beside a rank of a group: reads its state and its choices, carries out what the
/// group's controller wants of it, and is the controller while it holds the group's lease.
class rank_agent
{
public:
    rank_agent(io::event_loop& loop, io::http_client& client, kv::store& store,
               const rank_wire& names, rank_agent_settings settings);
    rank_agent(const rank_agent&) = delete;
    rank_agent& operator=(const rank_agent&) = delete;
    ~rank_agent();

    /// Runs until shut down; the result is the program's exit status.
    int run();

private:
    void take(const experts::status_message& m);
    void take(const experts::held_message& m);
    void take(const experts::choices_message& m);
    void take(const experts::beacon_message& m);
    void take(const experts::directive_message& m);
    void tick();
    void read_report();
    void tell_status(common::timestamp now);
    void report_read(const std::optional<experts::rank_report>& r);
    void read_choices();
    void choices_read(const choice_counts& counts);
    void read_held();
    void tell_held();
    void give_up_base(const experts::map_changes& changes, experts::map_version version);
    void note_first_map();
    experts::link_budget link() const;
    void send_beacons(common::timestamp now);
    void write_metrics(common::timestamp now);
    void carry_out_order();
    void lead(common::timestamp now);
    void move_switch_on(common::timestamp now);
    void read_engine(common::timestamp now);
    void stand_in_for_agents(common::timestamp now);
    void read_settings(const std::string& text);
    void join_group(const std::string& name);
    void begin_shutdown();

    io::event_loop& m_loop;
    io::http_client& m_client;
    const rank_wire& m_wire;
    rank_agent_settings m_settings;
    experts::rank_driver m_driver;
    order_sender m_orders;
    experts::order_timer m_order_timer;
    /// The rank's group; empty before its first report.
    std::string m_group;
    experts::group_view m_view;
    std::unique_ptr<leadership> m_leadership;
    /// Those of groups that the rank has left.
    std::vector<std::unique_ptr<leadership>> m_left_groups;
    pace_notice m_pace_notice;
    std::unique_ptr<group_controller> m_controller;
    /// Ranks that are driven from here while their agents are silent.
    std::map<experts::rank_number, std::unique_ptr<remote_rank>> m_remote_ranks;
    kv::store& m_store;
    messenger m_messenger;
    choice_reporter m_choices;
    io::http_server m_metrics_server;
    std::unique_ptr<shell::settings_follower> m_settings_follower;
    common::metrics m_metrics;
    held_experts m_held;
    std::int64_t m_held_epoch = -1;
    experts::map_archive m_maps;
    common::timestamp m_report_asked;
    common::timestamp m_choices_asked;
    /// What the controller was told last, when, and which one it was.
    experts::rank_status m_told_status;
    experts::map_version m_told_known_map = experts::map_archive::unknown;
    common::timestamp m_status_told;
    std::string m_told_leader;
    common::timestamp m_engine_asked;
    io::call_handle m_report_call;
    io::call_handle m_choices_call;
    io::call_handle m_held_call;
    io::timer_handle m_tick_timer;
    io::timer_handle m_store_calls_timer;
    bool m_shutting_down = false;
    common::timestamp m_term_at;
};

} // namespace kumquatgap::rank_agent
