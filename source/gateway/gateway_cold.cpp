#include "common/text.hpp"
#include "gateway/gateway.hpp"
#include "policy/slow_start.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace kumquatgap::gateway
{

namespace
{

/// How often the cold times that this gateway has heard are broadcast again, since messages get
/// lost.
constexpr milliseconds cold_broadcast_period{250};
constexpr double per_thousand = 1000;

} // namespace

/// The rate that a cold target of the service can handle; 0 for no limit.
double gateway::cold_rate_of(const std::string& service) const
{
    const auto current = configuration();
    const auto* found = current ? current->find_service(service) : nullptr;
    return found == nullptr ? 0 : found->cold_per_second;
}

/// The cold targets of the services that name a cold rate.
std::set<std::string> gateway::rate_limited_cold(timestamp now) const
{
    std::set<std::string> out;
    const auto current = configuration();
    if (!current || !targets().notices().has_cold(now))
        return out;
    for (const auto& [name, service] : current->services)
    {
        if (service.cold_per_second <= 0)
            continue;
        for (const auto& id : targets().ids_of(name))
        {
            if (targets().notices().cold_period_of(id, now))
                out.insert(id);
        }
    }
    return out;
}

/// False when the target has a rate limit, of its own or since it is cold, that leaves no request
/// for this gateway now.
bool gateway::may_send(const fleet::target& it, timestamp now) const
{
    const auto gateways = m_follower.peers().size() + 1;
    const auto named = targets().rate_limit_of(it.id);
    const bool is_cold = targets().notices().has_cold(now) &&
                         targets().notices().cold_period_of(it.id, now).has_value();
    const auto cold_rate = is_cold ? cold_rate_of(it.service) : 0;
    if (cold_rate <= 0)
        return !named || m_rate_limiter.may_send(it.id, *named, gateways, now);
    auto limit = policy::cold_limit(cold_rate);
    if (named)
        limit = policy::stricter(limit, {*named});
    return m_rate_limiter.may_send(it.id, limit, gateways, now);
}

/// The rates of all targets that have a limit now.
std::map<std::string, double> gateway::limited_rates(timestamp now) const
{
    auto out = targets().limited();
    for (const auto& id : rate_limited_cold(now))
    {
        const auto rate = cold_rate_of(targets().service_of(id));
        const auto [it, is_new] = out.try_emplace(id, rate);
        it->second = std::min(it->second, rate);
    }
    return out;
}

void gateway::update_send_limits(timestamp now)
{
    auto limited = rate_limited_cold(now);
    for (const auto& [id, rate] : targets().limited())
        limited.insert(id);
    m_rate_limiter.set_limited(limited, now);
    const auto current = configuration();
    if (!current)
        return;
    std::set<std::string> watched;
    for (const auto& [name, service] : current->services)
    {
        if (service.cold_per_second > 0)
            std::ranges::copy(targets().ids_of(name), std::inserter(watched, watched.end()));
    }
    m_rate_limiter.set_watched(watched, now);
    if (watched.empty())
        return;
    std::vector<std::string> others;
    std::ranges::transform(m_follower.peers(), std::back_inserter(others),
                           [](const auto& it) { return it.name; });
    m_rate_limiter.set_gateways(m_settings.common.host, others, now);
}

double gateway::usable_slots(const fleet::target& it, timestamp now) const
{
    const auto slots = static_cast<double>(it.slots);
    if (!targets().notices().has_cold(now))
        return slots;
    const auto cold = targets().notices().cold_period_of(it.id, now);
    if (!cold)
        return slots;
    const auto current = configuration();
    const auto* service = current ? current->find_service(it.service) : nullptr;
    const auto usual = service == nullptr ? milliseconds{0} : service->cold_time;
    return policy::slow_start_slots(slots, cold->until - now,
                                    std::max(usual, cold->until - cold->since));
}

/// Whether a health check may be sent to the target, which is then counted. A health check is a
/// request to a cold target like any other.
bool gateway::may_probe(const fleet::target& it, timestamp now)
{
    if (!targets().notices().has_cold(now) || !targets().notices().cold_period_of(it.id, now) ||
        cold_rate_of(it.service) <= 0)
        return true;
    if (!may_send(it, now))
        return false;
    m_rate_limiter.record_send(it.id, now);
    return true;
}

/// `sent_at` is when the request of the response was sent.
void gateway::note_cold(const fleet::target& it, const target_response& head, timestamp sent_at)
{
    if (!head.cold_for || head.is_misdirected)
        return;
    // The target may have become cold since it wrote this response, so one that says that it is not
    // cold counts only against notices from before its request.
    const auto now = common::now();
    const auto heard_at = head.cold_for->count() == 0 ? sent_at : now;
    m_follower.note_cold(it.id, {it.started_at, heard_at + *head.cold_for, heard_at}, {});
}

void gateway::add_cold(peer_state& own, timestamp now)
{
    const auto version = targets().notices().cold_version();
    if (!targets().notices().has_cold(now) ||
        (version == m_cold_sent_version && now - m_cold_sent_at < cold_broadcast_period))
        return;
    own.cold = targets().notices().cold_to_broadcast(now);
    m_cold_sent_version = version;
    m_cold_sent_at = now;
}

void gateway::write_cold_metrics(timestamp now)
{
    m_metrics.set("kqg_cold_targets",
                  static_cast<std::int64_t>(targets().notices().cold(now).size()));
    const auto current = configuration();
    if (!current)
        return;
    std::map<std::string, double> used;
    for (const auto& id : rate_limited_cold(now))
    {
        const auto& service = targets().service_of(id);
        const auto sent = static_cast<double>(m_rate_limiter.sent_in_a_second(id, now));
        used[service] = std::max(used[service], sent / cold_rate_of(service));
    }
    for (const auto& [name, service] : current->services)
    {
        if (service.cold_per_second > 0)
            m_metrics.set(common::concat("kqg_cold_rate_used_thousandths{service=\"", name, "\"}"),
                          std::llround(used[name] * per_thousand));
    }
}

} // namespace kumquatgap::gateway
