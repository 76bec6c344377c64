#include "policy/windowed_retry_budget.hpp"

namespace kumquatgap::policy
{

void windowed_retry_budget::drop_old(std::deque<timestamp>& times, timestamp now) const
{
    while (!times.empty() && now - times.front() > m_limits.window)
        times.pop_front();
}

double windowed_retry_budget::allowed(const counts& it) const
{
    const auto earned = m_limits.ratio * static_cast<double>(it.calls.size());
    return m_limits.used_fraction * (earned + m_limits.extra / static_cast<double>(m_gateways));
}

void windowed_retry_budget::record_call(const std::string& service, timestamp now)
{
    auto& it = m_services[service];
    drop_old(it.calls, now);
    it.calls.push_back(now);
}

bool windowed_retry_budget::take(const std::string& service, timestamp now)
{
    auto& it = m_services[service];
    drop_old(it.calls, now);
    drop_old(it.retries, now);
    if (static_cast<double>(it.retries.size()) + 1 > allowed(it))
        return false;
    it.retries.push_back(now);
    return true;
}

retry_budget_state windowed_retry_budget::state(const std::string& service, timestamp now) const
{
    const auto found = m_services.find(service);
    auto it = found == m_services.end() ? counts{} : found->second;
    drop_old(it.calls, now);
    drop_old(it.retries, now);
    return {it.calls.size(), it.retries.size(), allowed(it), m_gateways};
}

} // namespace kumquatgap::policy
