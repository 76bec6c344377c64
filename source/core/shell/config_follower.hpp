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

/// Keeps a process's resources up to date: carries out what its spreader decides, and offers the
/// view that is made from the replica.
class config_follower
{
public:
    config_follower(io::event_loop& loop, kv::store& source, const common_settings& settings);

    /// Starts to follow; false when the control address can't be had.
    bool start();
    bool is_ready() const { return replica().is_ready(); }
    const config::replica& replica() const { return m_spreader.replica(); }
    /// The resources as of the newest known revision.
    std::shared_ptr<const config::view> view() const { return m_view; }
    /// Calls fn after every change of the view.
    void on_change(std::function<void()> fn) { m_on_change = std::move(fn); }
    /// Sets the gauges that tell operators about the configuration.
    void write_metrics(common::metrics& m) const;

private:
    void carry_out(const membership::actions& list);
    void take(const membership::send_message& it);
    void take(const membership::read_store& it);
    void take(const membership::start_watch& it);
    void take(const membership::stop_watch& it);
    void receive(std::string_view bytes);
    void watch_lost(const common::failure& why);
    void check_head();
    void refresh();
    void update_peers();
    void write_status();

    io::event_loop& m_loop;
    kv::store& m_store;
    common_settings m_settings;
    membership::gossip_node m_spreader;
    io::control_bus m_bus;
    std::vector<membership::peer> m_seeds;
    std::uint64_t m_seen_version = 0;
    std::shared_ptr<const config::view> m_view = std::make_shared<config::view>();
    std::function<void()> m_on_change;
    std::unique_ptr<kv::watch> m_watch;
    io::timer_handle m_tick_timer;
    io::timer_handle m_head_timer;
    io::timer_handle m_status_timer;
    std::string m_written_status;
};

} // namespace kumquatgap::shell
