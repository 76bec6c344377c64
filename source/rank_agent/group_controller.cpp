#include "rank_agent/group_controller.hpp"

#include "common/log.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kumquatgap::rank_agent
{

namespace
{

/// Interval between beacons, which are also sent while no switch is under way.
constexpr milliseconds beacon_period{500};
/// The beacon for a new rank is delayed by this, so that it also serves other new ranks.
constexpr milliseconds new_rank_beacon_delay{100};
/// A rank without a status for this long is not used as a relay; at rest, a status is sent every
/// 500 ms.
constexpr milliseconds relay_timeout{1200};

/// Logs give fractions in thousandths.
std::int64_t thousandths(double n)
{
    constexpr double per_one = 1000;
    return std::llround(n * per_one);
}

} // namespace

group_controller::group_controller(std::string group, experts::fencing_token token,
                                   controller_options options)
    : m_group{std::move(group)}, m_options{std::move(options)}, m_switch{token, {}},
      m_pacer{{.bytes_per_s = m_options.link.directive_bytes_per_s()}}
{
}

std::string group_controller::address_of(experts::rank_number rank) const
{
    if (const auto it = m_addresses.find(rank); it != m_addresses.end())
        return it->second;
    const auto i = static_cast<std::size_t>(rank);
    return i < m_previous_addresses.size() ? m_previous_addresses[i] : std::string{};
}

experts::relay_tree group_controller::current_tree(timestamp now) const
{
    const auto size = std::max(m_addresses.empty() ? 0 : m_addresses.rbegin()->first + 1,
                               static_cast<int>(m_previous_addresses.size()));
    std::vector<bool> is_live(static_cast<std::size_t>(size), false);
    for (const auto& [rank, address] : m_addresses)
        is_live[static_cast<std::size_t>(rank)] = true;
    for (const auto rank : m_switch.silent_ranks(now, relay_timeout))
        is_live[static_cast<std::size_t>(rank)] = false;
    const auto bytes = m_engine ? experts::estimated_counts_message_bytes(
                                      static_cast<std::size_t>(m_engine->expert_sets),
                                      static_cast<std::size_t>(m_engine->experts))
                                : 0;
    return experts::make_relay_tree(is_live, bytes, m_options.link);
}

std::vector<group_controller::addressed_beacon> group_controller::take_due_beacons(timestamp now)
{
    if (now - m_last_beacon_at < beacon_period)
        return {};
    m_last_beacon_at = now;
    const auto tree = current_tree(now);
    experts::beacon_message m{.group = m_group,
                              .token = token(),
                              .leader = m_options.address,
                              .tree = tree,
                              .addresses = {},
                              .epoch = m_epoch,
                              .known_map_version =
                                  current_map() ? m_switch.version() : experts::map_cache::unknown};
    std::vector<std::string> addresses;
    addresses.reserve(static_cast<std::size_t>(tree.size));
    for (experts::rank_number rank = 0; rank < tree.size; ++rank)
        addresses.push_back(address_of(rank));
    std::vector<addressed_beacon> out;
    for (std::size_t block = 0; block < tree.relays.size(); ++block)
    {
        const auto relay = tree.relays[block];
        if (relay != experts::relay_tree::no_rank)
        {
            auto with_addresses = m;
            with_addresses.addresses = addresses;
            with_addresses.forward_to_block = tree.block_size > 1;
            out.push_back({address_of(relay), std::move(with_addresses)});
            continue;
        }
        for (const auto rank : tree.ranks_of(block))
            out.push_back({address_of(rank), m});
    }
    std::erase_if(out, [](const addressed_beacon& it) { return it.address.empty(); });
    return out;
}

bool group_controller::has_base_map(experts::rank_number rank) const
{
    const auto it = m_known_map_versions.find(rank);
    return m_delta && it != m_known_map_versions.end() && it->second == m_delta->base;
}

/// Size in bytes of one message of the current directive for some ranks.
std::size_t group_controller::directive_bytes(const std::vector<experts::rank_number>& ranks) const
{
    const bool all_have_base =
        std::ranges::all_of(ranks, [this](experts::rank_number it) { return has_base_map(it); });
    if (current().map && m_delta && all_have_base)
        return experts::estimated_message_bytes(*m_delta);
    return experts::estimated_message_bytes(current());
}

std::string group_controller::target_of(experts::rank_number rank) const
{
    const auto it = m_targets.find(rank);
    return it == m_targets.end() ? "" : it->second;
}

std::vector<group_controller::addressed_directive>
group_controller::take_due_directives(timestamp now)
{
    const auto unconfirmed = m_switch.unconfirmed_ranks();
    const auto due =
        m_pacer.take_due(unconfirmed, current().number, directive_bytes(unconfirmed), now);
    std::vector<addressed_directive> out;
    out.reserve(due.size());
    for (const auto& it : due)
    {
        experts::directive_message m{directive_for(it.rank)};
        // The recipients may lack the map, whether the relay has it or not.
        if (!it.forward_to.empty())
            m.body.map = current().map;
        for (const auto other : it.forward_to)
            m.forward_to.push_back({m_addresses[other], directive_for(other).instance_id});
        const bool all_have_base =
            has_base_map(it.rank) &&
            std::ranges::all_of(it.forward_to,
                                [this](experts::rank_number rank) { return has_base_map(rank); });
        if (m.body.map && all_have_base)
        {
            m.delta = m_delta;
            m.body.map.reset();
        }
        out.push_back({m_addresses[it.rank], std::move(m)});
    }
    return out;
}

std::vector<experts::rank_number> group_controller::ranks_to_take_over(timestamp now) const
{
    using enum experts::switch_phase;
    const auto phase = current().phase;
    if (phase == rest || phase == prepare)
        return {};
    return m_switch.silent_ranks(now, m_options.agent_timeout);
}

void group_controller::handle(const experts::status_message& m, timestamp now)
{
    if (m.status.report.group != m_group)
        return;
    if (!m_addresses.contains(m.status.report.rank))
        m_last_beacon_at = std::min(m_last_beacon_at, now - beacon_period + new_rank_beacon_delay);
    m_addresses.insert_or_assign(m.status.report.rank, m.address);
    m_targets.insert_or_assign(m.status.report.rank, m.target);
    m_size = static_cast<std::size_t>(std::max(0, m.status.report.size));
    if (m.address == m_options.address)
        m_pacer.set_own_rank(m.status.report.rank);
    m_known_map_versions.insert_or_assign(m.status.report.rank, m.known_map_version);
    handle(m.status, now);
}

void group_controller::handle(const experts::rank_status& s, timestamp now)
{
    if (s.report.group != m_group)
        return;
    m_switch.handle(s, now);
    if (m_switch.epoch() == m_epoch)
        return;
    m_epoch = m_switch.epoch();
    m_popularity.clear();
    m_rank_experts.clear();
    m_known_map_versions.clear();
    m_delta.reset();
    common::log(common::log_level::info, "group_epoch", {{"epoch", m_epoch}});
}

void group_controller::handle(const experts::selection_counts_message& m, timestamp now)
{
    if (m.group != m_group || m.epoch != m_epoch)
        return;
    m_popularity.add(m.counts, now);
}

void group_controller::handle(const experts::rank_experts_message& m)
{
    if (m.group == m_group && m.epoch == m_epoch)
        m_rank_experts.insert_or_assign(m.rank, m);
}

/// Returns the map that all ranks report; a null pointer while the experts of any rank are unknown
/// or belong to another version.
std::shared_ptr<const experts::expert_map> group_controller::current_map()
{
    const auto version = m_switch.version();
    if (auto known = m_map_cache.find(m_epoch, version))
        return known;
    experts::expert_map out;
    for (const auto& [rank, it] : m_rank_experts)
    {
        if (it.version != version)
            return nullptr;
        out.sets.resize(it.experts.size());
        for (std::size_t s = 0; s < it.experts.size(); ++s)
            out.sets[s].push_back(it.experts[s]);
    }
    // A map from only some of the ranks would lack the experts of the others.
    if (m_rank_experts.empty() || m_rank_experts.size() != m_size)
        return nullptr;
    m_map_cache.put(m_epoch, version, std::make_shared<const experts::expert_map>(std::move(out)));
    return m_map_cache.find(m_epoch, version);
}

/// Returns true if there are enough counts to stand out from random variation.
bool group_controller::has_enough_counts() const
{
    const auto& loads = m_popularity.loads();
    if (loads.empty() || loads.front().empty())
        return false;
    const auto experts =
        static_cast<double>(loads.size()) * static_cast<double>(loads.front().size());
    return m_popularity.total() >= experts * m_options.min_selections_per_expert;
}

/// A change in demand triggers a plan at once. No plan is made while a change is only suspected.
bool group_controller::is_plan_due(timestamp now) const
{
    const bool has_demand_changed = m_popularity.changes() != m_planned_demand_changes;
    const bool is_interval_over = now - m_planned_at >= m_options.min_plan_interval;
    return (has_demand_changed || is_interval_over) && has_enough_counts() &&
           !m_popularity.may_be_changing();
}

double group_controller::copy_ms() const
{
    return m_engine->expert_copy_ms > 0 ? m_engine->expert_copy_ms : m_options.default_copy_ms;
}

void group_controller::plan(timestamp now)
{
    m_planned_at = now;
    m_planned_demand_changes = m_popularity.changes();
    common::log(common::log_level::debug, "plan_considered",
                {{"choices", std::llround(m_popularity.total())},
                 {"ranks_with_map", static_cast<std::int64_t>(m_rank_experts.size())},
                 {"ranks", static_cast<std::int64_t>(m_addresses.size())}});
    const auto& loads = m_popularity.loads();
    const auto from = current_map();
    if (!from || from->sets.size() != loads.size())
        return;
    const experts::plan_limits limits{
        .slots_per_set = static_cast<std::size_t>(m_engine->expert_slots_per_rank),
        .max_copies_per_set = static_cast<std::size_t>(m_engine->spare_expert_slots),
        .max_copies_per_rank = m_options.max_copies_per_rank};
    const experts::switch_times times{
        .copy_ms = copy_ms(),
        .overhead_ms = m_meter.overhead_ms(),
        .horizon_ms = static_cast<double>(m_popularity.demand_duration(now).count())};
    const auto slowdowns = m_switch.slowdowns();
    m_skew_thousandths = thousandths(experts::skew(*from, loads, slowdowns));
    auto next = experts::plan_switch(*from, loads, limits, slowdowns, times);
    if (next && next->skew_before - next->skew_after >= m_options.min_skew_reduction)
        begin_switch(std::move(*next), *from, now);
}

void group_controller::begin_switch(experts::planned_switch next, const experts::expert_map& from,
                                    timestamp now)
{
    const auto map = std::make_shared<const experts::expert_map>(std::move(next.map));
    if (!m_switch.propose(map, now))
        return;
    m_meter.begun(static_cast<double>(next.copies_per_rank) * copy_ms(), now);
    m_delta = experts::make_delta(from, m_switch.version(), *map);
    m_map_cache.put(m_epoch, current().version, map);
    common::log(common::log_level::info, "map_planned",
                {{"version", current().version},
                 {"epoch", m_epoch},
                 {"skew_before_thousandths", thousandths(next.skew_before)},
                 {"skew_after_thousandths", thousandths(next.skew_after)},
                 {"copies_per_rank", static_cast<std::int64_t>(next.copies_per_rank)},
                 {"overhead_ms", std::llround(m_meter.overhead_ms())},
                 {"demand_changes", m_popularity.changes()},
                 {"demand_life_ms", m_popularity.demand_duration(now).count()},
                 {"choices", std::llround(m_popularity.total())},
                 {"rows_changed", static_cast<std::int64_t>(m_delta->rows.size())},
                 {"plan_ms", (common::now() - now).count()}});
}

void group_controller::log_phase(timestamp now)
{
    const auto& d = current();
    if (d.phase == m_logged_phase)
        return;
    common::log(common::log_level::info, "switch_phase",
                {{"group", m_group},
                 {"phase", experts::name_of(d.phase)},
                 {"version", d.version},
                 {"pass", d.pass},
                 {"holder", d.holder},
                 {"token", d.token},
                 {"epoch", d.epoch},
                 {"ranks", static_cast<std::int64_t>(m_switch.known_ranks(now))},
                 {"last_phase_rank", m_switch.last_reporting_rank()},
                 {"last_phase_ms",
                  m_phase_started_at == timestamp{} ? 0 : (now - m_phase_started_at).count()}});
    m_logged_phase = d.phase;
    m_phase_started_at = now;
}

void group_controller::tick(timestamp now)
{
    m_switch.tick(now);
    if (m_engine && m_switch.is_at_rest(now))
    {
        m_meter.ended(m_switch.version() == current().version, now);
        if (is_plan_due(now))
            plan(now);
    }
    // The map that is being copied was planned for an earlier demand.
    const bool is_outdated = current().phase == experts::switch_phase::prepare &&
                             m_popularity.changes() != m_planned_demand_changes;
    if (is_outdated && is_plan_due(now))
        plan(now);
    log_phase(now);
}

} // namespace kumquatgap::rank_agent
