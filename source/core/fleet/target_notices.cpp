#include "fleet/target_notices.hpp"

#include <algorithm>

namespace kumquatgap::fleet
{

bool target_notices::is_draining(const notice& it, timestamp now)
{
    return it.draining_since &&
           (it.started_at != 0 || now - *it.draining_since < unknown_start_lifetime);
}

target_notices::notice& target_notices::notice_of(const std::string& id, std::int64_t started_at)
{
    auto& out = m_notices[id];
    if (out.started_at != started_at)
        out = {.started_at = started_at, .draining_since = {}, .heard_at = {}, .busy_until = {}};
    return out;
}

bool target_notices::note_draining(const std::string& id, std::int64_t started_at,
                                   notice_source from, timestamp now)
{
    // A notice of an earlier start, which another gateway may have received, does not apply to this
    // start.
    if (const auto it = m_notices.find(id);
        it != m_notices.end() && started_at < it->second.started_at)
        return false;
    auto& it = notice_of(id, started_at);
    if (from == notice_source::answer)
        it.heard_at = now;
    if (is_draining(it, now))
        return false;
    it.draining_since = now;
    return true;
}

bool target_notices::note_busy(const std::string& id, std::int64_t started_at, milliseconds time,
                               timestamp now)
{
    if (time.count() <= 0)
        return false;
    auto& it = notice_of(id, started_at);
    const bool was_free = it.busy_until <= now;
    it.busy_until = std::max(it.busy_until, now + std::min(time, max_busy_time));
    return was_free;
}

void target_notices::entry_updated(const std::string& id, std::int64_t started_at)
{
    if (started_at != 0 && m_notices.contains(id))
        notice_of(id, started_at);
}

bool target_notices::is_draining(const std::string& id, timestamp now) const
{
    const auto it = m_notices.find(id);
    return it != m_notices.end() && is_draining(it->second, now);
}

std::optional<timestamp> target_notices::busy_until(const std::string& id, timestamp now) const
{
    const auto it = m_notices.find(id);
    if (it == m_notices.end() || it->second.busy_until <= now)
        return std::nullopt;
    return it->second.busy_until;
}

draining_targets target_notices::draining_to_broadcast(timestamp now) const
{
    draining_targets out;
    for (const auto& [id, it] : m_notices)
    {
        if (it.heard_at && now - *it.heard_at < broadcast_duration)
            out.emplace(id, it.started_at);
    }
    return out;
}

void target_notices::prune(const std::function<bool(const std::string&)>& has_entry, timestamp now)
{
    std::erase_if(m_notices,
                  [&](const auto& it)
                  {
                      const auto& [id, n] = it;
                      const bool is_kept =
                          is_draining(n, now) &&
                          (has_entry(id) || now - *n.draining_since < missing_entry_lifetime);
                      return !is_kept && n.busy_until <= now;
                  });
}

} // namespace kumquatgap::fleet
