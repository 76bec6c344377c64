#include "gateway/state_follower.hpp"

#include "common/log.hpp"
#include "fleet/target_slowdown.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace kumquatgap::gateway
{

using common::failure;
using common::milliseconds;

namespace
{

/// The time that the operators have to write their configuration again once the store has been
/// restored.
constexpr milliseconds rewrite_grace{2000};

membership::gossip_options make_gossip_options(milliseconds apply_time)
{
    membership::gossip_options out;
    out.max_all_watch = 12;
    out.watchers = 4;
    out.processes_per_watcher = 16;
    out.apply_time = apply_time;
    out.period = milliseconds{500};
    out.initial_read_backoff = milliseconds{200};
    out.max_read_backoff = milliseconds{1500};
    // Each gateway exports its own state in its metrics instead.
    out.report_propagation = false;
    return out;
}

} // namespace

state_follower::state_follower(io::event_loop& loop, kv::store& source,
                               const protocol_adapter& adapter,
                               const shell::common_settings& settings)
    : m_loop{loop}, m_store{source}, m_adapter{adapter},
      m_settings{settings}, m_gossip{{settings.host, settings.control_address},
                                     make_gossip_options(settings.apply_time),
                                     std::random_device{}()},
      m_bus{loop, [this](std::string_view bytes) { receive(bytes); }},
      m_registry{loop, source, settings.host, settings.control_address}
{
}

bool state_follower::start()
{
    if (!m_settings.control_address.empty() && !m_bus.listen(m_settings.control_address))
    {
        common::log(common::log_level::error, "no_address",
                    {{"address", m_settings.control_address}});
        return false;
    }
    m_tick_timer = m_loop.every(m_gossip.options().tick_period(),
                                [this]
                                {
                                    m_targets.prune(common::now());
                                    if (m_registry.prune(common::now()))
                                        handle_gateways_pruned();
                                    execute_all(m_gossip.tick(common::now()));
                                });
    // Deferred, since the response that shows the restore may itself end the watch.
    m_store.on_restored([this] { m_loop.defer([this] { handle_store_restored(); }); });
    execute_all(m_gossip.begin(common::now()));
    m_registry.register_self();
    return true;
}

void state_follower::write_metrics(common::metrics& m, common::timestamp now) const
{
    m.set("kqg_state_revision", as_of());
    m.set("kqg_store_era", m_store.current_era());
    m.set("kqg_config_version", m_configuration ? m_configuration->version : 0);
    m.set("kqg_targets", static_cast<std::int64_t>(m_targets.size()));
    m.set("kqg_gateways", static_cast<std::int64_t>(m_peers.size() + 1));
    m.set("kqg_control_bytes", static_cast<std::int64_t>(m_bus.bytes()));
    m.set("kqg_store_lost", m_store_is_lost ? 1 : 0);
    m.set("kqg_is_watching", m_gossip.is_watching() ? 1 : 0);
    m.set("kqg_state_unconfirmed_ms", m_gossip.unconfirmed_time(now).count());
    // -1 stands for never.
    m.set("kqg_store_heard_age_ms",
          m_store_responded_at == common::timestamp{} ? -1 : (now - m_store_responded_at).count());
    m.set("kqg_config_age_ms", m_configuration ? (now - m_configuration_adopted_at).count() : -1);
}

void state_follower::execute_all(const membership::actions& list)
{
    for (const auto& it : list)
        std::visit([this](const auto& action) { execute(action); }, it);
    if (const auto to = m_gossip.take_regression())
        common::log(common::log_level::error, "state_regressed",
                    {{"own_revision", as_of()},
                     {"own_era", m_gossip.replica().era()},
                     {"revision", to->at},
                     {"era", to->in_era}});
    apply_replica_changes();
}

void state_follower::execute(const membership::send_message& it)
{
    m_bus.send(it.address, membership::to_bytes(it.payload, m_settings.deployment_token));
}

void state_follower::execute(const membership::read_store& /*it*/)
{
    common::log(common::log_level::info, "store_read",
                {{"unconfirmed_ms", m_gossip.unconfirmed_time(common::now()).count()},
                 {"place", m_gossip.takeover_position()},
                 {"revision", as_of()}});
    m_store.range(std::string{m_adapter.replicated_prefix()},
                  [this](const auto& response)
                  {
                      if (response)
                      {
                          handle_store_success();
                          m_learnt_by = "read";
                          if (!std::exchange(m_has_read_store, true))
                              m_is_first_start = m_registry.note_first_read(response.value().items);
                          return execute_all(
                              m_gossip.read_finished(response.value(), common::now()));
                      }
                      handle_store_failure(response.error());
                  });
}

void state_follower::execute(const membership::start_watch& /*it*/)
{
    const auto era = m_gossip.replica().era();
    common::log(common::log_level::info, "watch_started",
                {{"revision", as_of()},
                 {"era", era},
                 {"unconfirmed_ms", m_gossip.unconfirmed_time(common::now()).count()},
                 {"place", m_gossip.takeover_position()}});
    m_watch = m_store.start_watch(
        std::string{m_adapter.replicated_prefix()}, {era, as_of() + 1},
        {[this, era](auto to, auto changes, auto confirmed_at)
         {
             handle_store_success();
             m_learnt_by = "watch";
             execute_all(m_gossip.store_changed({as_of(), to, std::move(changes), era},
                                                common::now(), confirmed_at));
         },
         [this](const failure& why) { handle_store_failure(why); }});
    update_watch_period();
}

void state_follower::execute(const membership::stop_watch& /*it*/)
{
    // Deferred, since one of the watch's own functions may be running.
    m_loop.defer([old = std::shared_ptr<kv::watch>{std::move(m_watch)}] {});
}

void state_follower::receive(std::string_view bytes)
{
    const auto m =
        membership::from_bytes(bytes, m_settings.deployment_token, m_gossip.default_era());
    if (!m)
    {
        common::log(common::log_level::warn, "control_message_refused",
                    {{"code", common::number(common::result_code::bad_message)}});
        return;
    }
    m_learnt_by = "peer";
    execute_all(m_gossip.handle(*m, common::now()));
    // A gateway whose state the others confirm does not call the store itself.
    if (m_gossip.confirmed_at() > m_store_failed_at)
        note_store_recovery();
}

void state_follower::handle_store_restored()
{
    if (m_gossip.replica().era() < m_store.current_era())
        execute_all(m_gossip.store_restored(common::now()));
    m_registry.register_self();
}

void state_follower::handle_store_success()
{
    m_store_responded_at = common::now();
    note_store_recovery();
}

void state_follower::note_store_recovery()
{
    if (!std::exchange(m_store_is_lost, false))
        return;
    m_store_recovered_at = common::now();
    common::log(common::log_level::info, "store_regained", {{"revision", as_of()}});
}

void state_follower::handle_store_failure(const failure& why)
{
    m_store_failed_at = common::now();
    if (!std::exchange(m_store_is_lost, true))
        common::log(
            common::log_level::warn, "store_lost",
            {{"code", common::number(why.code)}, {"detail", why.detail}, {"revision", as_of()}});
    execute_all(m_gossip.store_failed(common::now(), membership::failure_of_watch(why.code)));
}

/// When the last store outage ended, if an entry that is removed now may have expired because of
/// it; `now` during an outage; empty otherwise.
std::optional<common::timestamp> state_follower::recent_outage_end(common::timestamp now) const
{
    if (m_store_is_lost)
        return now;
    const bool is_recent = now - m_store_recovered_at < fleet::target_table::expiry_grace;
    return is_recent ? std::optional{m_store_recovered_at} : std::nullopt;
}

/// Applies the replica's changes. Items are compared by revision, so that only changed items are
/// parsed again.
void state_follower::apply_replica_changes()
{
    if (m_applied_version == m_gossip.replica().version())
        return;
    m_applied_version = m_gossip.replica().version();
    const auto& items = m_gossip.replica().items();
    const auto era = m_gossip.replica().era();
    const auto removal =
        m_applied_era.value_or(era) == era ? entry_change::removed : entry_change::lost;
    // The snapshot of another gateway may show the restore before this gateway's own watch does.
    if (removal == entry_change::lost)
        m_store_recovered_at = common::now();
    for (const auto& [key, it] : items)
    {
        const kv::position written_at{m_gossip.replica().era(), it.mod_revision};
        if (std::exchange(m_applied_positions[key], written_at) == written_at)
            continue;
        apply_written(it);
    }
    for (auto it = m_applied_positions.begin(); it != m_applied_positions.end();)
    {
        if (items.contains(it->first))
        {
            ++it;
            continue;
        }
        apply_removed(it->first, removal);
        it = m_applied_positions.erase(it);
    }
    m_applied_era = era;
    update_peers();
    if (m_on_change)
        m_on_change();
}

/// Calls the handler of the key's prefix; false when there is none.
bool state_follower::notify_entry_handler(const std::string& key, entry_change what)
{
    const auto it = std::ranges::find_if(m_entry_handlers, [&](const auto& entry)
                                         { return key.starts_with(entry.first); });
    if (it == m_entry_handlers.end())
        return false;
    it->second(key.substr(it->first.size()), what);
    return true;
}

void state_follower::apply_written(const kv::key_value& it)
{
    if (notify_entry_handler(it.key, entry_change::written))
        return;
    if (m_adapter.is_configuration(it.key))
        return adopt_configuration(it);
    if (it.key.starts_with(gateway_registry::prefix))
        return m_registry.handle_written(it.key.substr(gateway_registry::prefix.size()), it.value);
    if (it.key.starts_with(fleet::slowdown_prefix))
        return apply_slowdown(it);
    if (const auto data_centre = m_adapter.evacuated_data_centre(it.key); !data_centre.empty())
        return begin_evacuation(std::string{data_centre}, it);
    const auto id = m_adapter.target_id(it.key);
    if (id.empty())
        return;
    auto found = m_adapter.read_target(id, it.value);
    if (!found)
        return m_targets.remove(std::string{id}, common::now(), std::nullopt);
    const bool is_confirmed = m_gossip.replica().is_confirmed(it);
    common::log(common::log_level::info, "target_learnt",
                {{"target", found->id},
                 {"service", found->service},
                 {"address", found->address},
                 {"leaving", found->is_draining ? 1 : 0},
                 {"revision", it.mod_revision},
                 {"is_confirmed", is_confirmed ? 1 : 0}});
    found->written_at = {m_gossip.replica().era(), it.mod_revision};
    found->is_confirmed = is_confirmed;
    note_entry_cold(*found);
    m_targets.put(std::move(*found), common::now());
}

void state_follower::release_address(const std::string& id)
{
    common::log(common::log_level::info, "target_is_another", {{"target", id}});
    m_targets.release_address(id);
}

void state_follower::note_draining(const std::string& id, std::int64_t started_at,
                                   std::string_view peer)
{
    const auto from = peer.empty() ? fleet::notice_source::answer : fleet::notice_source::peer;
    if (!m_targets.note_draining(id, started_at, from, common::now()))
        return;
    common::log(common::log_level::info, "target_leaves",
                {{"target", id},
                 {"started_at", started_at},
                 {"heard_from", peer.empty() ? "answer" : peer},
                 {"code", common::number(common::result_code::target_draining)}});
    if (m_on_change)
        m_on_change();
}

void state_follower::note_busy(const std::string& id, std::int64_t started_at,
                               common::milliseconds time)
{
    if (m_targets.note_busy(id, started_at, time, common::now()))
        common::log(common::log_level::info, "target_is_busy",
                    {{"target", id},
                     {"for_ms", time.count()},
                     {"code", common::number(common::result_code::target_busy)}});
}

void state_follower::note_rate_limit(const std::string& id, const fleet::rate_limit& limit,
                                     std::string_view peer)
{
    const auto from = peer.empty() ? fleet::notice_source::answer : fleet::notice_source::peer;
    if (!m_targets.note_rate_limit(id, limit, from))
        return;
    constexpr double per_thousand = 1000;
    // -1 stands for no limit.
    common::log(
        common::log_level::info, "target_rate_limit",
        {{"target", id},
         {"per_1000_s", limit.per_second ? std::llround(*limit.per_second * per_thousand) : -1},
         {"age_ms", (common::now() - limit.heard_at).count()},
         {"heard_from", peer.empty() ? "answer" : peer}});
}

void state_follower::apply_slowdown(const kv::key_value& it)
{
    const auto address = it.key.substr(fleet::slowdown_prefix.size());
    const auto slowdown = fleet::slowdown_from_text(it.value);
    common::log(common::log_level::info, "target_pace",
                {{"address", address},
                 {"pace_thousandths", it.value},
                 {"is_read", slowdown ? 1 : 0},
                 {"revision", it.mod_revision}});
    if (slowdown)
        m_slowdowns.insert_or_assign(address, *slowdown);
}

double state_follower::slowdown_of(const std::string& address) const
{
    const auto it = m_slowdowns.find(address);
    return it == m_slowdowns.end() ? 1 : it->second;
}

void state_follower::apply_removed(const std::string& key, entry_change how)
{
    if (notify_entry_handler(key, how))
        return;
    if (key.starts_with(fleet::slowdown_prefix))
    {
        m_slowdowns.erase(key.substr(fleet::slowdown_prefix.size()));
        return;
    }
    if (const auto data_centre = m_adapter.evacuated_data_centre(key); !data_centre.empty())
        return end_evacuation(std::string{data_centre}, how);
    const auto now = common::now();
    const auto outage_end = recent_outage_end(now);
    if (key.starts_with(gateway_registry::prefix))
        return m_registry.handle_removed(key.substr(gateway_registry::prefix.size()),
                                         outage_end.has_value(), now);
    const auto id = m_adapter.target_id(key);
    if (id.empty())
        return;
    common::log(common::log_level::info, "target_gone",
                {{"target", id}, {"store_was_away", outage_end ? 1 : 0}});
    m_targets.remove(std::string{id}, now, outage_end);
}

void state_follower::adopt_configuration(const kv::key_value& it)
{
    auto found = m_adapter.read_configuration(it.value);
    if (!found)
        return;
    if (may_adopt(*found, it))
        put_in_force(std::move(*found), it.mod_revision);
}

void state_follower::put_in_force(fleet::configuration found, kv::revision revision)
{
    common::log(common::log_level::info, "configuration_in_force",
                {{"version", found.version},
                 {"revision", revision},
                 {"era", m_gossip.replica().era()},
                 {"routes", found.route_count()}});
    m_older_configuration_timer.reset();
    m_configuration_adopted_at = common::now();
    m_configuration_era = m_gossip.replica().era();
    m_configuration = std::make_shared<const fleet::configuration>(std::move(found));
}

/// Within an era, an older version than the one in force is an error. A restored store may have an
/// older one until the operators have written theirs again; what it has after that time, or what is
/// written in the new era, is in force.
bool state_follower::may_adopt(const fleet::configuration& found, const kv::key_value& it)
{
    const auto own = m_configuration ? m_configuration->version : 0;
    if (found.version >= own)
        return true;
    const bool is_same_era = m_gossip.replica().era() == m_configuration_era;
    if (!is_same_era && m_gossip.replica().is_confirmed(it))
        return true;
    common::log(is_same_era ? common::log_level::error : common::log_level::warn,
                is_same_era ? "configuration_regressed" : "older_configuration_restored",
                {{"version", found.version},
                 {"own_version", own},
                 {"era", m_gossip.replica().era()},
                 {"own_era", m_configuration_era}});
    if (!is_same_era)
        m_older_configuration_timer =
            m_loop.after(rewrite_grace, [this, key = it.key] { adopt_older_configuration(key); });
    return false;
}

void state_follower::adopt_older_configuration(const std::string& key)
{
    const auto& items = m_gossip.replica().items();
    const auto it = items.find(key);
    auto found = it == items.end() ? std::nullopt : m_adapter.read_configuration(it->second.value);
    if (!found)
        return;
    put_in_force(std::move(*found), it->second.mod_revision);
    if (m_on_change)
        m_on_change();
}

void state_follower::handle_gateways_pruned()
{
    update_peers();
    if (m_on_change)
        m_on_change();
}

void state_follower::update_peers()
{
    m_peers = m_registry.peers();
    m_gossip.set_peers(m_peers);
    update_watch_period();
}

/// Processes that don't watch rely on the confirmations of those that do.
void state_follower::update_watch_period()
{
    if (m_watch)
        m_watch->confirm_every(m_gossip.has_dependents() ? m_gossip.options().confirmation_period()
                                                         : milliseconds::max());
}

} // namespace kumquatgap::gateway
