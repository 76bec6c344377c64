#include "policy/retry_share.hpp"

namespace kumquatgap::policy
{

void retry_share::drop_old(std::deque<timestamp>& times, timestamp now) const
{
    while (!times.empty() && now - times.front() > m_limits.window)
        times.pop_front();
}

double retry_share::allowed(const counts& it) const
{
    const auto earned = m_limits.ratio * static_cast<double>(it.calls.size());
    return m_limits.used_part * (earned + m_limits.extra / static_cast<double>(m_routers));
}

void retry_share::note_call(const std::string& service, timestamp now)
{
    auto& it = m_services[service];
    drop_old(it.calls, now);
    it.calls.push_back(now);
}

bool retry_share::take(const std::string& service, timestamp now)
{
    auto& it = m_services[service];
    drop_old(it.calls, now);
    drop_old(it.repeats, now);
    if (static_cast<double>(it.repeats.size()) + 1 > allowed(it))
        return false;
    it.repeats.push_back(now);
    return true;
}

double retry_share::left(const std::string& service, timestamp now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return allowed({});
    auto it = found->second;
    drop_old(it.calls, now);
    drop_old(it.repeats, now);
    return allowed(it) - static_cast<double>(it.repeats.size());
}

} // namespace kumquatgap::policy
