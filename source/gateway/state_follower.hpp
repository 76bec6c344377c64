#pragma once

#include "fleet/configuration.hpp"
#include "fleet/target_table.hpp"
#include "gateway/wire.hpp"
#include "io/control_bus.hpp"
#include "io/event_loop.hpp"
#include "kv/store.hpp"
#include "membership/spreader.hpp"
#include "shell/program.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatgap::gateway
{

/// Keeps a gateway's configuration, targets and peers up to date: carries out what its spreader
/// decides, and reads what the replica holds.
class state_follower
{
public:
    state_follower(io::event_loop& loop, kv::store& source, const wire& names,
                   const shell::common_settings& settings);

    /// Starts to follow; false when the control address can't be had.
    bool start();
    /// The newest configuration; a null pointer before the first one.
    std::shared_ptr<const fleet::configuration> configuration() const { return m_configuration; }
    const fleet::target_table& targets() const { return m_targets; }
    /// What answers at a target's address says that it is another one.
    void target_found_wrong(const std::string& id);
    /// A target says in an answer that it leaves, or another gateway, `peer`, has heard that; empty
    /// for an answer.
    void target_leaves(const std::string& id, std::int64_t started_at, std::string_view peer);
    /// A target that turned a call away wants nothing for some time.
    void target_is_busy(const std::string& id, std::int64_t started_at, common::milliseconds time);
    /// How much slower than usual the target at an address is; 1 for not at all.
    double pace_of(const std::string& address) const;
    /// The other gateways.
    const std::vector<membership::peer>& peers() const { return m_peers; }
    kv::revision as_of() const { return m_spreader.copy().as_of(); }
    /// Calls fn after every change of the configuration or the targets.
    void on_change(std::function<void()> fn) { m_on_change = std::move(fn); }
    void write_metrics(common::metrics& m, common::timestamp now) const;

private:
    void carry_out(const membership::actions& list);
    void take(const membership::send_message& it);
    void take(const membership::read_store& it);
    void take(const membership::start_watch& it);
    void take(const membership::stop_watch& it);
    void receive(std::string_view bytes);
    void store_answered();
    void store_lost(const common::failure& why);
    std::optional<common::timestamp> lapse_cause(common::timestamp now) const;
    void refresh();
    void read_pace(const kv::key_value& it);
    void read_written(const kv::key_value& it);
    void read_removed(const std::string& key);
    void adopt_configuration(const kv::key_value& it);
    void update_peers();
    void register_self();
    void write_registration();
    void registration_lost(const common::failure& why);

    io::event_loop& m_loop;
    kv::store& m_store;
    const wire& m_wire;
    shell::common_settings m_settings;
    membership::spreader m_spreader;
    io::control_bus m_bus;
    std::uint64_t m_seen_version = 0;
    /// The revision of each item as it was read last.
    std::map<std::string, kv::revision> m_read_revisions;
    std::shared_ptr<const fleet::configuration> m_configuration;
    fleet::target_table m_targets;
    std::map<std::string, double> m_paces;
    std::map<std::string, std::string> m_registered;
    std::vector<membership::peer> m_peers;
    std::function<void()> m_on_change;
    std::unique_ptr<kv::watch> m_watch;
    kv::lease_id m_lease = 0;
    bool m_store_is_lost = false;
    common::timestamp m_store_back_at;
    /// When the store answered last, and when the configuration in force was adopted.
    common::timestamp m_store_heard_at;
    common::timestamp m_configured_at;
    io::timer_handle m_tick_timer;
    io::timer_handle m_register_timer;
};

} // namespace kumquatgap::gateway
