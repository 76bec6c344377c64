#include "policy/least_load_picker.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace kumquatgap::policy
{

namespace
{

/// Loads below this count as 0, since sums have rounding errors.
constexpr double negligible_load = 1e-6;
constexpr std::size_t percent = 100;

} // namespace

void least_load_picker::sent(const std::string& target, double call_load)
{
    m_own[target] += call_load;
}

void least_load_picker::ended(const std::string& target, double call_load, target_health health,
                              milliseconds response_time, timestamp now)
{
    if (const auto it = m_own.find(target); it != m_own.end())
    {
        it->second -= call_load;
        if (it->second < negligible_load)
            m_own.erase(it);
    }
    auto& state = m_health[target];
    if (health == target_health::unknown)
        return;
    if (health == target_health::good)
    {
        state.consecutive_failures = 0;
        state.consecutive_ejections = 0;
        const auto ms = static_cast<double>(response_time.count());
        state.last_response_ms = ms;
        state.response_ms =
            state.response_ms == 0
                ? ms
                : state.response_ms + m_options.response_time_weight * (ms - state.response_ms);
        return;
    }
    ++state.consecutive_failures;
    const bool is_trial = state.consecutive_ejections > 0;
    if (state.consecutive_failures < m_options.failures_to_eject && !is_trial &&
        health != target_health::transport_failure)
        return;
    const milliseconds doubled =
        m_options.base_ejection_time * (1LL << std::min(state.consecutive_ejections, 8));
    state.ejected_until = now + std::min(doubled, m_options.max_ejection_time);
    ++state.consecutive_ejections;
    state.consecutive_failures = 0;
}

void least_load_picker::update_peer_loads(const std::string& gateway,
                                          std::map<std::string, double> loads, timestamp now)
{
    m_peers.insert_or_assign(gateway, peer_loads{std::move(loads), now});
}

double least_load_picker::load(const std::string& target, timestamp now) const
{
    const auto own = m_own.find(target);
    double sum = own == m_own.end() ? 0 : own->second;
    for (const auto& [gateway, it] : m_peers)
    {
        if (now - it.heard_at > m_options.peer_load_lifetime)
            continue;
        if (const auto found = it.loads.find(target); found != it.loads.end())
            sum += found->second;
    }
    return sum;
}

bool least_load_picker::is_ejected(const std::string& target, timestamp now) const
{
    const auto it = m_health.find(target);
    return it != m_health.end() && now < it->second.ejected_until;
}

/// The candidates that have not been tried yet, without the ejected ones. If too many are ejected,
/// the cause is more likely common to all, and the ejected ones are used too.
std::vector<const placement_candidate*>
least_load_picker::healthy(const std::vector<placement_candidate>& candidates,
                           const std::set<std::string>& tried, timestamp now) const
{
    std::vector<const placement_candidate*> out;
    std::vector<const placement_candidate*> ejected;
    for (const auto& it : candidates)
    {
        if (tried.contains(it.id))
            continue;
        (is_ejected(it.id, now) ? ejected : out).push_back(&it);
    }
    if (ejected.size() * percent > candidates.size() * m_options.max_ejected_percent || out.empty())
        std::ranges::copy(ejected, std::back_inserter(out));
    return out;
}

milliseconds least_load_picker::mean_response_time() const
{
    double sum = 0;
    int n = 0;
    for (const auto& [target, it] : m_health)
    {
        if (it.response_ms == 0)
            continue;
        sum += it.response_ms;
        ++n;
    }
    return milliseconds{n == 0 ? 0 : std::llround(sum / n)};
}

/// The last response counts beside the mean, so that targets that have all become slow are known to
/// be slow after one response each.
milliseconds
least_load_picker::expected_response_time(const std::vector<std::string>& targets) const
{
    double fastest_ms = 0;
    for (const auto& id : targets)
    {
        const auto it = m_health.find(id);
        if (it == m_health.end() || it->second.response_ms == 0)
            continue;
        const auto ms = std::max(it->second.response_ms, it->second.last_response_ms);
        fastest_ms = fastest_ms == 0 ? ms : std::min(fastest_ms, ms);
    }
    return milliseconds{std::llround(fastest_ms)};
}

double least_load_picker::slowness(const std::string& target, double fastest_ms) const
{
    const auto it = m_health.find(target);
    if (it == m_health.end() || it->second.response_ms == 0 || fastest_ms == 0)
        return 1;
    const auto ratio = it->second.response_ms / fastest_ms;
    return ratio < m_options.slow_ratio ? 1 : ratio;
}

std::string least_load_picker::pick(const std::vector<placement_candidate>& candidates,
                                    const std::set<std::string>& tried, timestamp now,
                                    double draw) const
{
    auto usable = healthy(candidates, tried, now);
    const auto first = static_cast<std::ptrdiff_t>(draw * static_cast<double>(usable.size()));
    std::rotate(usable.begin(), usable.begin() + first, usable.end());
    double fastest_ms = 0;
    for (const auto* it : usable)
    {
        const auto found = m_health.find(it->id);
        if (found == m_health.end() || found->second.response_ms == 0)
            continue;
        fastest_ms = fastest_ms == 0 ? found->second.response_ms
                                     : std::min(fastest_ms, found->second.response_ms);
    }
    const placement_candidate* best = nullptr;
    double best_score = std::numeric_limits<double>::max();
    for (const auto* it : usable)
    {
        const auto total_load = load(it->id, now);
        if (total_load + negligible_load >= it->limit)
            continue;
        // Distance only decides between targets with the same load.
        constexpr double distance_weight = 0.01;
        const auto score = (total_load + 1) / it->limit * slowness(it->id, fastest_ms) +
                           distance_weight * it->distance;
        if (score < best_score)
        {
            best = it;
            best_score = score;
        }
    }
    return best == nullptr ? std::string{} : best->id;
}

} // namespace kumquatgap::policy
