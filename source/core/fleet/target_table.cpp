#include "fleet/target_table.hpp"

#include <algorithm>

namespace kumquatgap::fleet
{

void target_table::put(target it, timestamp now)
{
    m_notices.entry_updated(it.id, it.started_at);
    if (const auto old = m_rows.find(it.id); old != m_rows.end())
    {
        const auto& known = old->second.entry;
        if (known.is_draining && known.started_at == it.started_at && !it.is_confirmed)
            m_notices.note_draining(it.id, it.started_at, notice_source::peer, now);
        if (old->second.kept_until && *old->second.kept_until <= now)
            drop(old, *old->second.kept_until);
        else
            drop_claim(known);
    }
    const bool is_held = !it.is_confirmed && was_removed(it);
    m_claims[it.address].emplace(it.written_at, it.id);
    const auto id = it.id;
    m_rows.insert_or_assign(
        id, row{std::move(it), std::nullopt, is_held ? now + unconfirmed_hold : timestamp{}});
}

/// True when the entry of this start of the target was removed before.
bool target_table::was_removed(const target& it) const
{
    const auto found = m_removed.find(it.id);
    return found != m_removed.end() && found->second.started_at == it.started_at;
}

void target_table::drop_claim(const target& it)
{
    const auto claims = m_claims.find(it.address);
    if (claims == m_claims.end())
        return;
    claims->second.erase({it.written_at, it.id});
    if (claims->second.empty())
        m_claims.erase(claims);
}

void target_table::release_address(const std::string& id)
{
    if (const auto it = m_rows.find(id); it != m_rows.end())
        drop_claim(it->second.entry);
}

void target_table::remove(const std::string& id, timestamp now,
                          std::optional<timestamp> store_recovered_at)
{
    const auto it = m_rows.find(id);
    if (it == m_rows.end())
        return;
    if (store_recovered_at && !it->second.entry.is_draining)
    {
        if (!it->second.kept_until)
            it->second.kept_until =
                std::min(now + max_expired_retention, *store_recovered_at + expiry_grace);
        return;
    }
    drop(it, now);
}

void target_table::drop(std::map<std::string, row>::iterator it, timestamp at)
{
    const auto& entry = it->second.entry;
    m_removed.insert_or_assign(entry.id, removed_target{entry.started_at, at});
    drop_claim(entry);
    m_rows.erase(it);
}

bool target_table::note_draining(const std::string& id, std::int64_t started_at, notice_source from,
                                 timestamp now)
{
    return m_notices.note_draining(id, started_at, from, now);
}

void target_table::prune(timestamp now)
{
    m_notices.prune([this](const std::string& id) { return m_rows.contains(id); }, now);
    std::erase_if(m_removed,
                  [now](const auto& it) { return now - it.second.at > removed_retention; });
}

bool target_table::note_busy(const std::string& id, std::int64_t started_at, milliseconds time,
                             timestamp now)
{
    return m_notices.note_busy(id, started_at, time, now);
}

bool target_table::note_entry_cold(const target& it, timestamp now)
{
    // The entry of a copy of the store is as old as the copy.
    if (!it.is_confirmed)
        return false;
    auto left = it.cold_for;
    const auto known = m_rows.find(it.id);
    if (known == m_rows.end() || known->second.entry.started_at != it.started_at)
    {
        if (it.age)
            left = std::clamp(left + max_write_delay - *it.age, milliseconds{0}, left);
        // It may be older than what responses or other gateways have said since.
        m_notices.entry_updated(it.id, it.started_at);
        const auto heard = m_notices.cold_period_of(it.id, now);
        if (left.count() == 0 || (heard && heard->until >= now + left))
            return false;
    }
    return m_notices.note_cold(it.id, {it.started_at, now + left, now}, notice_source::answer);
}

bool target_table::owns_address(const target& it) const
{
    const auto claims = m_claims.find(it.address);
    return claims != m_claims.end() && claims->second.rbegin()->second == it.id;
}

/// True for a target whose entry is valid and that owns its address.
bool target_table::has_valid_entry(const row& r, timestamp now) const
{
    return owns_address(r.entry) && (!r.kept_until || now < *r.kept_until) && now >= r.held_until;
}

bool target_table::is_in_service(const row& r, timestamp now) const
{
    return has_valid_entry(r, now) && !is_draining(r.entry, now);
}

bool target_table::is_registered(const std::string& id, std::int64_t started_at,
                                 timestamp now) const
{
    const auto it = m_rows.find(id);
    return it != m_rows.end() && it->second.entry.started_at == started_at &&
           (!it->second.kept_until || now < *it->second.kept_until) &&
           owns_address(it->second.entry);
}

bool target_table::is_usable(const row& r, timestamp now) const
{
    return is_in_service(r, now) && !m_notices.busy_until(r.entry.id, now);
}

const target* target_table::find_usable(const std::string& id, timestamp now) const
{
    const auto it = m_rows.find(id);
    return it == m_rows.end() || !is_usable(it->second, now) ? nullptr : &it->second.entry;
}

std::vector<const target*> target_table::usable(std::string_view service, timestamp now) const
{
    std::vector<const target*> out;
    for (const auto& [id, r] : m_rows)
    {
        if (r.entry.service == service && is_usable(r, now))
            out.push_back(&r.entry);
    }
    return out;
}

std::vector<const target*> target_table::registered(std::string_view service, timestamp now) const
{
    std::vector<const target*> out;
    for (const auto& [id, r] : m_rows)
    {
        if (r.entry.service == service && has_valid_entry(r, now))
            out.push_back(&r.entry);
    }
    return out;
}

std::vector<std::string> target_table::ids_of(std::string_view service) const
{
    std::vector<std::string> out;
    for (const auto& [id, r] : m_rows)
    {
        if (r.entry.service == service)
            out.push_back(id);
    }
    return out;
}

const std::string& target_table::service_of(const std::string& id) const
{
    static const std::string s_none;
    const auto it = m_rows.find(id);
    return it == m_rows.end() ? s_none : it->second.entry.service;
}

} // namespace kumquatgap::fleet
