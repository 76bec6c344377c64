#include "rank_agent/group_controller.hpp"

#include "common/log.hpp"

#include <cmath>
#include <numeric>

namespace kumquatgap::rank_agent
{

namespace
{

/// Logs give fractions in thousandths.
std::int64_t thousandths(double n)
{
    constexpr double per_one = 1000;
    return std::llround(n * per_one);
}

} // namespace

group_controller::group_controller(std::string group, experts::fencing_token token,
                                   controller_options options)
    : m_group{std::move(group)}, m_options{options}, m_switch{token, {}}, m_popularity{
                                                                              options.half_life}
{
}

std::string group_controller::target_of(experts::rank_number rank) const
{
    const auto it = m_targets.find(rank);
    return it == m_targets.end() ? "" : it->second;
}

std::vector<group_controller::told_agent> group_controller::agents_to_tell(timestamp now)
{
    const auto due = m_pacer.take_due(m_switch.unconfirmed_ranks(), current().number,
                                      experts::message_bytes(current()), now);
    std::vector<told_agent> out;
    out.reserve(due.size());
    for (const auto& it : due)
    {
        experts::directive_message m{directive_for(it.rank)};
        // Those that it is passed on to may lack the map, whether the first has it or not.
        if (!it.passed_on.empty())
            m.what.map = current().map;
        for (const auto other : it.passed_on)
            m.pass_on.push_back({m_addresses[other], directive_for(other).agent});
        out.push_back({m_addresses[it.rank], std::move(m)});
    }
    return out;
}

std::vector<experts::rank_number> group_controller::abandoned_ranks(timestamp now) const
{
    using enum experts::switch_phase;
    const auto phase = current().phase;
    if (phase == rest || phase == prepare)
        return {};
    return m_switch.silent_ranks(now, m_options.agent_silence);
}

void group_controller::take(const experts::status_message& m, timestamp now)
{
    if (m.status.report.group != m_group)
        return;
    m_addresses.insert_or_assign(m.status.report.rank, m.address);
    m_targets.insert_or_assign(m.status.report.rank, m.target);
    take(m.status, now);
}

void group_controller::take(const experts::rank_status& s, timestamp now)
{
    if (s.report.group != m_group)
        return;
    m_switch.take(s, now);
    if (m_switch.epoch() == m_epoch)
        return;
    m_epoch = m_switch.epoch();
    m_popularity.clear();
    m_held.clear();
    m_proposed.reset();
    common::log(common::log_level::info, "group_epoch", {{"epoch", m_epoch}});
}

void group_controller::take(const experts::choices_message& m, timestamp now)
{
    if (m.group != m_group || m.epoch != m_epoch)
        return;
    m_popularity.add(m.choices, now);
    m_held.insert_or_assign(m.rank, m);
}

/// The map that all ranks say they have; none while any is unknown or has another version.
std::optional<experts::expert_map> group_controller::current_map() const
{
    const auto version = m_switch.version();
    if (m_proposed && version == m_proposed_version)
        return *m_proposed;
    experts::expert_map out;
    for (const auto& [rank, it] : m_held)
    {
        if (it.version != version)
            return std::nullopt;
        out.sets.resize(it.held.size());
        for (std::size_t s = 0; s < it.held.size(); ++s)
            out.sets[s].push_back(it.held[s]);
    }
    if (m_held.empty() || m_held.size() != m_addresses.size())
        return std::nullopt;
    return out;
}

void group_controller::plan(timestamp now)
{
    m_planned_at = now;
    common::log(common::log_level::debug, "plan_considered",
                {{"choices", std::llround(m_popularity.total())},
                 {"ranks_with_map", static_cast<std::int64_t>(m_held.size())},
                 {"ranks", static_cast<std::int64_t>(m_addresses.size())}});
    const auto& loads = m_popularity.loads();
    if (loads.empty() || loads.front().empty())
        return;
    const auto experts =
        static_cast<double>(loads.size()) * static_cast<double>(loads.front().size());
    if (m_popularity.total() < experts * m_options.least_choices_per_expert)
        return;
    const auto from = current_map();
    if (!from || from->sets.size() != loads.size())
        return;
    const experts::plan_limits limits{.places = static_cast<std::size_t>(m_engine->places_per_rank),
                                      .new_per_set =
                                          static_cast<std::size_t>(m_engine->spare_places)};
    const auto paces = m_switch.paces();
    auto to = experts::improve(*from, loads, limits, paces);
    const auto before = experts::skew(*from, loads, paces);
    const auto after = experts::skew(to, loads, paces);
    if (before - after < m_options.least_gain)
        return;
    const auto map = std::make_shared<const experts::expert_map>(std::move(to));
    if (!m_switch.propose(map, now))
        return;
    m_proposed = map;
    m_proposed_version = current().version;
    common::log(common::log_level::info, "map_planned",
                {{"version", current().version},
                 {"epoch", m_epoch},
                 {"skew_before_thousandths", thousandths(before)},
                 {"skew_after_thousandths", thousandths(after)},
                 {"choices", std::llround(m_popularity.total())}});
}

void group_controller::log_phase(timestamp now)
{
    const auto& d = current();
    if (d.phase == m_logged_phase)
        return;
    common::log(common::log_level::info, "switch_phase",
                {{"phase", experts::name_of(d.phase)},
                 {"version", d.version},
                 {"pass", d.pass},
                 {"holder", d.holder},
                 {"token", d.token},
                 {"epoch", d.epoch},
                 {"ranks", static_cast<std::int64_t>(m_switch.known_ranks(now))},
                 {"last_phase_ms", (now - m_phase_began).count()}});
    m_logged_phase = d.phase;
    m_phase_began = now;
}

void group_controller::tick(timestamp now)
{
    m_switch.tick(now);
    const bool is_due = now - m_planned_at >= m_options.plan_period;
    if (m_engine && is_due && m_switch.is_at_rest(now))
        plan(now);
    log_phase(now);
}

} // namespace kumquatgap::rank_agent
