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
constexpr milliseconds min_retry_after{100};

} // namespace

bool target_queue::dispatch_key::operator<(const dispatch_key& other) const
{
    return std::tie(borrows, level, virtual_time, arrived) <
           std::tie(other.borrows, other.level, other.virtual_time, other.arrived);
}

void target_queue::set_share(const std::string& team, std::int64_t percent)
{
    m_teams[team].percent = std::max<std::int64_t>(1, percent);
}

std::int64_t target_queue::guaranteed_slots(const std::string& team) const
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

common::result<void> target_queue::offer(const queued_call& call, timestamp now)
{
    const auto wait = predicted_wait(call.team, now);
    if (m_waiting_count >= m_limits.max_waiting)
        return failure{result_code::queue_full, "", std::max(wait, min_retry_after)};
    if (now + wait > call.start_by)
        return failure{result_code::deadline_unreachable, "",
                       std::max(now + wait - call.start_by, min_retry_after)};
    auto& team = m_teams[call.team];
    // The virtual time of a team that was idle is raised to the lowest one of the active teams:
    // idle time gives no credit.
    if (team.calls.empty() && team.in_service == 0)
        team.virtual_time = std::max(team.virtual_time, min_active_virtual_time());
    team.calls.push_back({call, now});
    ++m_waiting_count;
    return boost::outcome_v2::success();
}

double target_queue::min_active_virtual_time() const
{
    double lowest = std::numeric_limits<double>::max();
    for (const auto& [name, team] : m_teams)
    {
        if (!team.calls.empty() || team.in_service > 0)
            lowest = std::min(lowest, team.virtual_time);
    }
    return lowest == std::numeric_limits<double>::max() ? 0 : lowest;
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

std::int64_t target_queue::aged_level(const queue_entry& it, timestamp now) const
{
    return it.call.level - (now - it.arrived) / m_limits.ageing_interval;
}

std::optional<target_queue::candidate> target_queue::best_of(const std::string& name,
                                                             team_state& team, timestamp now)
{
    const bool long_slots_used = m_running_long >= long_slots();
    const bool borrows = team.in_service >= guaranteed_slots(name);
    std::optional<candidate> best;
    for (auto it = team.calls.begin(); it != team.calls.end(); ++it)
    {
        if (long_slots_used && is_long(it->call))
            continue;
        const dispatch_key order{borrows, aged_level(*it, now), team.virtual_time, it->arrived};
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
    m_running.emplace(call.id, running_call{call, is_long(call), it.call->arrived, now});
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
                      [&](const queue_entry& it)
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

void target_queue::leave_service(std::map<std::uint64_t, running_call>::iterator it, timestamp now)
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

bool target_queue::may_preempt(const running_call& it, timestamp now) const
{
    return it.is_long && it.call.preemptible && it.call.preemptions < m_limits.max_preemptions &&
           now - it.started >= m_limits.min_run_time;
}

/// The waiting short calls, the most urgent first.
std::vector<const target_queue::queue_entry*> target_queue::waiting_short_calls() const
{
    std::vector<const queue_entry*> out;
    for (const auto& [name, team] : m_teams)
    {
        for (const auto& it : team.calls)
        {
            if (!is_long(it.call))
                out.push_back(&it);
        }
    }
    std::ranges::stable_sort(out, {}, [](const queue_entry* it) { return it->call.level; });
    return out;
}

bool target_queue::may_displace(const queue_entry& waiting, const running_call& it) const
{
    const auto& team = it.call.team;
    const bool borrows = in_service_of(team) > guaranteed_slots(team);
    const bool waits_for_guaranteed_slot =
        in_service_of(waiting.call.team) < guaranteed_slots(waiting.call.team);
    return waiting.call.level < it.call.level || (borrows && waits_for_guaranteed_slot);
}

std::vector<std::uint64_t> target_queue::calls_to_preempt(timestamp now) const
{
    std::vector<std::uint64_t> out;
    if (in_service() < m_limits.slots)
        return out;
    std::vector<const running_call*> candidates;
    for (const auto& [id, it] : m_running)
    {
        if (may_preempt(it, now))
            candidates.push_back(&it);
    }
    // The call that has run longest is preempted first, since it has had the most slot time.
    std::ranges::sort(candidates, {}, [](const running_call* it) { return it->started; });
    for (const auto* waiting : waiting_short_calls())
    {
        const auto it = std::ranges::find_if(candidates, [&](const running_call* x)
                                             { return may_displace(*waiting, *x); });
        if (it == candidates.end())
            continue;
        out.push_back((*it)->call.id);
        candidates.erase(it);
    }
    return out;
}

void target_queue::preempted(std::uint64_t id, milliseconds left, timestamp now)
{
    const auto it = m_running.find(id);
    if (it == m_running.end())
        return;
    queue_entry again{it->second.call, it->second.arrived};
    again.call.predicted = left;
    // A call that has already been in service does not expire.
    again.call.start_by = timestamp::max();
    ++again.call.preemptions;
    leave_service(it, now);
    m_teams[again.call.team].calls.push_front(std::move(again));
    ++m_waiting_count;
}

bool target_queue::withdraw(std::uint64_t id)
{
    for (auto& [name, team] : m_teams)
    {
        const auto removed =
            std::erase_if(team.calls, [id](const queue_entry& it) { return it.call.id == id; });
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

/// The predicted slot time that waiting and running calls still need, for one team or for all.
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
    // Whichever is sooner: the team's backlog on its guaranteed slots, or the whole backlog on all
    // slots.
    const auto own = remaining_work(&team, now) / guaranteed_slots(team);
    const auto all = remaining_work(nullptr, now) / m_limits.slots;
    return std::min(own, all);
}

} // namespace kumquatgap::policy
