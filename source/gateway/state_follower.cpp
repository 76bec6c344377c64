#include "gateway/state_follower.hpp"

#include "common/log.hpp"
#include "fleet/target_pace.hpp"

#include <algorithm>
#include <random>

namespace kumquatgap::gateway
{

using common::failure;
using common::milliseconds;

namespace
{

/// Gateways write their control addresses below this prefix, each under a lease.
constexpr std::string_view gateways_prefix = "kqg/gateways/";
/// A gateway that has gone is forgotten after this long.
constexpr milliseconds registration_ttl{10'000};
constexpr milliseconds registration_period{3000};

membership::spreader_options spreading()
{
    membership::spreader_options out;
    // With a handful of gateways each one watches, so that each sees an outage itself.
    out.watchers = 8;
    out.period = milliseconds{500};
    out.first_read_pause = milliseconds{200};
    out.longest_read_pause = milliseconds{1500};
    // Each gateway tells its own state in its metrics.
    out.reports = false;
    return out;
}

} // namespace

state_follower::state_follower(io::event_loop& loop, kv::store& source, const wire& names,
                               const shell::common_settings& settings)
    : m_loop{loop}, m_store{source}, m_wire{names}, m_settings{settings},
      m_spreader{{settings.host, settings.control_address}, spreading(), std::random_device{}()},
      m_bus{loop, [this](std::string_view bytes) { receive(bytes); }}
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
    m_tick_timer = m_loop.every(spreading().period,
                                [this]
                                {
                                    m_targets.prune(common::now());
                                    carry_out(m_spreader.tick(common::now()));
                                });
    carry_out(m_spreader.begin(common::now()));
    register_self();
    return true;
}

void state_follower::write_metrics(common::metrics& m, common::timestamp now) const
{
    m.set("kqg_state_revision", as_of());
    m.set("kqg_config_version", m_configuration ? m_configuration->version : 0);
    m.set("kqg_targets", static_cast<std::int64_t>(m_targets.size()));
    m.set("kqg_gateways", static_cast<std::int64_t>(m_peers.size() + 1));
    m.set("kqg_control_bytes", static_cast<std::int64_t>(m_bus.bytes()));
    m.set("kqg_store_lost", m_store_is_lost ? 1 : 0);
    // -1: not yet.
    m.set("kqg_store_heard_age_ms",
          m_store_heard_at == common::timestamp{} ? -1 : (now - m_store_heard_at).count());
    m.set("kqg_config_age_ms", m_configuration ? (now - m_configured_at).count() : -1);
}

void state_follower::carry_out(const membership::actions& list)
{
    for (const auto& it : list)
        std::visit([this](const auto& action) { take(action); }, it);
    if (m_spreader.take_regression())
        common::log(common::log_level::error, "state_regressed", {{"own_revision", as_of()}});
    refresh();
}

void state_follower::take(const membership::send_message& it)
{
    m_bus.send(it.address, membership::to_bytes(it.what, m_settings.deployment_token));
}

void state_follower::take(const membership::read_store& /*it*/)
{
    m_store.range(std::string{m_wire.followed_prefix()},
                  [this](const auto& answer)
                  {
                      if (answer)
                      {
                          store_answered();
                          return carry_out(m_spreader.store_read(answer.value(), common::now()));
                      }
                      store_lost(answer.error());
                  });
}

void state_follower::take(const membership::start_watch& /*it*/)
{
    common::log(common::log_level::info, "watch_started", {{"revision", as_of()}});
    m_watch = m_store.start_watch(
        std::string{m_wire.followed_prefix()}, as_of() + 1,
        {[this](auto to, auto changes)
         {
             store_answered();
             carry_out(m_spreader.store_changed({as_of(), to, std::move(changes)}, common::now()));
         },
         [this](const failure& why) { store_lost(why); }});
}

void state_follower::take(const membership::stop_watch& /*it*/)
{
    // The watch may be inside one of its own functions.
    m_loop.defer([old = std::shared_ptr<kv::watch>{std::move(m_watch)}] {});
}

void state_follower::receive(std::string_view bytes)
{
    const auto m = membership::from_bytes(bytes, m_settings.deployment_token);
    if (!m)
    {
        common::log(common::log_level::warn, "control_message_refused",
                    {{"code", common::number(common::result_code::bad_message)}});
        return;
    }
    carry_out(m_spreader.received(*m, common::now()));
}

void state_follower::store_answered()
{
    m_store_heard_at = common::now();
    if (!std::exchange(m_store_is_lost, false))
        return;
    m_store_back_at = common::now();
    common::log(common::log_level::info, "store_regained", {{"revision", as_of()}});
}

void state_follower::store_lost(const failure& why)
{
    if (!std::exchange(m_store_is_lost, true))
        common::log(
            common::log_level::warn, "store_lost",
            {{"code", common::number(why.code)}, {"detail", why.detail}, {"revision", as_of()}});
    carry_out(m_spreader.store_failed(common::now()));
}

/// When the store came back, if an entry that goes now may have lapsed for want of it; now while
/// it is away.
std::optional<common::timestamp> state_follower::lapse_cause(common::timestamp now) const
{
    if (m_store_is_lost)
        return now;
    const bool is_recent = now - m_store_back_at < fleet::target_table::lapse_grace;
    return is_recent ? std::optional{m_store_back_at} : std::nullopt;
}

/// Reads what is new in the replica. Items are compared by revision, so that a change costs the
/// items that it touched and not all of them.
void state_follower::refresh()
{
    if (m_seen_version == m_spreader.copy().version())
        return;
    m_seen_version = m_spreader.copy().version();
    const auto& items = m_spreader.copy().items();
    for (const auto& [key, it] : items)
    {
        auto& known = m_read_revisions[key];
        if (known == it.modified)
            continue;
        known = it.modified;
        read_written(it);
    }
    for (auto it = m_read_revisions.begin(); it != m_read_revisions.end();)
    {
        if (items.contains(it->first))
        {
            ++it;
            continue;
        }
        read_removed(it->first);
        it = m_read_revisions.erase(it);
    }
    update_peers();
    if (m_on_change)
        m_on_change();
}

void state_follower::read_written(const kv::key_value& it)
{
    if (m_wire.is_configuration(it.key))
        return adopt_configuration(it);
    if (it.key.starts_with(gateways_prefix))
    {
        m_registered.insert_or_assign(it.key.substr(gateways_prefix.size()), it.value);
        return;
    }
    if (it.key.starts_with(fleet::pace_prefix))
        return read_pace(it);
    const auto id = m_wire.target_id(it.key);
    if (id.empty())
        return;
    auto found = m_wire.read_target(id, it.value);
    if (!found)
        return m_targets.remove(std::string{id}, common::now(), std::nullopt);
    common::log(common::log_level::info, "target_learnt",
                {{"target", found->id},
                 {"service", found->service},
                 {"address", found->address},
                 {"leaving", found->is_leaving ? 1 : 0},
                 {"revision", it.modified}});
    found->revision = it.modified;
    m_targets.put(std::move(*found));
}

void state_follower::target_found_wrong(const std::string& id)
{
    common::log(common::log_level::info, "target_is_another", {{"target", id}});
    m_targets.found_wrong(id);
}

void state_follower::target_leaves(const std::string& id, std::int64_t started_at,
                                   std::string_view peer)
{
    const auto from = peer.empty() ? fleet::notice_source::answer : fleet::notice_source::peer;
    if (!m_targets.found_leaving(id, started_at, from, common::now()))
        return;
    common::log(common::log_level::info, "target_leaves",
                {{"target", id},
                 {"started_at", started_at},
                 {"heard_from", peer.empty() ? "answer" : peer},
                 {"code", common::number(common::result_code::target_draining)}});
    if (m_on_change)
        m_on_change();
}

void state_follower::target_is_busy(const std::string& id, std::int64_t started_at,
                                    common::milliseconds time)
{
    if (m_targets.found_busy(id, started_at, time, common::now()))
        common::log(common::log_level::info, "target_is_busy",
                    {{"target", id},
                     {"for_ms", time.count()},
                     {"code", common::number(common::result_code::target_busy)}});
}

void state_follower::read_pace(const kv::key_value& it)
{
    const auto address = it.key.substr(fleet::pace_prefix.size());
    const auto pace = fleet::pace_from_text(it.value);
    common::log(common::log_level::info, "target_pace",
                {{"address", address},
                 {"pace_thousandths", it.value},
                 {"is_read", pace ? 1 : 0},
                 {"revision", it.modified}});
    if (pace)
        m_paces.insert_or_assign(address, *pace);
}

double state_follower::pace_of(const std::string& address) const
{
    const auto it = m_paces.find(address);
    return it == m_paces.end() ? 1 : it->second;
}

void state_follower::read_removed(const std::string& key)
{
    if (key.starts_with(fleet::pace_prefix))
    {
        m_paces.erase(key.substr(fleet::pace_prefix.size()));
        return;
    }
    if (key.starts_with(gateways_prefix))
    {
        m_registered.erase(key.substr(gateways_prefix.size()));
        return;
    }
    const auto id = m_wire.target_id(key);
    if (id.empty())
        return;
    const auto now = common::now();
    const auto lapsed_for = lapse_cause(now);
    common::log(common::log_level::info, "target_gone",
                {{"target", id}, {"store_was_away", lapsed_for ? 1 : 0}});
    m_targets.remove(std::string{id}, now, lapsed_for);
}

void state_follower::adopt_configuration(const kv::key_value& it)
{
    auto found = m_wire.read_configuration(it.value);
    if (!found)
        return;
    const auto own = m_configuration ? m_configuration->version : 0;
    if (found->version < own)
    {
        common::log(common::log_level::error, "configuration_regressed",
                    {{"version", found->version}, {"own_version", own}});
        return;
    }
    common::log(
        common::log_level::info, "configuration_in_force",
        {{"version", found->version}, {"revision", it.modified}, {"routes", found->route_count()}});
    m_configured_at = common::now();
    m_configuration = std::make_shared<const fleet::configuration>(std::move(*found));
}

void state_follower::update_peers()
{
    m_peers.clear();
    for (const auto& [name, address] : m_registered)
    {
        if (name != m_settings.host)
            m_peers.push_back({name, address});
    }
    m_spreader.set_peers(m_peers);
}

void state_follower::register_self()
{
    m_register_timer = m_loop.every(registration_period, [this] { register_self(); });
    if (m_settings.control_address.empty())
        return;
    if (m_lease != 0)
        return m_store.renew_lease(m_lease,
                                   [this](const auto& answer)
                                   {
                                       if (!answer)
                                           registration_lost(answer.error());
                                   });
    m_store.grant_lease(registration_ttl,
                        [this](const auto& answer)
                        {
                            if (!answer)
                                return registration_lost(answer.error());
                            m_lease = answer.value();
                            write_registration();
                        });
}

void state_follower::write_registration()
{
    const auto key = std::string{gateways_prefix} + m_settings.host;
    m_store.write({{{}, {{key, m_settings.control_address, m_lease}}}},
                  [this](const auto& answer)
                  {
                      if (!answer)
                          registration_lost(answer.error());
                  });
}

/// Only an ended lease makes the entry go; any other failure is met by the next renewal.
void state_follower::registration_lost(const failure& why)
{
    common::log(common::log_level::warn, "registration_failed",
                {{"code", common::number(why.code)}, {"detail", why.detail}});
    const bool is_written = m_registered.contains(m_settings.host);
    if (why.code == common::result_code::not_found || !is_written)
        m_lease = 0;
}

} // namespace kumquatgap::gateway
