#include "fleet/target_notices.hpp"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

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
    {
        out = notice{};
        out.started_at = started_at;
    }
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

bool target_notices::note_rate_limit(const std::string& id, const rate_limit& limit,
                                     notice_source from)
{
    const auto known = m_notices.find(id);
    const bool has_limit = known != m_notices.end() && known->second.per_second;
    if (!has_limit && !limit.per_second)
        return false;
    if (known != m_notices.end() && (limit.started_at < known->second.started_at ||
                                     limit.heard_at < known->second.limit_heard_at))
        return false;
    auto& it = notice_of(id, limit.started_at);
    it.limit_heard_at = limit.heard_at;
    if (from == notice_source::answer)
        it.limit_heard_here_at = limit.heard_at;
    return std::exchange(it.per_second, limit.per_second) != limit.per_second;
}

std::optional<double> target_notices::rate_limit_of(const std::string& id) const
{
    const auto it = m_notices.find(id);
    return it == m_notices.end() ? std::nullopt : it->second.per_second;
}

std::map<std::string, double> target_notices::limited() const
{
    std::map<std::string, double> out;
    for (const auto& [id, it] : m_notices)
    {
        if (it.per_second)
            out.emplace(id, *it.per_second);
    }
    return out;
}

rate_limits target_notices::limits_to_broadcast(timestamp now) const
{
    std::vector<std::pair<std::string, rate_limit>> own;
    for (const auto& [id, it] : m_notices)
    {
        if (it.limit_heard_here_at == timestamp{} ||
            now - it.limit_heard_here_at > broadcast_duration)
            continue;
        // Another gateway has heard something newer.
        if (it.limit_heard_here_at == it.limit_heard_at)
            own.emplace_back(id, rate_limit{it.started_at, it.per_second, it.limit_heard_at});
    }
    std::ranges::sort(own, std::greater{}, [](const auto& it) { return it.second.heard_at; });
    own.resize(std::min(own.size(), max_broadcast_limits));
    return {own.begin(), own.end()};
}

bool target_notices::note_cold(const std::string& id, const cold_notice& it, notice_source from)
{
    const bool is_cold = it.until > it.heard_at;
    const auto known = m_notices.find(id);
    if (known == m_notices.end() && !is_cold)
        return false;
    if (known != m_notices.end() &&
        (it.started_at < known->second.started_at ||
         (it.started_at == known->second.started_at && it.heard_at < known->second.cold_heard_at)))
        return false;
    if (from == notice_source::peer && !is_cold)
        return false;
    auto& n = notice_of(id, it.started_at);
    const bool was_cold = n.cold.until > it.heard_at;
    if (from == notice_source::peer && was_cold && it.until <= n.cold.until)
        return false;
    if (is_cold && !was_cold)
        n.cold.since = it.heard_at;
    n.cold.until = std::min(it.until, it.heard_at + max_cold_time);
    n.cold_heard_at = it.heard_at;
    n.is_cold_heard_here = from == notice_source::answer;
    m_cold_until = std::max(m_cold_until, n.cold.until);
    if (is_cold && !was_cold && n.is_cold_heard_here)
        ++m_cold_version;
    return is_cold != was_cold;
}

std::optional<cold_period> target_notices::cold_period_of(const std::string& id,
                                                          timestamp now) const
{
    const auto it = m_notices.find(id);
    if (it == m_notices.end() || it->second.cold.until <= now)
        return std::nullopt;
    return it->second.cold;
}

std::set<std::string> target_notices::cold(timestamp now) const
{
    std::set<std::string> out;
    for (const auto& [id, it] : m_notices)
    {
        if (it.cold.until > now)
            out.insert(id);
    }
    return out;
}

cold_notices target_notices::cold_to_broadcast(timestamp now) const
{
    std::vector<std::pair<std::string, cold_notice>> own;
    if (!has_cold(now))
        return {};
    for (const auto& [id, it] : m_notices)
    {
        if (it.is_cold_heard_here && it.cold.until > now)
            own.emplace_back(id, cold_notice{it.started_at, it.cold.until, it.cold_heard_at});
    }
    std::ranges::sort(own, std::greater{}, [](const auto& it) { return it.second.heard_at; });
    own.resize(std::min(own.size(), max_broadcast_cold));
    return {own.begin(), own.end()};
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
                      const bool is_limit_recent = n.limit_heard_at != timestamp{} &&
                                                   now - n.limit_heard_at < rate_limit_lifetime;
                      // Kept after the cold time too, so that a delayed message of another gateway
                      // does not start it again.
                      const bool is_cold_recent =
                          n.cold.until > now || (n.cold_heard_at != timestamp{} &&
                                                 now - n.cold_heard_at < cold_notice_lifetime);
                      return !is_kept && !is_limit_recent && n.busy_until <= now && !is_cold_recent;
                  });
}

} // namespace kumquatgap::fleet
