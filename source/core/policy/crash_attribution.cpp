#include "policy/crash_attribution.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace kumquatgap::policy
{

namespace
{

/// The weight of the newest response in the smoothed fraction of the time to a head.
constexpr double head_weight = 0.05;
/// Other gateways have reported after this many broadcasts, even if one is lost.
constexpr int broadcasts_to_settle = 3;
/// What a broadcast needs for a crash, and for a part, besides their names.
constexpr std::size_t crash_bytes = 64;
constexpr std::size_t part_bytes = 16;

bool contains_any(const std::set<std::string>& set, const std::vector<std::string>& parts)
{
    return std::ranges::any_of(parts, [&](const auto& it) { return set.contains(it); });
}

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

void crash_attribution::note_served(const std::string& part, timestamp at)
{
    auto& known = m_served[part];
    known = std::max(known, at);
    if (m_served.size() < m_options.max_served / 2)
        return;
    m_served_before = std::move(m_served);
    m_served.clear();
}

void crash_attribution::note_heard(const std::string& part, timestamp at)
{
    auto& known = m_heard[part];
    known = std::max(known, at);
}

std::optional<timestamp> crash_attribution::own_served_at(const std::string& part) const
{
    if (const auto it = m_served.find(part); it != m_served.end())
        return it->second;
    const auto it = m_served_before.find(part);
    return it == m_served_before.end() ? std::nullopt : std::optional{it->second};
}

std::optional<timestamp> crash_attribution::served_at(const std::string& part) const
{
    const auto own = own_served_at(part);
    const auto heard = m_heard.find(part);
    // An empty optional compares less than any time.
    return heard == m_heard.end() ? own : std::max(own, std::optional{heard->second});
}

void crash_attribution::record_served(const std::vector<std::string>& parts, milliseconds to_head,
                                      milliseconds to_event, timestamp now)
{
    for (const auto& it : parts)
        note_served(it, now);
    if (to_event.count() <= 0)
        return;
    const auto fraction =
        static_cast<double>(to_head.count()) / static_cast<double>(to_event.count());
    m_head_fraction += head_weight * (std::min(fraction, 1.0) - m_head_fraction);
}

void crash_attribution::record_lost(const std::string& target,
                                    const std::vector<std::string>& parts, bool has_head,
                                    timestamp now)
{
    if (parts.empty())
        return;
    auto& it = m_crashes.try_emplace(target, crash{now, false, {}, {}}).first->second;
    add_parts(has_head ? it.begun : it.waiting, {parts.begin(), parts.end()});
    hold(it);
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

void crash_attribution::confirm(crash& it)
{
    if (!std::exchange(it.is_confirmed, true))
        ++m_evidence_version;
}

/// Quarantines a part because of what the store or another gateway says.
void crash_attribution::add_quarantine(const std::string& part, timestamp since)
{
    if (m_quarantined.try_emplace(part, quarantine{since, false}).second)
        ++m_evidence_version;
}

void crash_attribution::record_gone(const std::string& target, timestamp now)
{
    confirm(m_crashes.try_emplace(target, crash{now, false, {}, {}}).first->second);
}

void crash_attribution::record_alive(const std::string& target)
{
    if (const auto it = m_crashes.find(target); it != m_crashes.end() && !it->second.is_confirmed)
        m_crashes.erase(it);
}

std::vector<std::string> crash_attribution::unconfirmed() const
{
    std::vector<std::string> out;
    for (const auto& [target, it] : m_crashes)
    {
        if (!it.is_confirmed)
            out.push_back(target);
    }
    return out;
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

void crash_attribution::adopt(const std::string& part, timestamp now)
{
    add_quarantine(part, now);
}

void crash_attribution::release(const std::string& part, timestamp now)
{
    // Counts as served, so that evidence from before does not quarantine the part again.
    if (m_quarantined.erase(part) > 0)
        note_heard(part, now);
}

void crash_attribution::forget_old(timestamp now)
{
    std::erase_if(
        m_crashes,
        [&](const auto& it)
        {
            const auto& c = it.second;
            const bool is_evidence = c.is_confirmed && !(c.begun.empty() && c.waiting.empty());
            return now - c.at > (is_evidence ? m_options.lifetime : m_options.confirmation_time);
        });
    while (m_crashes.size() > m_options.max_crashes)
        m_crashes.erase(
            std::ranges::min_element(m_crashes, {}, [](const auto& it) { return it.second.at; }));
    std::erase_if(m_quarantined,
                  [&](const auto& it) { return now - it.second.since > m_options.lifetime; });
    std::erase_if(m_heard, [&](const auto& it) { return now - it.second > m_options.lifetime; });
}

std::size_t crash_attribution::crashes_after(const std::string& part, timestamp at) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_crashes,
                                                          [&](const auto& it)
                                                          {
                                                              const auto& c = it.second;
                                                              return c.is_confirmed && c.at > at &&
                                                                     (c.begun.contains(part) ||
                                                                      c.waiting.contains(part));
                                                          }));
}

std::size_t crash_attribution::crashes_with(const std::string& part) const
{
    return crashes_after(part, timestamp{});
}

/// True when the part was served after the crash, or before it and hardly ever involved since.
bool crash_attribution::is_cleared(const std::string& part, const crash& of) const
{
    const auto at = served_at(part);
    if (!at)
        return false;
    return *at > of.at ||
           crashes_after(part, *at) < static_cast<std::size_t>(m_options.crashes_to_doubt);
}

/// The parts that may have caused the crash: those that were never served, or, when all were, those
/// with several crashes since.
std::vector<std::string> crash_attribution::uncleared(const std::set<std::string>& parts,
                                                      const crash& of) const
{
    std::vector<std::string> out;
    std::ranges::copy_if(parts, std::back_inserter(out),
                         [&](const auto& it) { return !served_at(it); });
    if (out.empty())
        std::ranges::copy_if(parts, std::back_inserter(out),
                             [&](const auto& it) { return !is_cleared(it, of); });
    return out;
}

/// Holds the parts that may have caused a crash at once, before the next conclusion, since the
/// call itself is about to be retried.
void crash_attribution::hold(const crash& it)
{
    if (!heads_come_with_events())
        return;
    const auto open = uncleared(it.begun, it);
    if (!is_explained(open, {}))
        m_held.insert(open.begin(), open.end());
}

/// True when a part that is known to crash targets accounts for the crash.
bool crash_attribution::is_explained(const std::vector<std::string>& parts,
                                     const std::set<std::string>& culprits) const
{
    return contains_any(culprits, parts) ||
           std::ranges::any_of(parts, [&](const auto& it) { return m_quarantined.contains(it); });
}

/// Finds the part that is in most crashes, given the parts in question of each. Ties are suspects,
/// before `min_crashes` only if `suspects_before` is set.
void crash_attribution::single_out(const std::vector<std::vector<std::string>>& crashes,
                                   int min_crashes, bool suspects_before,
                                   std::set<std::string>& culprits)
{
    std::map<std::string, int> counts;
    for (const auto& parts : crashes)
    {
        if (is_explained(parts, culprits))
            continue;
        for (const auto& part : parts)
            ++counts[part];
    }
    if (counts.empty())
        return;
    const auto highest =
        std::ranges::max_element(counts, {}, [](const auto& it) { return it.second; })->second;
    std::vector<std::string> leaders;
    for (const auto& [part, n] : counts)
    {
        if (n == highest)
            leaders.push_back(part);
    }
    const bool never_served =
        std::ranges::none_of(leaders, [&](const auto& it) { return served_at(it).has_value(); });
    if (highest >= min_crashes &&
        (leaders.size() == 1 || (never_served && highest >= m_options.crashes_without_head)))
        culprits.insert(leaders.begin(), leaders.end());
    else if (highest >= min_crashes)
        m_suspects.insert(leaders.begin(), leaders.end());
    else if (suspects_before)
        std::ranges::transform(counts, std::inserter(m_suspects, m_suspects.end()),
                               [](const auto& it) { return it.first; });
}

/// Finds the parts that account for the crashes, and updates the suspects and the held parts.
std::set<std::string> crash_attribution::find_culprits(timestamp now, milliseconds settle_time)
{
    m_suspects.clear();
    m_held.clear();
    std::set<std::string> culprits;
    std::vector<std::vector<std::string>> begun;
    std::vector<std::vector<std::string>> waiting;
    for (const auto& [target, it] : m_crashes)
    {
        if (it.begun.empty() || !heads_come_with_events())
        {
            auto parts = it.waiting;
            parts.insert(it.begun.begin(), it.begun.end());
            if (it.is_confirmed)
                waiting.push_back(uncleared(parts, it));
            continue;
        }
        auto open = uncleared(it.begun, it);
        if (!it.is_confirmed || now - it.at < settle_time)
            hold(it);
        else if (open.size() == 1)
            culprits.insert(open.front());
        else
            begun.push_back(std::move(open));
    }
    single_out(begun, m_options.crashes_to_single_out, true, culprits);
    single_out(waiting, m_options.crashes_without_head, false, culprits);
    return culprits;
}

/// Ends the quarantine of parts that were served since, or that late evidence clears.
std::vector<std::string> crash_attribution::release_cleared()
{
    std::vector<std::string> out;
    for (const auto& [part, it] : m_quarantined)
    {
        const auto at = served_at(part);
        if (at && (*at > it.since ||
                   (it.is_own && crashes_after(part, *at) <
                                     static_cast<std::size_t>(m_options.crashes_to_doubt))))
            out.push_back(part);
    }
    for (const auto& part : out)
        m_quarantined.erase(part);
    return out;
}

crash_attribution::decisions crash_attribution::decide(timestamp now,
                                                       milliseconds broadcast_interval)
{
    const auto settle_time =
        std::max(m_options.settle_time, broadcasts_to_settle * broadcast_interval);
    forget_old(now);
    decisions out;
    out.released = release_cleared();
    if (m_crashes.empty())
    {
        m_suspects.clear();
        m_held.clear();
        return out;
    }
    m_last_crash =
        std::ranges::max_element(m_crashes, {}, [](const auto& it) { return it.second.at; })
            ->second.at;
    for (const auto& part : find_culprits(now, settle_time))
    {
        if (m_quarantined.size() < m_options.max_quarantined &&
            m_quarantined.try_emplace(part, quarantine{now, true}).second)
            out.quarantined.push_back(part);
    }
    m_evidence_version += out.quarantined.size();
    return out;
}

part_verdict crash_attribution::judge(const std::vector<std::string>& parts) const
{
    if (std::ranges::any_of(parts, [&](const auto& it) { return m_quarantined.contains(it); }))
        return part_verdict::quarantined;
    if (contains_any(m_held, parts))
        return part_verdict::held;
    return contains_any(m_suspects, parts) ? part_verdict::suspect : part_verdict::clear;
}

bool crash_attribution::is_own_turn(std::size_t index, std::size_t gateways, timestamp now) const
{
    const auto turn = turn_at(now);
    return turn != m_last_turn &&
           static_cast<std::size_t>(turn) % std::max<std::size_t>(gateways, 1) == index;
}

milliseconds crash_attribution::quarantine_left(const std::vector<std::string>& parts,
                                                timestamp now) const
{
    milliseconds out{0};
    for (const auto& it : parts)
    {
        if (const auto found = m_quarantined.find(it); found != m_quarantined.end())
            out = std::max(out, std::chrono::duration_cast<milliseconds>(found->second.since +
                                                                         m_options.lifetime - now));
    }
    return out;
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
