#include "policy/shared_rate_limiter.hpp"

#include "common/hash.hpp"
#include "common/text.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace kumquatgap::policy
{

namespace
{

constexpr double ms_per_s = 1000;
/// The times of one send in two reports differ by less than this.
constexpr milliseconds max_delivery_time{100};
constexpr milliseconds second{1000};
/// The platform's bound on the requests to a cold target in any second, over its rate.
constexpr double cold_overage = 1.5;
constexpr double cold_slack = 5;

} // namespace

send_limit cold_limit(double per_second)
{
    return {per_second, per_second * cold_overage + cold_slack};
}

send_limit stricter(const send_limit& a, const send_limit& b)
{
    send_limit out{std::min(a.per_second, b.per_second), a.most_in_a_second};
    if (b.most_in_a_second)
        out.most_in_a_second =
            std::min(*b.most_in_a_second, a.most_in_a_second.value_or(*b.most_in_a_second));
    return out;
}

void shared_rate_limiter::set_limited(const std::set<std::string>& targets, timestamp now)
{
    std::erase_if(m_own, [&](const auto& it) { return !targets.contains(it.first); });
    std::erase_if(m_limited_since, [&](const auto& it) { return !targets.contains(it.first); });
    for (const auto& it : targets)
    {
        m_own.try_emplace(it);
        m_limited_since.try_emplace(it, now);
    }
    for (auto& [target, times] : m_own)
        std::erase_if(times, [&](timestamp at) { return now - at > m_options.memory; });
}

void shared_rate_limiter::set_watched(const std::set<std::string>& targets, timestamp now)
{
    for (const auto& it : targets)
        m_watched.try_emplace(it);
    for (auto& [target, times] : m_watched)
        std::erase_if(times, [&](timestamp at) { return now - at > m_options.hard_window; });
    // A target may return at once, and what was sent to it before still counts.
    std::erase_if(m_watched,
                  [&](const auto& it) { return it.second.empty() && !targets.contains(it.first); });
}

void shared_rate_limiter::set_gateways(const std::string& own,
                                       const std::vector<std::string>& others, timestamp now)
{
    m_own_name = own;
    for (const auto& it : others)
        m_gateways.insert_or_assign(it, now);
    std::erase_if(m_gateways,
                  [&](const auto& it) { return now - it.second > m_options.gateway_memory; });
}

void shared_rate_limiter::record_send(const std::string& target, timestamp now)
{
    if (const auto it = m_watched.find(target); it != m_watched.end())
        it->second.push_back(now);
    if (const auto it = m_own.find(target); it != m_own.end())
        it->second.push_back(now);
}

void shared_rate_limiter::update_peer_sends(const std::string& gateway, recent_sends sends,
                                            timestamp now)
{
    // A gateway that has started again does not know what it sent before.
    for (const auto& [target, times] : m_peers[gateway].sends)
    {
        auto& reported = sends[target];
        const auto oldest = reported.empty() ? timestamp::max() : std::ranges::min(reported);
        std::ranges::copy_if(times, std::back_inserter(reported),
                             [&](timestamp at) {
                                 return now - at <= m_options.memory &&
                                        at < oldest - max_delivery_time;
                             });
    }
    m_peers.insert_or_assign(gateway, peer{std::move(sends), now});
    m_gateways.insert_or_assign(gateway, now);
}

recent_sends shared_rate_limiter::to_broadcast(const std::map<std::string, double>& limits,
                                               timestamp now) const
{
    recent_sends out;
    for (const auto& [target, per_second] : limits)
    {
        const auto found = m_own.find(target);
        if (found == m_own.end())
            continue;
        // Twice the time in which the rate makes up for a burst, since others may use less of it.
        const auto ms = 2 * m_options.burst * ms_per_s / std::max(per_second, lowest_rate());
        for (const auto at : found->second)
        {
            if (static_cast<double>((now - at).count()) <= ms)
                out[target].push_back(at);
        }
    }
    if (out.empty() && !limits.empty())
        out.try_emplace(limits.begin()->first);
    return out;
}

double shared_rate_limiter::lowest_rate() const
{
    return ms_per_s / static_cast<double>(m_options.max_pause.count());
}

/// The rate less the shares of the gateways that are not heard, and at least the rate at which the
/// target is asked for its present limit.
double shared_rate_limiter::usable_rate(double per_second, std::size_t gateways,
                                        timestamp now) const
{
    const auto heard =
        std::ranges::count_if(m_peers, [&](const auto& it)
                              { return now - it.second.heard_at <= m_options.peer_lifetime; });
    const auto seen =
        std::min<double>(static_cast<double>(heard) + 1, static_cast<double>(gateways));
    return std::max(per_second * seen / static_cast<double>(std::max<std::size_t>(gateways, 1)),
                    lowest_rate());
}

std::vector<timestamp> shared_rate_limiter::all_sends(const std::string& target) const
{
    std::vector<timestamp> out;
    if (const auto it = m_own.find(target); it != m_own.end())
        out = it->second;
    for (const auto& [gateway, it] : m_peers)
    {
        if (const auto found = it.sends.find(target); found != it.sends.end())
            out.insert(out.end(), found->second.begin(), found->second.end());
    }
    std::ranges::sort(out);
    return out;
}

std::size_t shared_rate_limiter::hard_part(const std::string& target, double most) const
{
    // One part more than the known gateways, for one that has just started.
    const auto parts = static_cast<double>(m_gateways.size() + 2);
    if (most >= parts)
        return static_cast<std::size_t>(most / parts);
    // Not enough for all: single requests for the first gateways, in an order of each target's own.
    const auto order_of = [&](const std::string& gateway) {
        return std::pair{common::hash64(common::concat(target, "\n", gateway), 0), gateway};
    };
    const auto own = order_of(m_own_name);
    const auto before =
        std::ranges::count_if(m_gateways, [&](const auto& it) { return order_of(it.first) < own; });
    return static_cast<double>(before) < std::floor(most) - 1 ? 1 : 0;
}

bool shared_rate_limiter::keeps_hard_limit(const std::string& target, double most,
                                           timestamp now) const
{
    // What the process sent before it was started again is not known.
    if (now - m_started_at <= m_options.hard_window)
        return false;
    const auto found = m_watched.find(target);
    if (found == m_watched.end())
        return false;
    const auto sent = std::ranges::count_if(found->second, [&](timestamp at)
                                            { return now - at <= m_options.hard_window; });
    return static_cast<std::size_t>(sent) < hard_part(target, most);
}

std::size_t shared_rate_limiter::sent_in_a_second(const std::string& target, timestamp now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(all_sends(target), [&](timestamp at) { return now - at <= second; }));
}

bool shared_rate_limiter::may_send(const std::string& target, const send_limit& limit,
                                   std::size_t gateways, timestamp now) const
{
    if (limit.most_in_a_second && !keeps_hard_limit(target, *limit.most_in_a_second, now))
        return false;
    return may_send(target, limit.per_second, gateways, now);
}

bool shared_rate_limiter::may_send(const std::string& target, double per_second,
                                   std::size_t gateways, timestamp now) const
{
    const auto since = m_limited_since.find(target);
    if (since == m_limited_since.end())
        return true;
    // A leaky bucket that all sends fill.
    const auto rate = usable_rate(per_second, gateways, now);
    double level = m_options.burst;
    auto last = since->second;
    const auto leak_until = [&](timestamp at)
    {
        level = std::max(0.0, level - rate * static_cast<double>((at - last).count()) / ms_per_s);
        last = at;
    };
    for (const auto at : all_sends(target))
    {
        if (at < last)
            continue;
        leak_until(at);
        ++level;
    }
    leak_until(std::max(now, last));
    return level + 1 <= m_options.burst;
}

} // namespace kumquatgap::policy
