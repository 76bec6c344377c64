#include "experts/switch_controller.hpp"

#include <algorithm>
#include <utility>

namespace kumquatgap::experts
{

void switch_controller::take(const rank_status& s, timestamp now)
{
    const auto& r = s.report;
    if (r.epoch < m_epoch)
        return;
    if (r.epoch > m_epoch)
    {
        // A new epoch starts with map 0 and without anything prepared, armed or held.
        m_ranks.clear();
        m_epoch = r.epoch;
        m_foremost = 0;
        abandon(now);
    }
    note_pass(r.pass, now);
    m_highest_version = std::max({m_highest_version, r.version, r.prepared});
    const auto known = m_ranks.find(r.rank);
    const bool is_new_agent = known == m_ranks.end() || known->second.status.agent != s.agent;
    m_ranks.insert_or_assign(r.rank, known_rank{s, now});
    if (is_new_agent || (s.was_fenced && has_seen_current(s)))
        ++m_directive.number;
}

directive switch_controller::directive_for(rank_number rank) const
{
    auto out = m_directive;
    const auto it = m_ranks.find(rank);
    out.agent = it == m_ranks.end() ? 0 : it->second.status.agent;
    // The map is long, and of no use to a rank that has copied its experts.
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
        const bool is_concerned =
            m_directive.phase != switch_phase::hold || rank == m_directive.holder;
        if (is_concerned && !has_seen_current(it.status))
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

bool switch_controller::knows_all(timestamp now) const
{
    if (m_ranks.empty())
        return false;
    const auto size = m_ranks.begin()->second.status.report.size;
    return std::cmp_equal(known_ranks(now), size) && std::cmp_equal(m_ranks.size(), size);
}

template <class F>
bool switch_controller::all_ranks(timestamp now, F&& holds) const
{
    return knows_all(now) && std::ranges::all_of(m_ranks,
                                                 [&](const auto& it) {
                                                     return it.second.status.report.is_open &&
                                                            holds(it.second.status);
                                                 });
}

bool switch_controller::has_seen_current(const rank_status& s) const
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

rank_paces switch_controller::paces() const
{
    rank_paces out;
    out.reserve(m_ranks.size());
    for (const auto& [rank, it] : m_ranks)
    {
        const auto index = static_cast<std::size_t>(rank);
        if (out.size() <= index)
            out.resize(index + 1, 1);
        out[index] = std::max(1.0, it.status.report.pace);
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
    m_phase_since = now;
}

void switch_controller::abandon(timestamp now)
{
    enter(switch_phase::rest, now);
}

bool switch_controller::propose(std::shared_ptr<const expert_map> map, timestamp now)
{
    // While ranks only copy, the group's map is what it was.
    if (!is_at_rest(now) && m_directive.phase != switch_phase::prepare)
        return false;
    m_highest_version = std::max(m_highest_version, m_directive.token * versions_per_lease) + 1;
    m_directive.version = m_highest_version;
    m_directive.map = std::move(map);
    enter(switch_phase::prepare, now);
    return true;
}

/// A group that is found held was left by an earlier controller; its switch is undone.
void switch_controller::look_for_remains(timestamp now)
{
    const auto holder = std::ranges::find_if(m_ranks, [](const auto& it)
                                             { return it.second.status.report.held.has_value(); });
    if (holder == m_ranks.end() || !knows_all(now))
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
    if (!is_prepared)
    {
        if (now - m_phase_since > m_options.longest_prepare)
            abandon(now);
        return;
    }
    m_lead_passes = first_lead_passes();
    m_directive.holder = m_ranks.begin()->first;
    place_switch(now);
}

/// As many passes as arming takes, so that the group need not stand for it, and no more, since the
/// old map is in force meanwhile.
pass_number switch_controller::first_lead_passes() const
{
    const auto passes = static_cast<pass_number>(m_arming_ms / m_pass_ms);
    return std::clamp(m_options.lead_passes + passes, m_options.lead_passes,
                      m_options.most_first_lead_passes);
}

void switch_controller::note_pass(pass_number pass, timestamp now)
{
    if (pass <= m_foremost)
        return;
    const auto passed = now - m_foremost_at;
    if (m_foremost != 0 && passed < m_options.longest_pass)
        m_pass_ms += m_options.shorter_weight *
                     (static_cast<double>(passed.count()) / static_cast<double>(pass - m_foremost) -
                      m_pass_ms);
    m_foremost = pass;
    m_foremost_at = now;
}

/// Takes in how long it took from the asking for a hold until all ranks were armed.
void switch_controller::note_arming(timestamp now)
{
    const auto difference = static_cast<double>((now - m_placed_at).count()) - m_arming_ms;
    m_arming_ms +=
        (difference > 0 ? m_options.longer_weight : m_options.shorter_weight) * difference;
}

/// Asks for a hold some passes ahead of the foremost rank.
void switch_controller::place_switch(timestamp now)
{
    pass_number foremost = 0;
    for (const auto& [rank, it] : m_ranks)
        foremost = std::max(foremost, it.status.report.pass);
    m_directive.pass = foremost + m_lead_passes;
    m_placed_at = now;
    enter(switch_phase::hold, now);
}

void switch_controller::tick_hold(timestamp now)
{
    const auto it = m_ranks.find(m_directive.holder);
    const bool is_answered =
        it != m_ranks.end() && has_seen_current(it->second.status) && it->second.status.is_settled;
    if (is_answered && it->second.status.report.held == m_directive.pass)
        return enter(switch_phase::arm, now);
    // Nobody is armed yet, so whatever became of the hold can be released.
    if (now - m_phase_since > m_options.longest_hold)
        return enter(switch_phase::release, now);
    const bool came_too_late = is_answered && !it->second.status.report.held &&
                               it->second.status.report.pass >= m_directive.pass;
    if (came_too_late && m_lead_passes < m_options.most_lead_passes)
    {
        m_lead_passes *= 2;
        place_switch(now);
    }
}

void switch_controller::tick_fence_holder(timestamp now)
{
    const auto it = m_ranks.find(m_directive.holder);
    if (it == m_ranks.end() || now - it->second.heard_at > m_options.status_lifetime)
        return;
    const auto& s = it->second.status;
    if (!has_seen_current(s) || !s.is_settled)
        return;
    // Without a hold an earlier controller has released the group, which it does only when all
    // ranks are armed or none is.
    if (s.report.held)
        enter(switch_phase::disarm, now);
    else
        abandon(now);
}

void switch_controller::tick_release(timestamp now)
{
    const bool is_released =
        all_ranks(now, [this](const rank_status& s)
                  { return has_seen_current(s) && s.is_settled && !s.report.held; });
    const bool has_no_hold = all_ranks(now, [this](const rank_status& s)
                                       { return has_seen_current(s) && !s.report.held; });
    // A late order can still hold the group, but arms nobody: the next look finds it.
    if (is_released || (has_no_hold && now - m_phase_since > m_options.longest_release))
        abandon(now);
}

void switch_controller::tick(timestamp now)
{
    const auto passed = now - m_phase_since;
    switch (m_directive.phase)
    {
    case switch_phase::rest:
        return look_for_remains(now);
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
            note_arming(now);
            return enter(switch_phase::release, now);
        }
        if (passed > m_options.longest_arm)
            enter(switch_phase::fence_holder, now);
        return;
    case switch_phase::fence_holder:
        return tick_fence_holder(now);
    case switch_phase::disarm:
        if (all_ranks(now, [this](const rank_status& s)
                      { return has_seen_current(s) && s.is_settled && !s.report.armed; }))
            enter(switch_phase::release, now);
        return;
    case switch_phase::release:
        return tick_release(now);
    }
}

} // namespace kumquatgap::experts
