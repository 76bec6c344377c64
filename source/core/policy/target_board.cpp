#include "policy/target_board.hpp"

#include <algorithm>
#include <limits>

namespace kumquatgap::policy
{

namespace
{

/// Work below this counts as none, against the rounding of sums.
constexpr double no_work = 1e-6;
constexpr std::size_t percent = 100;

} // namespace

void target_board::sent(const std::string& target, double work)
{
    m_own[target] += work;
}

void target_board::ended(const std::string& target, double work, target_health health,
                         milliseconds answer_time, timestamp now)
{
    if (const auto it = m_own.find(target); it != m_own.end())
    {
        it->second -= work;
        if (it->second < no_work)
            m_own.erase(it);
    }
    auto& state = m_health[target];
    if (health == target_health::unknown)
        return;
    if (health == target_health::good)
    {
        state.failures_in_a_row = 0;
        state.ejections_in_a_row = 0;
        const auto ms = static_cast<double>(answer_time.count());
        state.answer_ms = state.answer_ms == 0 ? ms
                                               : state.answer_ms + m_options.answer_time_weight *
                                                                       (ms - state.answer_ms);
        return;
    }
    ++state.failures_in_a_row;
    const bool is_trial = state.ejections_in_a_row > 0;
    if (state.failures_in_a_row < m_options.failures_to_eject && !is_trial &&
        health != target_health::broken)
        return;
    const milliseconds doubled =
        m_options.first_ejection * (1LL << std::min(state.ejections_in_a_row, 8));
    state.ejected_until = now + std::min(doubled, m_options.longest_ejection);
    ++state.ejections_in_a_row;
    state.failures_in_a_row = 0;
}

void target_board::heard(const std::string& router, std::map<std::string, double> loads,
                         timestamp now)
{
    m_peers.insert_or_assign(router, peer_loads{std::move(loads), now});
}

double target_board::load(const std::string& target, timestamp now) const
{
    const auto own = m_own.find(target);
    double sum = own == m_own.end() ? 0 : own->second;
    for (const auto& [router, it] : m_peers)
    {
        if (now - it.heard_at > m_options.peer_load_lifetime)
            continue;
        if (const auto found = it.loads.find(target); found != it.loads.end())
            sum += found->second;
    }
    return sum;
}

bool target_board::is_ejected(const std::string& target, timestamp now) const
{
    const auto it = m_health.find(target);
    return it != m_health.end() && now < it->second.ejected_until;
}

/// The candidates that were not tried yet, without those that are left alone; when those are too
/// many, the cause is more likely common to all, and none is left alone.
std::vector<const placement_candidate*>
target_board::healthy(const std::vector<placement_candidate>& candidates,
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
    if (ejected.size() * percent > candidates.size() * m_options.most_ejected_percent ||
        out.empty())
        std::ranges::copy(ejected, std::back_inserter(out));
    return out;
}

double target_board::slowness(const std::string& target, double fastest_ms) const
{
    const auto it = m_health.find(target);
    if (it == m_health.end() || it->second.answer_ms == 0 || fastest_ms == 0)
        return 1;
    const auto ratio = it->second.answer_ms / fastest_ms;
    return ratio < m_options.slow_ratio ? 1 : ratio;
}

std::string target_board::pick(const std::vector<placement_candidate>& candidates,
                               const std::set<std::string>& tried, timestamp now, double draw) const
{
    auto usable = healthy(candidates, tried, now);
    const auto first = static_cast<std::ptrdiff_t>(draw * static_cast<double>(usable.size()));
    std::rotate(usable.begin(), usable.begin() + first, usable.end());
    double fastest_ms = 0;
    for (const auto* it : usable)
    {
        const auto found = m_health.find(it->id);
        if (found == m_health.end() || found->second.answer_ms == 0)
            continue;
        fastest_ms = fastest_ms == 0 ? found->second.answer_ms
                                     : std::min(fastest_ms, found->second.answer_ms);
    }
    const placement_candidate* best = nullptr;
    double best_score = std::numeric_limits<double>::max();
    for (const auto* it : usable)
    {
        const auto work = load(it->id, now);
        if (work + no_work >= it->limit)
            continue;
        // The nearer target goes first only among those with the same work.
        constexpr double distance_weight = 0.01;
        const auto score =
            (work + 1) / it->limit * slowness(it->id, fastest_ms) + distance_weight * it->distance;
        if (score < best_score)
        {
            best = it;
            best_score = score;
        }
    }
    return best == nullptr ? std::string{} : best->id;
}

} // namespace kumquatgap::policy
