#include "shell/config_follower.hpp"

#include "common/log.hpp"
#include "membership/message.hpp"

#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>

namespace kumquatgap::shell
{

using common::failure;
using common::milliseconds;

namespace
{

/// How often the head key is read to detect a watch that has stopped delivering changes.
constexpr milliseconds head_check_period{2000};
constexpr milliseconds status_period{2000};
/// Longest list of hosts behind the newest revision in the status; the count is always exact.
constexpr std::size_t max_listed_behind = 10;

std::vector<membership::peer> parse_seeds(const std::string& text)
{
    std::vector<membership::peer> out;
    for (const auto part : absl::StrSplit(text, ',', absl::SkipWhitespace()))
    {
        const std::string address{part};
        out.push_back({address, address});
    }
    return out;
}

membership::gossip_options make_gossip_options(const common_settings& settings)
{
    membership::gossip_options out;
    out.apply_time = settings.apply_time;
    return out;
}

std::string to_status(const membership::propagation_report& report)
{
    auto listed = report.behind;
    listed.resize(std::min(listed.size(), max_listed_behind));
    return nlohmann::json{{"in_force_revision", std::to_string(report.lowest)},
                          {"hosts", report.hosts},
                          {"behind_count", report.behind.size()},
                          {"behind", std::move(listed)}}
        .dump();
}

} // namespace

config_follower::config_follower(io::event_loop& loop, kv::store& source,
                                 const common_settings& settings)
    : m_loop{loop}, m_store{source}, m_settings{settings}, m_gossip{{settings.host,
                                                                     settings.control_address},
                                                                    make_gossip_options(settings),
                                                                    std::random_device{}()},
      m_bus{loop, [this](std::string_view bytes) { receive(bytes); }}, m_seeds{parse_seeds(
                                                                           settings.control_seeds)}
{
}

bool config_follower::start()
{
    if (!m_settings.control_address.empty() && !m_bus.listen(m_settings.control_address))
    {
        common::log(common::log_level::error, "no_address",
                    {{"address", m_settings.control_address}});
        return false;
    }
    update_peers();
    m_tick_timer = m_loop.every(m_gossip.options().tick_period(),
                                [this] { execute_actions(m_gossip.tick(common::now())); });
    m_head_timer = m_loop.every(head_check_period, [this] { check_head(); });
    m_status_timer = m_loop.every(status_period, [this] { write_status(); });
    // Deferred, since the response that shows the restore may itself end the watch.
    m_store.on_restored([this] { m_loop.defer([this] { handle_store_restored(); }); });
    execute_actions(m_gossip.begin(common::now()));
    return true;
}

void config_follower::write_metrics(common::metrics& m) const
{
    m.set("kqg_config_revision", replica().as_of());
    m.set("kqg_control_bytes", static_cast<std::int64_t>(m_bus.bytes()));
    m.set("kqg_is_watching", m_gossip.is_watching() ? 1 : 0);
}

void config_follower::execute_actions(const membership::actions& actions)
{
    for (const auto& it : actions)
        std::visit([this](const auto& action) { execute(action); }, it);
    if (const auto to = m_gossip.take_regression())
        common::log(common::log_level::error, "config_regressed",
                    {{"own_revision", replica().as_of()},
                     {"own_era", replica().era()},
                     {"revision", to->at},
                     {"era", to->in_era}});
    refresh();
}

void config_follower::execute(const membership::send_message& it)
{
    common::log(common::log_level::debug, "control_message_sent",
                {{"kind", membership::name_of(it.payload)},
                 {"revision", membership::revision_of(it.payload)},
                 {"to", it.address}});
    m_bus.send(it.address, membership::to_bytes(it.payload, m_settings.deployment_token));
}

void config_follower::execute(const membership::read_store& /*it*/)
{
    m_store.range(std::string{config::replicated_prefix},
                  [this](const auto& response)
                  {
                      if (response)
                          return execute_actions(
                              m_gossip.read_finished(response.value(), common::now()));
                      common::log(common::log_level::warn, "store_lost",
                                  {{"code", common::number(response.error().code)},
                                   {"detail", response.error().detail}});
                      execute_actions(m_gossip.store_failed(common::now()));
                  });
}

void config_follower::execute(const membership::start_watch& /*it*/)
{
    const auto era = replica().era();
    common::log(common::log_level::info, "watch_started",
                {{"revision", replica().as_of()}, {"era", era}});
    m_watch = m_store.start_watch(
        std::string{config::replicated_prefix}, {era, replica().as_of() + 1},
        {[this, era](auto as_of, auto changes, auto confirmed_at)
         {
             execute_actions(m_gossip.store_changed(
                 {replica().as_of(), as_of, std::move(changes), era}, common::now(), confirmed_at));
         },
         [this](const failure& why) { on_watch_lost(why); }});
}

void config_follower::execute(const membership::stop_watch& /*it*/)
{
    // This may run inside a callback of the watch, so the watch is destroyed from the event loop.
    m_loop.defer([old_watch = std::shared_ptr<kv::watch>{std::move(m_watch)}] {});
}

void config_follower::receive(std::string_view bytes)
{
    const auto message =
        membership::from_bytes(bytes, m_settings.deployment_token, m_gossip.default_era());
    if (!message)
    {
        common::log(common::log_level::warn, "control_message_refused",
                    {{"code", common::number(common::result_code::bad_message)}});
        return;
    }
    common::log(
        common::log_level::debug, "control_message_received",
        {{"kind", membership::name_of(*message)}, {"revision", membership::revision_of(*message)}});
    execute_actions(m_gossip.handle(*message, common::now()));
}

void config_follower::on_watch_lost(const failure& why)
{
    if (!m_gossip.is_watching())
        return;
    common::log(common::log_level::warn, "watch_lost",
                {{"code", common::number(why.code)}, {"detail", why.detail}});
    execute_actions(m_gossip.store_failed(common::now(), membership::failure_of_watch(why.code)));
}

/// A watch whose connection no longer delivers anything can't be distinguished from a watch without
/// changes. Every accepted change also writes the head key, so a head newer than the replica means
/// that the watch has lost changes.
void config_follower::check_head()
{
    if (!m_gossip.is_watching())
        return;
    m_store.get(std::string{config::head_key},
                [this, asked_at = common::now()](const auto& response)
                {
                    if (!m_gossip.is_watching())
                        return;
                    if (!response)
                        return on_watch_lost(response.error());
                    const auto head = response.value() ? response.value()->mod_revision : 0;
                    if (head > replica().as_of())
                        return on_watch_lost({common::result_code::compacted,
                                              "the watch stopped delivering changes"});
                    m_gossip.store_responded(asked_at);
                });
}

void config_follower::handle_store_restored()
{
    if (replica().era() < m_store.current_era())
        execute_actions(m_gossip.store_restored(common::now()));
    m_written_status.clear();
}

void config_follower::refresh()
{
    // The peers have seen a restored store. The other users of the store in this process learn it
    // from a response only.
    if (replica().era() > m_store.current_era() && !std::exchange(m_is_era_requested, true))
        m_store.get(std::string{config::head_key},
                    [this](const auto& /*response*/) { m_is_era_requested = false; });
    if (m_view_version == replica().version())
        return;
    m_view_version = replica().version();
    m_view = std::make_shared<const config::view>(replica());
    common::log(common::log_level::info, "config_in_force", {{"revision", replica().as_of()}});
    update_peers();
    if (m_on_change)
        m_on_change();
}

void config_follower::update_peers()
{
    if (m_settings.control_address.empty())
        return;
    std::vector<membership::peer> peers;
    for (const auto& [name, it] : m_view->hosts())
    {
        if (it.data_centre == m_settings.data_centre && !it.control_address.empty())
            peers.push_back({name, it.control_address});
    }
    // Seeds take no part in the takeover order once the hosts are known.
    m_gossip.set_peers(peers.empty() ? m_seeds : peers);
}

/// The primary watcher of each data centre writes to the store, for operators, which revision is in
/// effect on all of its hosts.
void config_follower::write_status()
{
    if (!m_gossip.is_primary_watcher(common::now()))
        return;
    auto status = to_status(m_gossip.report());
    if (status == m_written_status)
        return;
    const auto key = std::string{config::status_prefix} + m_settings.data_centre;
    m_store.write({{{}, {{key, status}}}},
                  [this, status](const auto& response)
                  {
                      if (response)
                          m_written_status = status;
                  });
}

} // namespace kumquatgap::shell
