#include "experts/switch_controller.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquatgap::experts
{

void switch_controller::handle(const rank_status& s, timestamp now)
{
    const auto& r = s.report;
    if (r.epoch < m_epoch)
        return;
    if (r.epoch > m_epoch)
    {
        // In a new epoch all ranks have map 0, and nothing is prepared, armed or held.
        m_ranks.clear();
        m_epoch = r.epoch;
        m_latest_pass = 0;
        enter_rest(now);
    }
    m_last_reporting_rank = r.rank;
    update_pass_time(r.pass, now);
    m_highest_version = std::max({m_highest_version, r.version, r.prepared});
    const auto known = m_ranks.find(r.rank);
    const bool is_new_agent =
        known == m_ranks.end() || known->second.status.instance_id != s.instance_id;
    m_ranks.insert_or_assign(r.rank, known_rank{s, now});
    if (is_new_agent || (s.was_fenced && has_current_directive(s)))
        ++m_directive.number;
}

directive switch_controller::directive_for(rank_number rank) const
{
    auto out = m_directive;
    const auto it = m_ranks.find(rank);
    out.instance_id = it == m_ranks.end() ? 0 : it->second.status.instance_id;
    // The map is large, and a rank that has copied its experts does not need it.
    if (it != m_ranks.end() && it->second.status.report.prepared == out.version)
        out.map.reset();
    return out;
}

std::vector<rank_number> switch_controller::unconfirmed_ranks() const
{
    std::vector<rank_number> out;
    out.reserve(m_ranks.size());
    for (const auto& [rank, it] : m_ranks)
    {
        const bool needs_directive =
            m_directive.phase != switch_phase::hold || rank == m_directive.holder;
        if (needs_directive && !has_current_directive(it.status))
            out.push_back(rank);
    }
    std::stable_partition(out.begin(), out.end(),
                          [this](rank_number it) { return it == m_directive.holder; });
    return out;
}

std::size_t switch_controller::known_ranks(timestamp now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_ranks, [&](const auto& it)
                              { return now - it.second.heard_at <= m_options.status_lifetime; }));
}

std::vector<rank_number> switch_controller::silent_ranks(timestamp now, milliseconds silence) const
{
    std::vector<rank_number> out;
    for (const auto& [rank, it] : m_ranks)
    {
        if (now - it.heard_at > silence)
            out.push_back(rank);
    }
    return out;
}

bool switch_controller::has_recent_status_of_all(timestamp now) const
{
    if (m_ranks.empty())
        return false;
    const auto size = m_ranks.begin()->second.status.report.size;
    return std::cmp_equal(known_ranks(now), size) && std::cmp_equal(m_ranks.size(), size);
}

template <class F>
bool switch_controller::all_ranks(timestamp now, F&& holds) const
{
    return has_recent_status_of_all(now) &&
           std::ranges::all_of(
               m_ranks, [&](const auto& it)
               { return it.second.status.report.is_open && holds(it.second.status); });
}

bool switch_controller::has_current_directive(const rank_status& s) const
{
    return s.directive_token == m_directive.token && s.directive_number >= m_directive.number;
}

bool switch_controller::is_at_rest(timestamp now) const
{
    if (m_directive.phase != switch_phase::rest)
        return false;
    return all_ranks(now,
                     [this](const rank_status& s)
                     {
                         const auto& r = s.report;
                         return !r.armed && !r.held && r.version == version();
                     });
}

map_version switch_controller::version() const
{
    return m_ranks.empty() ? 0 : m_ranks.begin()->second.status.report.version;
}

rank_slowdowns switch_controller::slowdowns() const
{
    rank_slowdowns out;
    out.reserve(m_ranks.size());
    for (const auto& [rank, it] : m_ranks)
    {
        const auto index = static_cast<std::size_t>(rank);
        if (out.size() <= index)
            out.resize(index + 1, 1);
        out[index] = std::max(1.0, it.status.report.slowdown);
    }
    return out;
}

void switch_controller::enter(switch_phase phase, timestamp now)
{
    m_directive.phase = phase;
    ++m_directive.number;
    m_directive.epoch = m_epoch;
    if (phase != switch_phase::prepare)
        m_directive.map.reset();
    m_phase_began = now;
}

void switch_controller::enter_rest(timestamp now)
{
    enter(switch_phase::rest, now);
}

bool switch_controller::propose(std::shared_ptr<const expert_map> map, timestamp now)
{
    // While ranks are only copying, the map in use is unchanged, so the switch can be replaced.
    if (!is_at_rest(now) && m_directive.phase != switch_phase::prepare)
        return false;
    m_highest_version = std::max(m_highest_version, m_directive.token * versions_per_lease) + 1;
    m_directive.version = m_highest_version;
    m_directive.map = std::move(map);
    enter(switch_phase::prepare, now);
    return true;
}

/// Undoes an unfinished switch of an earlier controller, in which a rank still holds a pass.
void switch_controller::recover_interrupted_switch(timestamp now)
{
    const auto holder = std::ranges::find_if(m_ranks, [](const auto& it)
                                             { return it.second.status.report.held.has_value(); });
    if (holder == m_ranks.end() || !has_recent_status_of_all(now))
        return;
    m_directive.holder = holder->first;
    m_directive.pass = *holder->second.status.report.held;
    m_directive.version = 0;
    for (const auto& [rank, it] : m_ranks)
    {
        const auto& r = it.status.report;
        m_directive.version =
            std::max(m_directive.version, r.armed ? r.armed->version : r.prepared);
    }
    enter(switch_phase::fence_holder, now);
}

