#include "policy/crash_attribution.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquatgap::policy
{

namespace
{

/// The weight of the newest response in the smoothed fraction of the time to a head.
constexpr double head_weight = 0.05;
/// Other gateways have reported after this many broadcasts, even if one is lost.
constexpr int broadcasts_to_settle = 3;

bool contains_any(const std::set<std::string>& set, const std::vector<std::string>& parts)
{
    return std::ranges::any_of(parts, [&](const auto& it) { return set.contains(it); });
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
    std::vector<std::string> ended;
    for (const auto& [part, it] : m_quarantined)
    {
        if (quarantine_end(part, it.since) < now)
            ended.push_back(part);
    }
    for (const auto& it : ended)
    {
        // While its crashes are remembered, the part must not be quarantined again for them.
        if (crashes_with(it) > 0)
            release(it, now);
        else
            m_quarantined.erase(it);
    }
    std::erase_if(m_heard, [&](const auto& it) { return now - it.second > m_options.lifetime; });
}

/// A part that other evidence than its own crashes has quarantined stays so for the whole time.
timestamp crash_attribution::quarantine_end(const std::string& part, timestamp since) const
{
    return since + (crashes_with(part) == 1 ? m_options.first_lifetime : m_options.lifetime);
}

/// The confirmed crashes with a part. Those that have a request in common count once, since that
/// request accounts for them as well.
std::size_t crash_attribution::crashes_after(const std::string& part, timestamp at) const
{
    std::size_t n = 0;
    std::set<std::string> seen;
    for (const auto& [target, c] : m_crashes)
    {
        if (!c.is_confirmed || c.at <= at || !(c.begun.contains(part) || c.waiting.contains(part)))
            continue;
        const bool is_repeat =
            std::ranges::any_of(c.requests, [&](const auto& it) { return seen.contains(it); });
        n += is_repeat ? 0 : 1;
        seen.insert(c.requests.begin(), c.requests.end());
    }
    return n;
}

/// The lost connections with a part, whether or not these were crashes.
std::size_t crash_attribution::losses_with(const std::string& part) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_crashes, [&](const auto& it)
        { return it.second.begun.contains(part) || it.second.waiting.contains(part); }));
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
    hold_waiting(it);
    if (!heads_come_with_events())
        return;
    const auto open = uncleared(it.begun, it);
    if (!is_explained(open, {}))
        m_held.insert(open.begin(), open.end());
}

/// Holds the parts of waiting requests that are in so many losses that, if these are crashes, the
/// parts are quarantined.
void crash_attribution::hold_waiting(const crash& it)
{
    if (!it.begun.empty() && heads_come_with_events())
        return;
    std::ranges::copy_if(it.waiting, std::inserter(m_held, m_held.end()),
                         [&](const auto& part)
                         {
                             return !served_at(part) && !m_quarantined.contains(part) &&
                                    losses_with(part) >=
                                        static_cast<std::size_t>(m_options.crashes_without_head);
                         });
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
        (leaders.size() == 1 ||
         (m_options.quarantines_ties && never_served && highest >= m_options.crashes_without_head)))
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
            if (!it.is_confirmed || now - it.at < settle_time)
                hold_waiting(it);
            else
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
            out = std::max(out, std::chrono::duration_cast<milliseconds>(
                                    quarantine_end(it, found->second.since) - now));
    }
    return out;
}

} // namespace kumquatgap::policy
