#include "gateway/crash_guard.hpp"

#include "common/log.hpp"
#include "common/text.hpp"

#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace kumquatgap::gateway
{

using common::milliseconds;

namespace
{

/// How long a quarantine lasts: the longest lease of the store.
constexpr milliseconds quarantine_time{600'000};
/// All gateways come to the same conclusion; they write it spread over this time, so that most find
/// it written.
constexpr milliseconds save_spread{500};
constexpr milliseconds save_retry{3000};
/// A host that drops packets gives no answer at all.
constexpr milliseconds probe_timeout{1000};
constexpr milliseconds rebroadcast_period{100};

/// The id of a target may be used again by its next start.
std::string key_of(const fleet::target& it)
{
    return common::concat(it.id, "@", it.started_at);
}

} // namespace

crash_guard::crash_guard(kv::store& store, io::http_client& client, const protocol_adapter& adapter,
                         std::string gateway)
    : m_store{store}, m_client{client}, m_adapter{adapter}, m_gateway{std::move(gateway)},
      m_attribution{{.lifetime = quarantine_time}}
{
}

std::vector<std::string> crash_guard::shared_parts(std::string_view service,
                                                   const std::vector<std::string>& prompt_parts)
{
    std::vector<std::string> out;
    for (std::size_t i = 0; i + 1 < prompt_parts.size(); ++i)
        out.push_back(common::concat(service, "/", prompt_parts[i]));
    return out;
}

void crash_guard::record_lost(const fleet::target& it, const std::string& health_path,
                              const std::vector<std::string>& parts, bool has_head,
                              std::string_view request, timestamp now)
{
    if (parts.empty())
        return;
    const auto key = key_of(it);
    if (m_lost.try_emplace(key, it.id, it.started_at).second)
        common::log(common::log_level::info, "target_lost",
                    {{"target", it.id},
                     {"started_at", it.started_at},
                     {"id", request},
                     {"has_head", has_head ? 1 : 0},
                     {"parts", absl::StrJoin(parts, ",")}});
    m_attribution.record_lost(key, parts, has_head, now);
    if (has_head && !m_probes.contains(key))
        probe(it, health_path);
}

void crash_guard::probe(const fleet::target& it, const std::string& health_path)
{
    io::http_request request{"GET", health_path.empty() ? "/" : health_path, {}, {}, {}};
    request.headers = m_adapter.target_request_headers(request, {it.id, {}, probe_timeout, {}});
    request.headers.add("Host", it.address);
    const auto key = key_of(it);
    m_probes[key].call = m_client.send(
        it.address, request,
        {.on_end = [this, key](io::call_outcome how, const io::http_response& response)
         { handle_probe(key, how, response); }},
        {.connect_timeout = probe_timeout,
         .total_timeout = probe_timeout,
         .reuse_connection = false});
}

void crash_guard::handle_probe(const std::string& key, io::call_outcome how,
                               const io::http_response& response)
{
    const bool is_gone =
        how == io::call_outcome::not_connected || m_adapter.read_response(response).is_misdirected;
    common::log(common::log_level::info, "target_probed",
                {{"target", key},
                 {"end", io::name_of(how)},
                 {"status", response.status},
                 {"is_gone", is_gone ? 1 : 0}});
    if (is_gone)
        m_attribution.record_gone(key, common::now());
    else if (how == io::call_outcome::complete)
        m_attribution.record_alive(key);
    if (const auto it = m_probes.find(key); it != m_probes.end())
        it->second.has_ended = true;
}

void crash_guard::record_gone(const fleet::target& it, timestamp now)
{
    m_attribution.record_gone(key_of(it), now);
}

/// Confirms the crashes of targets that another start has replaced or whose entry has ended.
void crash_guard::confirm_replaced(const fleet::target_table& targets, timestamp now)
{
    const auto unconfirmed = m_attribution.unconfirmed();
    std::erase_if(m_lost, [&](const auto& it)
                  { return std::ranges::find(unconfirmed, it.first) == unconfirmed.end(); });
    for (const auto& [key, it] : m_lost)
    {
        if (!targets.is_registered(it.first, it.second, now))
            m_attribution.record_gone(key, now);
    }
}

policy::crash_evidence crash_guard::to_broadcast(timestamp now)
{
    const auto version = m_attribution.evidence_version();
    if (version == m_broadcast_version && now - m_broadcast_at < rebroadcast_period)
        return {};
    m_broadcast_version = version;
    m_broadcast_at = now;
    return m_attribution.to_broadcast(now);
}

void crash_guard::tick(const fleet::target_table& targets, timestamp now, double draw,
                       milliseconds broadcast_interval)
{
    std::erase_if(m_probes, [](const auto& it) { return it.second.has_ended; });
    confirm_replaced(targets, now);
    const auto decided = m_attribution.decide(now, broadcast_interval);
    for (const auto& part : decided.quarantined)
    {
        common::log(common::log_level::warn, "prompt_part_quarantined",
                    {{"part", part},
                     {"crashes", m_attribution.crashes_with(part)},
                     {"for_ms", quarantine_time.count()}});
        m_unsaved.emplace(part, now + milliseconds{static_cast<std::int64_t>(
                                          static_cast<double>(save_spread.count()) * draw)});
    }
    for (const auto& part : decided.released)
    {
        common::log(common::log_level::info, "prompt_part_released",
                    {{"part", part}, {"reason", "served"}});
        m_unsaved.erase(part);
        remove_entry(part);
    }
    for (auto& [part, at] : m_unsaved)
    {
        if (now < at)
            continue;
        at = now + save_retry;
        save(part);
    }
}

void crash_guard::save(const std::string& part)
{
    m_store.grant_lease(quarantine_time,
                        [this, part](const auto& response)
                        {
                            if (response)
                                return write_entry(part, response.value());
                            common::log(common::log_level::warn, "quarantine_not_stored",
                                        {{"part", part}, {"detail", response.error().detail}});
                        });
}

void crash_guard::write_entry(const std::string& part, kv::lease lease)
{
    const auto key = common::concat(quarantine_prefix, part);
    const auto value =
        nlohmann::json{{"by", m_gateway}, {"crashes", m_attribution.crashes_with(part)}}.dump();
    m_store.write({{{{key, 0}}, {{key, value, lease}}}},
                  [this, part](const auto& response)
                  {
                      // Written, or another gateway has written it.
                      if (response)
                          m_unsaved.erase(part);
                      else
                          common::log(common::log_level::warn, "quarantine_not_stored",
                                      {{"part", part}, {"detail", response.error().detail}});
                  });
}

void crash_guard::remove_entry(const std::string& part)
{
    m_store.write({{{}, {{common::concat(quarantine_prefix, part), std::nullopt}}}},
                  [part](const auto& response)
                  {
                      if (!response)
                          common::log(common::log_level::warn, "quarantine_not_removed",
                                      {{"part", part}, {"detail", response.error().detail}});
                  });
}

void crash_guard::handle_entry(const std::string& part, entry_change what, timestamp now)
{
    static constexpr auto events = std::to_array<std::string_view>(
        {"quarantine_stored", "quarantine_ended", "quarantine_lost"});
    common::log(common::log_level::info, events[static_cast<std::size_t>(what)], {{"part", part}});
    m_unsaved.erase(part);
    if (what == entry_change::written)
        m_attribution.adopt(part, now);
    else if (what == entry_change::removed)
        m_attribution.release(part, now);
    else
        m_unsaved.emplace(part, now + save_spread);
}

void crash_guard::write_metrics(common::metrics& m) const
{
    m.set("kqg_quarantined_parts", static_cast<std::int64_t>(m_attribution.quarantined_count()));
    m.set("kqg_suspect_parts", static_cast<std::int64_t>(m_attribution.suspect_count()));
}

} // namespace kumquatgap::gateway
