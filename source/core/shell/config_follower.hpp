#pragma once

#include "config/view.hpp"
#include "io/control_bus.hpp"
#include "io/event_loop.hpp"
#include "kv/store.hpp"
#include "membership/gossip_node.hpp"
#include "shell/program.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kumquatgap::shell
{

/// Keeps a process's resources up to date: executes the actions that its gossip node returns, and
/// builds a view of the resources from the replica.
class config_follower
{
public:
    config_follower(io::event_loop& loop, kv::store& source, const common_settings& settings);

    /// Starts to follow the configuration; false when the control address can't be listened on.
    bool start();
    bool is_ready() const { return replica().is_ready(); }
    const config::replica& replica() const { return m_gossip.replica(); }
    /// The resources as of the newest revision that the replica holds.
    std::shared_ptr<const config::view> view() const { return m_view; }
    /// Calls fn after every change of the view.
    void on_change(std::function<void()> fn) { m_on_change = std::move(fn); }
    /// Sets the gauges of the configuration's revision, the control traffic and the watch.
    void write_metrics(common::metrics& m) const;

private:
    void execute_actions(const membership::actions& actions);
    void execute(const membership::send_message& it);
    void execute(const membership::read_store& it);
    void execute(const membership::start_watch& it);
    void execute(const membership::stop_watch& it);
    void receive(std::string_view bytes);
    void on_watch_lost(const common::failure& why);
    void check_head();
    void handle_store_restored();
    void refresh();
    void update_peers();
    void write_status();

    io::event_loop& m_loop;
    kv::store& m_store;
    common_settings m_settings;
    membership::gossip_node m_gossip;
    io::control_bus m_bus;
    std::vector<membership::peer> m_seeds;
    /// Version of the replica that m_view was built from.
    bool m_is_era_requested = false;
    std::uint64_t m_view_version = 0;
    std::shared_ptr<const config::view> m_view = std::make_shared<config::view>();
    std::function<void()> m_on_change;
    std::unique_ptr<kv::watch> m_watch;
    io::timer_handle m_tick_timer;
    io::timer_handle m_head_timer;
    io::timer_handle m_status_timer;
    std::string m_written_status;
};

} // namespace kumquatgap::shell
