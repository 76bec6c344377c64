#include "policy/picker.hpp"

#include <algorithm>
#include <cmath>

namespace kumquatgap::policy
{

namespace
{

constexpr int max_doublings = 10;
constexpr std::size_t percent_base = 100;

} // namespace

void picker::sent(const std::string& target, timestamp now)
{
    auto& it = m_states[target];
    // The silence timeout starts with the first open call.
    if (it.in_flight++ == 0)
        it.last_heard = now;
}

void picker::heard(const std::string& target, timestamp now)
{
    m_states[target].last_heard = now;
}

void picker::ended(const std::string& target, attempt_result how, timestamp now)
{
    auto& it = m_states[target];
    it.in_flight = std::max<std::int64_t>(0, it.in_flight - 1);
    if (how != attempt_result::transport_failure)
    {
        it.consecutive_failures = 0;
        it.last_heard = now;
        return;
    }
    const auto doubled =
        m_options.base_ejection_time * (1 << std::min(it.consecutive_failures, max_doublings));
    it.ejected_until = now + std::min(doubled, m_options.max_ejection_time);
    ++it.consecutive_failures;
}

void picker::reported(const std::string& target, const load_report& report, timestamp now)
{
    auto& it = m_states[target];
    it.report = report;
    it.reported_at = now;
    it.last_heard = now;
    it.draining_until = report.draining ? now + m_options.drain_duration : timestamp{};
}

double picker::predicted_load(const candidate_target& target, timestamp now) const
{
    const auto it = m_states.find(target.name);
    if (it == m_states.end())
        return 0;
    const auto& s = it->second;
    const double age = static_cast<double>((now - s.reported_at).count());
    const double weight = std::exp2(-age / static_cast<double>(m_options.report_half_life.count()));
    const auto reported = static_cast<double>(s.report.in_service + s.report.waiting) * weight;
    const auto own = static_cast<double>(s.in_flight);
    return std::max(own, reported) / static_cast<double>(target.slots);
}

bool picker::is_ejected(const std::string& target, timestamp now) const
{
    const auto it = m_states.find(target);
    return it != m_states.end() && it->second.ejected_until > now;
}

bool picker::is_usable(const std::string& target, timestamp now) const
{
    const auto it = m_states.find(target);
    if (it == m_states.end())
        return true;
    const auto& s = it->second;
    const bool silent = s.in_flight > 0 && now - s.last_heard >= m_options.silence_timeout;
    return !silent && s.draining_until <= now;
}

std::vector<const candidate_target*> picker::usable(const std::vector<candidate_target>& candidates,
                                                    const std::set<std::string>& tried,
                                                    timestamp now) const
{
    std::vector<const candidate_target*> healthy;
    std::vector<const candidate_target*> ejected;
    for (const auto& it : candidates)
    {
        if (tried.contains(it.name) || !is_usable(it.name, now))
            continue;
        (is_ejected(it.name, now) ? ejected : healthy).push_back(&it);
    }
    // If too many targets are ejected, the cause is more likely local, so the ejected ones are used
    // too.
    const bool too_many =
        ejected.size() * percent_base >
        candidates.size() * static_cast<std::size_t>(m_options.max_ejected_percent);
    if (healthy.empty() || too_many)
        healthy.insert(healthy.end(), ejected.begin(), ejected.end());
    return healthy;
}

const candidate_target& picker::less_loaded(const std::vector<const candidate_target*>& from,
                                            timestamp now, std::mt19937_64& random) const
{
    std::uniform_int_distribution<std::size_t> any{0, from.size() - 1};
    const auto& a = *from[any(random)];
    const auto& b = *from[any(random)];
    return predicted_load(b, now) < predicted_load(a, now) ? b : a;
}

std::string picker::pick(const std::vector<candidate_target>& candidates,
                         const std::set<std::string>& tried, timestamp now, std::mt19937_64& random)
{
    auto left = usable(candidates, tried, now);
    std::string best;
    double best_load = 0;
    while (!left.empty())
    {
        const auto nearest =
            (*std::ranges::min_element(left, {}, &candidate_target::distance))->distance;
        std::vector<const candidate_target*> near;
        std::ranges::copy_if(left, std::back_inserter(near),
                             [=](const auto* it) { return it->distance == nearest; });
        const auto& it = less_loaded(near, now, random);
        const auto load = predicted_load(it, now);
        if (best.empty() || load < best_load)
        {
            best = it.name;
            best_load = load;
        }
        if (best_load < m_options.spillover_load)
            break;
        std::erase_if(left, [=](const auto* x) { return x->distance == nearest; });
    }
    return best;
}

} // namespace kumquatgap::policy
