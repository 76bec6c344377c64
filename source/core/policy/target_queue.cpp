#include "policy/target_queue.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace kumquatgap::policy
{

using common::failure;
using common::result_code;

namespace
{

constexpr std::int64_t percent_base = 100;
constexpr milliseconds least_retry_after{100};

} // namespace

bool target_queue::rank::operator<(const rank& other) const
{
    return std::tie(borrows, level, virtual_time, arrived) <
           std::tie(other.borrows, other.level, other.virtual_time, other.arrived);
}

void target_queue::set_share(const std::string& team, std::int64_t percent)
{
    m_teams[team].percent = std::max<std::int64_t>(1, percent);
}

std::int64_t target_queue::entitled_slots(const std::string& team) const
{
    const auto it = m_teams.find(team);
    const auto percent = it == m_teams.end() ? 1 : it->second.percent;
    return std::max<std::int64_t>(1, m_limits.slots * percent / percent_base);
}

std::int64_t target_queue::long_slots() const
{
    const auto reserve =
        (m_limits.slots * m_limits.short_reserve_percent + percent_base - 1) / percent_base;
    return std::max<std::int64_t>(1, m_limits.slots - reserve);
}

common::result<void> target_queue::offer(const waiting_call& call, timestamp now)
{
    const auto wait = predicted_wait(call.team, now);
    if (m_waiting_count >= m_limits.max_waiting)
        return failure{result_code::queue_full, "", std::max(wait, least_retry_after)};
    if (now + wait > call.start_by)
        return failure{result_code::deadline_unreachable, "",
                       std::max(now + wait - call.start_by, least_retry_after)};
    auto& team = m_teams[call.team];
    // A team that was idle starts level with the others: idle time gives no credit.
    if (team.calls.empty() && team.in_service == 0)
        team.virtual_time = std::max(team.virtual_time, least_active_virtual_time());
    team.calls.push_back({call, now});
    ++m_waiting_count;
    return boost::outcome_v2::success();
}

double target_queue::least_active_virtual_time() const
{
    double least = std::numeric_limits<double>::max();
    for (const auto& [name, team] : m_teams)
    {
        if (!team.calls.empty() || team.in_service > 0)
            least = std::min(least, team.virtual_time);
    }
    return least == std::numeric_limits<double>::max() ? 0 : least;
}

std::vector<std::uint64_t> target_queue::start_ready(timestamp now)
{
    std::vector<std::uint64_t> out;
    while (in_service() < m_limits.slots)
    {
        const auto it = next(now);
        if (!it)
            break;
        out.push_back(it->call->call.id);
        start(*it, now);
    }
    return out;
}

std::int64_t target_queue::aged_level(const queued& it, timestamp now) const
{
    return it.call.level - (now - it.arrived) / m_limits.ageing;
}

std::optional<target_queue::candidate> target_queue::best_of(const std::string& name,
                                                             team_state& team, timestamp now)
{
    const bool no_long = m_running_long >= long_slots();
    const bool borrows = team.in_service >= entitled_slots(name);
    std::optional<candidate> best;
    for (auto it = team.calls.begin(); it != team.calls.end(); ++it)
    {
        if (no_long && is_long(it->call))
            continue;
        const rank order{borrows, aged_level(*it, now), team.virtual_time, it->arrived};
        if (!best || order < best->order)
            best = candidate{order, name, it};
    }
    return best;
}

std::optional<target_queue::candidate> target_queue::next(timestamp now)
{
    std::optional<candidate> best;
    for (auto& [name, team] : m_teams)
    {
        auto it = best_of(name, team, now);
        if (it && (!best || it->order < best->order))
            best = std::move(it);
    }
    return best;
}

void target_queue::start(const candidate& it, timestamp now)
{
    auto& team = m_teams[it.team];
    const auto& call = it.call->call;
    m_running.emplace(call.id, running{call, is_long(call), it.call->arrived, now});
    m_running_long += is_long(call) ? 1 : 0;
    ++team.in_service;
    team.calls.erase(it.call);
    --m_waiting_count;
}

std::vector<std::uint64_t> target_queue::expire(timestamp now)
{
    std::vector<std::uint64_t> out;
    for (auto& [name, team] : m_teams)
    {
        std::erase_if(team.calls,
                      [&](const queued& it)
                      {
                          const bool late = it.call.start_by < now;
                          if (late)
                              out.push_back(it.call.id);
                          return late;
                      });
    }
    m_waiting_count -= static_cast<std::int64_t>(out.size());
    return out;
}

void target_queue::leave_service(std::map<std::uint64_t, running>::iterator it, timestamp now)
{
    auto& team = m_teams[it->second.call.team];
    --team.in_service;
    m_running_long -= it->second.is_long ? 1 : 0;
    const auto held = static_cast<double>((now - it->second.started).count());
    team.virtual_time += held / static_cast<double>(team.percent);
    m_running.erase(it);
}

void target_queue::finished(std::uint64_t id, timestamp now)
{
    const auto it = m_running.find(id);
    if (it != m_running.end())
        leave_service(it, now);
}

bool target_queue::may_pause(const running& it, timestamp now) const
{
    return it.is_long && it.call.can_pause && it.call.pauses < m_limits.max_pauses &&
           now - it.started >= m_limits.least_run;
}

/// The short calls that wait, the most urgent first.
std::vector<const target_queue::queued*> target_queue::waiting_short_calls() const
{
    std::vector<const queued*> out;
    for (const auto& [name, team] : m_teams)
    {
        for (const auto& it : team.calls)
        {
            if (!is_long(it.call))
                out.push_back(&it);
        }
    }
    std::ranges::stable_sort(out, {}, [](const queued* it) { return it->call.level; });
    return out;
}

bool target_queue::goes_before(const queued& waiting, const running& it) const
{
    const auto& team = it.call.team;
    const bool borrows = in_service_of(team) > entitled_slots(team);
    const bool waits_for_its_own =
        in_service_of(waiting.call.team) < entitled_slots(waiting.call.team);
    return waiting.call.level < it.call.level || (borrows && waits_for_its_own);
}

std::vector<std::uint64_t> target_queue::to_pause(timestamp now) const
{
    std::vector<std::uint64_t> out;
    if (in_service() < m_limits.slots)
        return out;
    std::vector<const running*> candidates;
    for (const auto& [id, it] : m_running)
    {
        if (may_pause(it, now))
            candidates.push_back(&it);
    }
    // The call that has run longest gives way: it has had the most of the service.
    std::ranges::sort(candidates, {}, [](const running* it) { return it->started; });
    for (const auto* waiting : waiting_short_calls())
    {
        const auto it = std::ranges::find_if(candidates, [&](const running* x)
                                             { return goes_before(*waiting, *x); });
        if (it == candidates.end())
            continue;
        out.push_back((*it)->call.id);
        candidates.erase(it);
    }
    return out;
}

void target_queue::paused(std::uint64_t id, milliseconds left, timestamp now)
{
    const auto it = m_running.find(id);
    if (it == m_running.end())
        return;
    queued again{it->second.call, it->second.arrived};
    again.call.predicted = left;
    // A call that has been served before is not dropped for having waited.
    again.call.start_by = timestamp::max();
    ++again.call.pauses;
    leave_service(it, now);
    m_teams[again.call.team].calls.push_front(std::move(again));
    ++m_waiting_count;
}

bool target_queue::withdraw(std::uint64_t id)
{
    for (auto& [name, team] : m_teams)
    {
        const auto removed =
            std::erase_if(team.calls, [id](const queued& it) { return it.call.id == id; });
        if (removed == 0)
            continue;
        --m_waiting_count;
        return true;
    }
    return false;
}

std::int64_t target_queue::in_service_of(const std::string& team) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? 0 : it->second.in_service;
}

std::int64_t target_queue::waiting_of(const std::string& team) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? 0 : static_cast<std::int64_t>(it->second.calls.size());
}

/// The slot time that is left of calls waiting and in service, of one team or of all.
milliseconds target_queue::remaining_work(const std::string* team, timestamp now) const
{
    milliseconds sum{0};
    for (const auto& [id, it] : m_running)
    {
        if (team == nullptr || it.call.team == *team)
            sum += std::max(milliseconds{0}, it.call.predicted - (now - it.started));
    }
    for (const auto& [name, state] : m_teams)
    {
        if (team != nullptr && name != *team)
            continue;
        for (const auto& it : state.calls)
            sum += it.call.predicted;
    }
    return sum;
}

milliseconds target_queue::predicted_wait(const std::string& team, timestamp now) const
{
    if (in_service() < m_limits.slots && m_waiting_count == 0)
        return milliseconds{0};
    // Whichever is sooner: the team's own backlog on its own share, or everything on all slots.
    const auto own = remaining_work(&team, now) / entitled_slots(team);
    const auto all = remaining_work(nullptr, now) / m_limits.slots;
    return std::min(own, all);
}

} // namespace kumquatgap::policy
