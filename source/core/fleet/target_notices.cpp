#include "fleet/target_notices.hpp"

#include <algorithm>

namespace kumquatgap::fleet
{

bool target_notices::is_leaving(const notice& it, timestamp now)
{
    return it.leaves_since && (it.started_at != 0 || now - *it.leaves_since < unknown_start_kept);
}

target_notices::notice& target_notices::notice_of(const std::string& id, std::int64_t started_at)
{
    auto& out = m_notices[id];
    if (out.started_at != started_at)
        out = {.started_at = started_at, .leaves_since = {}, .heard_at = {}, .busy_until = {}};
    return out;
}

bool target_notices::note_leaving(const std::string& id, std::int64_t started_at,
                                  notice_source from, timestamp now)
{
    // What another gateway heard of an earlier start is no news of this one.
    if (const auto it = m_notices.find(id);
        it != m_notices.end() && started_at < it->second.started_at)
        return false;
    auto& it = notice_of(id, started_at);
    if (from == notice_source::answer)
        it.heard_at = now;
    if (is_leaving(it, now))
        return false;
    it.leaves_since = now;
    return true;
}

bool target_notices::note_busy(const std::string& id, std::int64_t started_at, milliseconds time,
                               timestamp now)
{
    if (time.count() <= 0)
        return false;
    auto& it = notice_of(id, started_at);
    const bool was_free = it.busy_until <= now;
    it.busy_until = std::max(it.busy_until, now + std::min(time, longest_busy));
    return was_free;
}

void target_notices::entry_written(const std::string& id, std::int64_t started_at)
{
    if (started_at != 0 && m_notices.contains(id))
        notice_of(id, started_at);
}

bool target_notices::is_leaving(const std::string& id, timestamp now) const
{
    const auto it = m_notices.find(id);
    return it != m_notices.end() && is_leaving(it->second, now);
}

std::optional<timestamp> target_notices::busy_until(const std::string& id, timestamp now) const
{
    const auto it = m_notices.find(id);
    if (it == m_notices.end() || it->second.busy_until <= now)
        return std::nullopt;
    return it->second.busy_until;
}

leaving_targets target_notices::to_tell(timestamp now) const
{
    leaving_targets out;
    for (const auto& [id, it] : m_notices)
    {
        if (it.heard_at && now - *it.heard_at < told_for)
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
                          is_leaving(n, now) &&
                          (has_entry(id) || now - *n.leaves_since < without_entry_kept);
                      return !is_kept && n.busy_until <= now;
                  });
}

} // namespace kumquatgap::fleet