void switch_controller::tick_prepare(timestamp now)
{
    const bool is_prepared =
        all_ranks(now, [this](const rank_status& s)
                  { return s.report.prepared == m_directive.version && s.is_settled; });
    if (!is_prepared || !outlives_switch(now))
    {
        if (now - m_phase_began > m_options.prepare_timeout)
            enter_rest(now);
        return;
    }
    m_lead_passes = initial_lead_passes();
    m_directive.holder = m_ranks.begin()->first;
    request_hold(now);
}

/// As many passes as arming takes, so that the group is not stopped while the ranks arm. Not more,
/// because the old map is used until the pass of the switch.
pass_number switch_controller::initial_lead_passes() const
{
    const auto passes = static_cast<pass_number>(m_arming_ms / m_pass_ms);
    return std::clamp(m_options.min_lead_passes + passes, m_options.min_lead_passes,
                      m_options.max_initial_lead_passes);
}

void switch_controller::update_pass_time(pass_number pass, timestamp now)
{
    if (pass <= m_latest_pass)
        return;
    const auto elapsed = now - m_latest_pass_at;
    if (m_latest_pass != 0 && elapsed < m_options.max_pass_gap)
        m_pass_ms += m_options.smoothing_weight * (static_cast<double>(elapsed.count()) /
                                                       static_cast<double>(pass - m_latest_pass) -
                                                   m_pass_ms);
    m_latest_pass = pass;
    m_latest_pass_at = now;
}

/// Adds the time from requesting the hold until all ranks were armed to the mean arming time.
void switch_controller::update_arming_time(timestamp now)
{
    const auto difference = static_cast<double>((now - m_hold_requested_at).count()) - m_arming_ms;
    m_arming_ms +=
        (difference > 0 ? m_options.increase_weight : m_options.smoothing_weight) * difference;
}

/// True when the lease lasts long enough for a switch that begins now. Load pattern: the store is
/// away or slow, the lease can't be renewed, and the group must not be held when it ends.
bool switch_controller::outlives_switch(timestamp now) const
{
    const milliseconds arming{std::llround(m_options.lease_guard_factor * m_arming_ms)};
    return m_lease_ends_at - now >=
           std::clamp(arming, m_options.min_lease_guard, m_options.max_lease_guard);
}

/// Requests a hold m_lead_passes after the latest pass of any rank.
void switch_controller::request_hold(timestamp now)
{
    pass_number latest_pass = 0;
    for (const auto& [rank, it] : m_ranks)
        latest_pass = std::max(latest_pass, it.status.report.pass);
    m_directive.pass = latest_pass + m_lead_passes;
    m_hold_requested_at = now;
    enter(switch_phase::hold, now);
}

void switch_controller::tick_hold(timestamp now)
{
    const auto it = m_ranks.find(m_directive.holder);
    const bool is_answered = it != m_ranks.end() && has_current_directive(it->second.status) &&
                             it->second.status.is_settled;
    if (is_answered && it->second.status.report.held == m_directive.pass)
        return enter(switch_phase::arm, now);
    // No rank is armed yet, so a release is safe whether or not the hold was executed.
    if (now - m_phase_began > m_options.hold_timeout)
        return enter(switch_phase::release, now);
    const bool is_too_late = is_answered && !it->second.status.report.held &&
                             it->second.status.report.pass >= m_directive.pass;
    if (is_too_late && m_lead_passes < m_options.max_lead_passes)
    {
        if (!outlives_switch(now))
            return enter(switch_phase::release, now);
        m_lead_passes *= 2;
        request_hold(now);
    }
}

void switch_controller::tick_fence_holder(timestamp now)
{
    const auto it = m_ranks.find(m_directive.holder);
    if (it == m_ranks.end() || now - it->second.heard_at > m_options.status_lifetime)
        return;
    const auto& s = it->second.status;
    if (!has_current_directive(s) || !s.is_settled)
        return;
    // If there is no hold, an earlier controller has released the group, which it does only when
    // either all ranks are armed or none is.
    if (s.report.held)
        enter(switch_phase::disarm, now);
    else
        enter_rest(now);
}

void switch_controller::tick_release(timestamp now)
{
    const bool is_released =
        all_ranks(now, [this](const rank_status& s)
                  { return has_current_directive(s) && s.is_settled && !s.report.held; });
    const bool has_no_hold = all_ranks(now, [this](const rank_status& s)
                                       { return has_current_directive(s) && !s.report.held; });
    // A late order can still hold the group after this, but cannot arm a rank. The hold is found
    // and undone in the rest phase.
    if (is_released || (has_no_hold && now - m_phase_began > m_options.release_timeout))
        enter_rest(now);
}

void switch_controller::tick(timestamp now)
{
    const auto elapsed = now - m_phase_began;
    switch (m_directive.phase)
    {
    case switch_phase::rest:
        return recover_interrupted_switch(now);
    case switch_phase::prepare:
        return tick_prepare(now);
    case switch_phase::hold:
        return tick_hold(now);
    case switch_phase::arm:
        if (all_ranks(
                now,
                [this](const rank_status& s) {
                    return s.report.armed == armed_switch{m_directive.version, m_directive.pass};
                }))
        {
            update_arming_time(now);
            return enter(switch_phase::release, now);
        }
        if (elapsed > m_options.arm_timeout)
            enter(switch_phase::fence_holder, now);
        return;
    case switch_phase::fence_holder:
        return tick_fence_holder(now);
    case switch_phase::disarm:
        if (all_ranks(now, [this](const rank_status& s)
                      { return has_current_directive(s) && s.is_settled && !s.report.armed; }))
            enter(switch_phase::release, now);
        return;
    case switch_phase::release:
        return tick_release(now);
    }
}

} // namespace kumquatgap::experts
