#pragma once

#include "config/view.hpp"
#include "io/event_loop.hpp"
#include "platform/store.hpp"

#include <functional>
#include <memory>

namespace kumquatgap::shell
{

/// Keeps a replica of the followed keys up to date by a range and a watch, and offers the view
/// that is made from it.
class config_follower
{
public:
    config_follower(io::event_loop& loop, platform::store& source);

    void start();
    bool is_ready() const { return m_replica.is_ready(); }
    const config::replica& copy() const { return m_replica; }
    /// The resources as of the newest known revision.
    std::shared_ptr<const config::view> view() const { return m_view; }
    /// Calls fn after every change of the view.
    void on_change(std::function<void()> fn) { m_on_change = std::move(fn); }

private:
    void read();
    void take_snapshot(common::result<platform::range_answer> answer);
    void watch();
    void take_changes(platform::revision as_of, std::vector<platform::change> changes);
    void lost(const common::failure& why);
    void retry();
    void check_head();
    void refresh();

    io::event_loop& m_loop;
    platform::store& m_store;
    config::replica m_replica;
    std::uint64_t m_seen_version = 0;
    std::shared_ptr<const config::view> m_view = std::make_shared<config::view>();
    std::function<void()> m_on_change;
    std::unique_ptr<platform::watch> m_watch;
    io::timer_handle m_retry_timer;
    io::timer_handle m_head_timer;
    common::milliseconds m_retry_delay;
};

} // namespace kumquatgap::shell
