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

/// How often a watch is checked for having gone silent.
constexpr milliseconds head_check_period{2000};
constexpr milliseconds status_period{2000};
constexpr std::size_t most_named_behind = 10;

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

std::string to_status(const membership::propagation_report& report)
{
    auto named = report.behind;
    named.resize(std::min(named.size(), most_named_behind));
    return nlohmann::json{{"in_force_revision", std::to_string(report.lowest)},
                          {"hosts", report.hosts},
                          {"behind_count", report.behind.size()},
                          {"behind", std::move(named)}}
        .dump();
}

} // namespace

config_follower::config_follower(io::event_loop& loop, kv::store& source,
                                 const common_settings& settings)
    : m_loop{loop}, m_store{source}, m_settings{settings}, m_spreader{{settings.host,
                                                                       settings.control_address},
                                                                      membership::gossip_options{},
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
    m_tick_timer = m_loop.every(membership::gossip_options{}.period,
                                [this] { carry_out(m_spreader.tick(common::now())); });
    m_head_timer = m_loop.every(head_check_period, [this] { check_head(); });
    m_status_timer = m_loop.every(status_period, [this] { write_status(); });
    carry_out(m_spreader.begin(common::now()));
    return true;
}

void config_follower::write_metrics(common::metrics& m) const
{
    m.set("kqg_config_revision", replica().as_of());
    m.set("kqg_control_bytes", static_cast<std::int64_t>(m_bus.bytes()));
    m.set("kqg_is_watching", m_spreader.is_watching() ? 1 : 0);
}

void config_follower::carry_out(const membership::actions& list)
{
    for (const auto& it : list)
        std::visit([this](const auto& action) { take(action); }, it);
    if (m_spreader.take_regression())
        common::log(common::log_level::error, "config_regressed",
                    {{"own_revision", replica().as_of()}});
    refresh();
}

void config_follower::take(const membership::send_message& it)
{
    common::log(common::log_level::debug, "control_message_sent",
                {{"kind", membership::name_of(it.payload)},
                 {"revision", membership::revision_of(it.payload)},
                 {"to", it.address}});
    m_bus.send(it.address, membership::to_bytes(it.payload, m_settings.deployment_token));
}

void config_follower::take(const membership::read_store& /*it*/)
{
    m_store.range(std::string{config::replicated_prefix},
                  [this](const auto& answer)
                  {
                      if (answer)
                          return carry_out(m_spreader.read_finished(answer.value(), common::now()));
                      common::log(common::log_level::warn, "store_lost",
                                  {{"code", common::number(answer.error().code)},
                                   {"detail", answer.error().detail}});
                      carry_out(m_spreader.store_failed(common::now()));
                  });
}

void config_follower::take(const membership::start_watch& /*it*/)
{
    common::log(common::log_level::info, "watch_started", {{"revision", replica().as_of()}});
    m_watch = m_store.start_watch(
        std::string{config::replicated_prefix}, replica().as_of() + 1,
        {[this](auto as_of, auto changes)
         {
             carry_out(m_spreader.store_changed({replica().as_of(), as_of, std::move(changes)},
                                                common::now()));
         },
         [this](const failure& why) { watch_lost(why); }});
}

void config_follower::take(const membership::stop_watch& /*it*/)
{
    // The watch may be inside one of its own functions.
    m_loop.defer([old = std::shared_ptr<kv::watch>{std::move(m_watch)}] {});
}

void config_follower::receive(std::string_view bytes)
{
    const auto m = membership::from_bytes(bytes, m_settings.deployment_token);
    if (!m)
    {
        common::log(common::log_level::warn, "control_message_refused",
                    {{"code", common::number(common::result_code::bad_message)}});
        return;
    }
    common::log(common::log_level::debug, "control_message_received",
                {{"kind", membership::name_of(*m)}, {"revision", membership::revision_of(*m)}});
    carry_out(m_spreader.handle(*m, common::now()));
}

void config_follower::watch_lost(const failure& why)
{
    if (!m_spreader.is_watching())
        return;
    common::log(common::log_level::warn, "watch_lost",
                {{"code", common::number(why.code)}, {"detail", why.detail}});
    carry_out(m_spreader.store_failed(common::now()));
}

/// A watch whose connection has gone silent looks like one without changes. The head key, which
/// every accepted change moves, tells them apart.
void config_follower::check_head()
{
    if (!m_spreader.is_watching())
        return;
    m_store.get(std::string{config::head_key},
                [this](const auto& answer)
                {
                    if (!m_spreader.is_watching())
                        return;
                    if (!answer)
                        return watch_lost(answer.error());
                    const auto head = answer.value() ? answer.value()->mod_revision : 0;
                    if (head > replica().as_of())
                        return watch_lost({common::result_code::store_unavailable,
                                           "the watch has fallen silent"});
                    m_spreader.store_responded(common::now());
                });
}

void config_follower::refresh()
{
    if (m_seen_version == replica().version())
        return;
    m_seen_version = replica().version();
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
    // Seeds have no place in the order of succession once the hosts are known.
    m_spreader.set_peers(peers.empty() ? m_seeds : peers);
}

/// One process of each data centre tells the operators what is in force there.
void config_follower::write_status()
{
    if (!m_spreader.is_primary_watcher(common::now()))
        return;
    auto status = to_status(m_spreader.report());
    if (status == m_written_status)
        return;
    const auto key = std::string{config::status_prefix} + m_settings.data_centre;
    m_store.write({{{}, {{key, status, 0}}}},
                  [this, status](const auto& answer)
                  {
                      if (answer)
                          m_written_status = status;
                  });
}

} // namespace kumquatgap::shell
