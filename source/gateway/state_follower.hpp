#pragma once

#include "fleet/configuration.hpp"
#include "fleet/evacuations.hpp"
#include "fleet/target_table.hpp"
#include "gateway/entry_change.hpp"
#include "gateway/gateway_registry.hpp"
#include "gateway/protocol_adapter.hpp"
#include "io/control_bus.hpp"
#include "io/event_loop.hpp"
#include "kv/store.hpp"
#include "membership/gossip_node.hpp"
#include "shell/program.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatgap::gateway
{

/// Keeps a gateway's configuration, targets and peers up to date: executes the actions that its
/// gossip node returns, and applies the changes of its replica of the store.
class state_follower
{
public:
    state_follower(io::event_loop& loop, kv::store& source, const protocol_adapter& adapter,
                   const shell::common_settings& settings);

    /// Starts to follow the store; false when the control address can't be bound.
    bool start();
    /// The newest configuration; a null pointer until the first one was read.
    std::shared_ptr<const fleet::configuration> configuration() const { return m_configuration; }
    const fleet::target_table& targets() const { return m_targets; }
    /// The data centres to which nothing is sent.
    const fleet::evacuations& evacuated() const { return m_evacuations; }
    /// A request was passed to a target of an evacuated data centre.
    void record_evacuated_send(std::string_view data_centre, common::timestamp now)
    {
        m_evacuations.record_send(data_centre, now);
    }
    /// Marks a target's address as reassigned, after another target has responded there.
    void release_address(const std::string& id);
    /// Marks a target as draining, as its response says or another gateway, `peer`, has reported;
    /// `peer` is empty for a response.
    void note_draining(const std::string& id, std::int64_t started_at, std::string_view peer);
    /// Marks a target as busy for a time, after it has refused a call and asked for that.
    void note_busy(const std::string& id, std::int64_t started_at, common::milliseconds time);
    /// Records what a target's response said about its rate limit, as this gateway or `peer` has
    /// received it.
    void note_rate_limit(const std::string& id, const fleet::rate_limit& limit,
                         std::string_view peer);
    /// Records how long a target is still cold, as its response or `peer` says.
    void note_cold(const std::string& id, const fleet::cold_notice& it, std::string_view peer);
    /// How many times slower than normal the target at an address is; 1 for normal speed.
    double slowdown_of(const std::string& address) const;
    /// The other gateways.
    const std::vector<membership::peer>& peers() const { return m_peers; }
    /// True if no gateway had ever run when this one read the store first.
    bool is_first_start() const { return m_is_first_start; }
    kv::revision as_of() const { return m_gossip.replica().as_of(); }
    /// Calls fn after every change of the configuration, the targets or the gateways.
    void on_change(std::function<void()> fn) { m_on_change = std::move(fn); }
    /// Calls fn when a key with the prefix has changed, with the rest of the key.
    void on_entry(std::string prefix, std::function<void(const std::string&, entry_change)> fn)
    {
        m_entry_handlers.insert_or_assign(std::move(prefix), std::move(fn));
    }
    void write_metrics(common::metrics& m, common::timestamp now) const;

private:
    void execute_all(const membership::actions& list);
    void execute(const membership::send_message& it);
    void execute(const membership::read_store& it);
    void execute(const membership::start_watch& it);
    void execute(const membership::stop_watch& it);
    void receive(std::string_view bytes);
    void handle_store_restored();
    void handle_store_success();
    void note_store_recovery();
    void handle_store_failure(const common::failure& why);
    std::optional<common::timestamp> recent_outage_end(common::timestamp now) const;
    void apply_replica_changes();
    void apply_slowdown(const kv::key_value& it);
    void begin_evacuation(const std::string& data_centre, const kv::key_value& it);
    void end_evacuation(const std::string& data_centre, entry_change how);
    void schedule_evacuation_end();
    void expire_evacuations();
    void log_evacuation_end(const std::string& data_centre, std::string_view reason) const;
    bool notify_entry_handler(const std::string& key, entry_change what);
    void apply_written(const kv::key_value& it);
    void note_entry_cold(fleet::target& it);
    void apply_removed(const std::string& key, entry_change how);
    void adopt_configuration(const kv::key_value& it);
    bool may_adopt(const fleet::configuration& found, const kv::key_value& it);
    void adopt_older_configuration(const std::string& key);
    void put_in_force(fleet::configuration found, kv::revision revision);
    void handle_gateways_pruned();
    void update_peers();
    void update_watch_period();

    io::event_loop& m_loop;
    kv::store& m_store;
    const protocol_adapter& m_adapter;
    shell::common_settings m_settings;
    membership::gossip_node m_gossip;
    io::control_bus m_bus;
    gateway_registry m_registry;
    std::uint64_t m_applied_version = 0;
    /// The position of each item that was applied last.
    std::map<std::string, kv::position> m_applied_positions;
    std::optional<kv::era> m_applied_era;
    std::shared_ptr<const fleet::configuration> m_configuration;
    fleet::target_table m_targets;
    fleet::evacuations m_evacuations;
    /// Set while an evacuation goes on whose key a restored store lacks.
    io::timer_handle m_evacuation_timer;
    /// How the replica's latest changes were learnt, for logs.
    std::string_view m_learnt_by;
    /// Slowdown by address.
    std::map<std::string, double> m_slowdowns;
    std::vector<membership::peer> m_peers;
    std::function<void()> m_on_change;
    std::map<std::string, std::function<void(const std::string&, entry_change)>> m_entry_handlers;
    std::unique_ptr<kv::watch> m_watch;
    bool m_has_read_store = false;
    bool m_is_first_start = false;
    bool m_store_is_lost = false;
    common::timestamp m_store_recovered_at;
    /// When a call to the store failed last.
    common::timestamp m_store_failed_at;
    /// When the store last responded, and when the current configuration was adopted.
    common::timestamp m_store_responded_at;
    common::timestamp m_configuration_adopted_at;
    kv::era m_configuration_era = 0;
    /// Set while the restored store has an older configuration than the one in force.
    io::timer_handle m_older_configuration_timer;
    io::timer_handle m_tick_timer;
};

} // namespace kumquatgap::gateway
