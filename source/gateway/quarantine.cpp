#include "gateway/quarantine.hpp"

#include "common/log.hpp"
#include "common/text.hpp"

#include <nlohmann/json.hpp>

#include <array>

namespace kumquatgap::gateway
{

using common::milliseconds;

namespace
{

/// How long a quarantine lasts: the longest lease of the store.
constexpr milliseconds quarantine_time{600'000};
/// The same for a request after its first crash, which it may have met by accident.
constexpr milliseconds first_request_quarantine_time{60'000};
/// All gateways come to the same conclusion; they write it spread over this time, so that most find
/// it written.
constexpr milliseconds save_spread{500};
constexpr milliseconds save_retry{3000};
/// The most bytes of evidence about whole requests in a broadcast, beside that about parts. A crash
/// then names the requests of a dozen slots.
constexpr std::size_t max_request_broadcast_bytes = 3072;

/// The names of a kind in the store, in logs and in metrics.
struct kind_names
{
    std::string_view prefix;
    std::string_view quarantined_event;
    std::string_view released_event;
    std::string_view quarantined_metric;
    std::string_view suspects_metric;
};

constexpr auto s_names = std::to_array<kind_names>(
    {{"kqg/quarantine/", "prompt_part_quarantined", "prompt_part_released", "kqg_quarantined_parts",
      "kqg_suspect_parts"},
     {"kqg/quarantined_requests/", "request_quarantined", "request_released",
      "kqg_quarantined_requests", "kqg_suspect_requests"}});

const kind_names& names_of(quarantine_kind kind)
{
    return s_names[static_cast<std::size_t>(kind)];
}

policy::crash_attribution_options options_of(quarantine_kind kind)
{
    policy::crash_attribution_options out{.lifetime = quarantine_time,
                                          .first_lifetime = quarantine_time};
    if (kind == quarantine_kind::prompt_part)
        return out;
    out.first_lifetime = first_request_quarantine_time;
    out.crashes_without_head = 2;
    out.quarantines_ties = false;
    out.max_broadcast_bytes = max_request_broadcast_bytes;
    return out;
}

} // namespace

quarantine::quarantine(quarantine_kind kind, kv::store& store, std::string gateway)
    : m_kind{kind}, m_store{store}, m_gateway{std::move(gateway)}, m_attribution{options_of(kind)}
{
}

std::string_view quarantine::prefix_of(quarantine_kind kind)
{
    return names_of(kind).prefix;
}

std::string quarantine::key_of(const std::string& item) const
{
    return common::concat(prefix_of(m_kind), item);
}

void quarantine::tick(timestamp now, double draw, milliseconds broadcast_interval)
{
    const auto decided = m_attribution.decide(now, broadcast_interval);
    for (const auto& item : decided.quarantined)
    {
        common::log(common::log_level::warn, names_of(m_kind).quarantined_event,
                    {{"part", item},
                     {"crashes", m_attribution.crashes_with(item)},
                     {"for_ms", m_attribution.quarantine_left({item}, now).count()}});
        m_unsaved.emplace(item, now + milliseconds{static_cast<std::int64_t>(
                                          static_cast<double>(save_spread.count()) * draw)});
    }
    for (const auto& item : decided.released)
    {
        common::log(common::log_level::info, names_of(m_kind).released_event,
                    {{"part", item}, {"reason", "served"}});
        m_unsaved.erase(item);
        remove_entry(item);
    }
    for (auto& [item, at] : m_unsaved)
    {
        if (now < at)
            continue;
        at = now + save_retry;
        save(item);
    }
}

void quarantine::save(const std::string& item)
{
    const auto left = m_attribution.quarantine_left({item}, common::now());
    // Ended before it could be written.
    if (left.count() <= 0)
        return;
    m_store.grant_lease(left,
                        [this, item](const auto& response)
                        {
                            if (response)
                                return write_entry(item, response.value());
                            common::log(common::log_level::warn, "quarantine_not_stored",
                                        {{"part", item}, {"detail", response.error().detail}});
                        });
}

void quarantine::write_entry(const std::string& item, kv::lease lease)
{
    const auto key = key_of(item);
    const auto value =
        nlohmann::json{{"by", m_gateway}, {"crashes", m_attribution.crashes_with(item)}}.dump();
    m_store.write({{{{key, 0}}, {{key, value, lease}}}},
                  [this, item](const auto& response)
                  {
                      // Written, or another gateway has written it.
                      if (response)
                          m_unsaved.erase(item);
                      else
                          common::log(common::log_level::warn, "quarantine_not_stored",
                                      {{"part", item}, {"detail", response.error().detail}});
                  });
}

void quarantine::remove_entry(const std::string& item)
{
    m_store.write({{{}, {{key_of(item), std::nullopt}}}},
                  [item](const auto& response)
                  {
                      if (!response)
                          common::log(common::log_level::warn, "quarantine_not_removed",
                                      {{"part", item}, {"detail", response.error().detail}});
                  });
}

void quarantine::handle_entry(const std::string& item, entry_change what, timestamp now)
{
    static constexpr auto s_events = std::to_array<std::string_view>(
        {"quarantine_stored", "quarantine_ended", "quarantine_lost"});
    common::log(common::log_level::info, s_events[static_cast<std::size_t>(what)],
                {{"part", item}});
    m_unsaved.erase(item);
    if (what == entry_change::written)
        m_attribution.adopt(item, now);
    else if (what == entry_change::removed)
        m_attribution.release(item, now);
    else
        m_unsaved.emplace(item, now + save_spread);
}

void quarantine::write_metrics(common::metrics& m) const
{
    m.set(names_of(m_kind).quarantined_metric,
          static_cast<std::int64_t>(m_attribution.quarantined_count()));
    m.set(names_of(m_kind).suspects_metric,
          static_cast<std::int64_t>(m_attribution.suspect_count()));
}

} // namespace kumquatgap::gateway
