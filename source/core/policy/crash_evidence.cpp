#include "policy/crash_attribution.hpp"

#include <numeric>

/// The part of a crash_attribution that collects evidence and shares it with the other gateways.
namespace kumquatgap::policy
{

namespace
{

/// What a broadcast needs for a crash, and for a part, besides their names.
constexpr std::size_t crash_bytes = 64;
constexpr std::size_t part_bytes = 16;

/// A part is named in its crash, and once more with the time at which it was served.
std::size_t broadcast_bytes_of(const std::string& part)
{
    return 2 * (part.size() + part_bytes);
}

std::size_t broadcast_bytes_of(const std::set<std::string>& parts)
{
    return std::accumulate(parts.begin(), parts.end(), std::size_t{0},
                           [](std::size_t sum, const auto& it)
                           { return sum + broadcast_bytes_of(it); });
}

/// Passes the entries of a map, beginning with the key `next`, to `take` until that returns false.
/// Then `next` is the key of the refused entry, so that the following call continues there.
template <typename map_type, typename function>
void take_in_turn(const map_type& entries, std::string& next, function take)
{
    auto it = entries.lower_bound(next);
    for (std::size_t i = 0; i < entries.size(); ++i, ++it)
    {
        if (it == entries.end())
            it = entries.begin();
        if (take(*it))
            continue;
        next = it->first;
        return;
    }
}

} // namespace

void crash_attribution::record_lost(const std::string& target,
                                    const std::vector<std::string>& parts, bool has_head,
                                    timestamp now, const std::string& request)
{
    if (parts.empty())
        return;
    auto& it = m_crashes.try_emplace(target, crash{now, false, {}, {}}).first->second;
    add_parts(has_head ? it.begun : it.waiting, {parts.begin(), parts.end()});
    if (!request.empty())
        add_requests(it, {request});
    hold(it);
}

void crash_attribution::add_requests(crash& to, const std::set<std::string>& requests)
{
    for (const auto& it : requests)
    {
        if (to.requests.size() < m_options.max_requests && to.requests.insert(it).second)
            ++m_evidence_version;
    }
}

/// Adds parts to one of the two sets of a crash, each of which may fill half of a broadcast: the
/// parts that waited at the target must not keep out those that it had begun to answer.
void crash_attribution::add_parts(std::set<std::string>& to, const std::set<std::string>& parts)
{
    for (const auto& it : parts)
    {
        if (broadcast_bytes_of(to) + broadcast_bytes_of(it) <= m_options.max_broadcast_bytes / 2 &&
            to.insert(it).second)
            ++m_evidence_version;
    }
}

void crash_attribution::merge(const crash_evidence& from, timestamp now)
{
    for (const auto& [target, it] : from.crashes)
    {
        auto& own = m_crashes.try_emplace(target, crash{it.at, false, {}, {}}).first->second;
        own.at = std::min(own.at, it.at);
        if (it.is_confirmed)
            confirm(own);
        add_parts(own.begun, it.begun);
        add_parts(own.waiting, it.waiting);
        add_requests(own, it.requests);
        hold(own);
    }
    for (const auto& [part, at] : from.served)
        note_heard(part, std::min(at, now));
    for (const auto& [part, since] : from.quarantined)
    {
        // The part was served or released after that gateway drew its conclusion.
        const auto served = served_at(part);
        if (!served || *served < since)
            add_quarantine(part, since);
    }
}

crash_evidence crash_attribution::to_broadcast(timestamp now)
{
    crash_evidence out;
    std::set<std::string> parts;
    std::size_t bytes = 0;
    take_in_turn(m_crashes, m_next_crash,
                 [&](const auto& entry)
                 {
                     const auto& [target, it] = entry;
                     if (now - it.at > m_options.broadcast_time)
                         return true;
                     bytes += crash_bytes + target.size() + broadcast_bytes_of(it.begun) +
                              broadcast_bytes_of(it.waiting);
                     if (bytes > m_options.max_broadcast_bytes && !out.crashes.empty())
                         return false;
                     out.crashes.emplace(target, it);
                     parts.insert(it.begun.begin(), it.begun.end());
                     parts.insert(it.waiting.begin(), it.waiting.end());
                     return true;
                 });
    bytes = 0;
    take_in_turn(m_quarantined, m_next_quarantined,
                 [&](const auto& entry)
                 {
                     const auto& [part, it] = entry;
                     bytes += broadcast_bytes_of(part);
                     if (bytes > m_options.max_broadcast_bytes)
                         return false;
                     out.quarantined.emplace(part, it.since);
                     parts.insert(part);
                     return true;
                 });
    for (const auto& part : parts)
    {
        if (const auto at = own_served_at(part))
            out.served.emplace(part, *at);
    }
    return out;
}

} // namespace kumquatgap::policy
