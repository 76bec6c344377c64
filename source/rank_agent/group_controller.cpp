#include "rank_agent/group_controller.hpp"

#include "common/log.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kumquatgap::rank_agent
{

namespace
{

/// How often agents hear from the controller when there is nothing to do.
constexpr milliseconds beacon_period{500};
/// A rank that is heard for the first time gets one after this, with others that are.
constexpr milliseconds first_beacon_delay{100};
/// A rank whose status has not come for this long passes nothing on; at rest one comes every 500
/// ms.
constexpr milliseconds relay_silence{1200};

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
      m_pacer{{.bytes_per_s = m_options.link.directives()}}
{
}

std::string group_controller::address_of(experts::rank_number rank) const
{
    if (const auto it = m_addresses.find(rank); it != m_addresses.end())
        return it->second;
    const auto i = static_cast<std::size_t>(rank);
    return i < m_earlier_addresses.size() ? m_earlier_addresses[i] : std::string{};
}

experts::relay_tree group_controller::tree(timestamp now) const
{
    const auto size = std::max(m_addresses.empty() ? 0 : m_addresses.rbegin()->first + 1,
                               static_cast<int>(m_earlier_addresses.size()));
    std::vector<bool> is_live(static_cast<std::size_t>(size), false);
    for (const auto& [rank, address] : m_addresses)
        is_live[static_cast<std::size_t>(rank)] = true;
    for (const auto rank : m_switch.silent_ranks(now, relay_silence))
        is_live[static_cast<std::size_t>(rank)] = false;
    const auto bytes = m_engine
                           ? experts::choices_bytes(static_cast<std::size_t>(m_engine->expert_sets),
                                                    static_cast<std::size_t>(m_engine->experts))
                           : 0;
    return experts::divide(is_live, bytes, m_options.link);
}

std::vector<group_controller::told_beacon> group_controller::beacons(timestamp now)
{
    if (now - m_beacon_at < beacon_period)
        return {};
    m_beacon_at = now;
    const auto divided = tree(now);
    experts::beacon_message m{.group = m_group,
                              .token = token(),
                              .leader = m_options.address,
                              .tree = divided,
                              .addresses = {},
                              .epoch = m_epoch,
                              .known_map = current_map() ? m_switch.version()
                                                         : experts::map_archive::unknown};
    std::vector<std::string> addresses;
    addresses.reserve(static_cast<std::size_t>(divided.size));
    for (experts::rank_number rank = 0; rank < divided.size; ++rank)
        addresses.push_back(address_of(rank));
    std::vector<told_beacon> out;
    for (std::size_t block = 0; block < divided.relays.size(); ++block)
    {
        const auto relay = divided.relays[block];
        if (relay != experts::relay_tree::no_rank)
        {
            auto whole = m;
            whole.addresses = addresses;
            whole.is_for_block = divided.block_size > 1;
            out.push_back({address_of(relay), std::move(whole)});
            continue;
        }
        for (const auto rank : divided.ranks_of(block))
            out.push_back({address_of(rank), m});
    }
    std::erase_if(out, [](const told_beacon& it) { return it.address.empty(); });
    return out;
}

bool group_controller::knows_base(experts::rank_number rank) const
{
    const auto it = m_known_maps.find(rank);
    return m_changes && it != m_known_maps.end() && it->second == m_changes->base;
}

/// The size of one message of the current directive for some ranks.
std::size_t group_controller::directive_bytes(const std::vector<experts::rank_number>& ranks) const
{
    const bool all_know =
        std::ranges::all_of(ranks, [this](experts::rank_number it) { return knows_base(it); });
    if (current().map && m_changes && all_know)
        return experts::message_bytes(*m_changes);
    return experts::message_bytes(current());
}

std::string group_controller::target_of(experts::rank_number rank) const
{
    const auto it = m_targets.find(rank);
    return it == m_targets.end() ? "" : it->second;
}

std::vector<group_controller::told_agent> group_controller::agents_to_tell(timestamp now)
{
    const auto unconfirmed = m_switch.unconfirmed_ranks();
    const auto due =
        m_pacer.take_due(unconfirmed, current().number, directive_bytes(unconfirmed), now);
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
        const bool all_know = knows_base(it.rank) &&
                              std::ranges::all_of(it.passed_on, [this](experts::rank_number rank)
                                                  { return knows_base(rank); });
        if (m.what.map && all_know)
        {
            m.changes = m_changes;
            m.what.map.reset();
        }
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
    if (!m_addresses.contains(m.status.report.rank))
        m_beacon_at = std::min(m_beacon_at, now - beacon_period + first_beacon_delay);
    m_addresses.insert_or_assign(m.status.report.rank, m.address);
    m_targets.insert_or_assign(m.status.report.rank, m.target);
    m_size = static_cast<std::size_t>(std::max(0, m.status.report.size));
    if (m.address == m_options.address)
        m_pacer.set_own_rank(m.status.report.rank);
    m_known_maps.insert_or_assign(m.status.report.rank, m.known_map);
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
    m_known_maps.clear();
    m_changes.reset();
    common::log(common::log_level::info, "group_epoch", {{"epoch", m_epoch}});
}

void group_controller::take(const experts::choices_message& m, timestamp now)
{
    if (m.group != m_group || m.epoch != m_epoch)
        return;
    m_popularity.add(m.choices, now);
}

void group_controller::take(const experts::held_message& m)
{
    if (m.group == m_group && m.epoch == m_epoch)
        m_held.insert_or_assign(m.rank, m);
}

/// The map that all ranks say they have; none while any is unknown or has another version.
std::shared_ptr<const experts::expert_map> group_controller::current_map()
{
    const auto version = m_switch.version();
    if (auto known = m_maps.find(m_epoch, version))
        return known;
    experts::expert_map out;
    for (const auto& [rank, it] : m_held)
    {
        if (it.version != version)
            return nullptr;
        out.sets.resize(it.held.size());
        for (std::size_t s = 0; s < it.held.size(); ++s)
            out.sets[s].push_back(it.held[s]);
    }
    // Part of the ranks would give a map without the experts of the others.
    if (m_held.empty() || m_held.size() != m_size)
        return nullptr;
    m_maps.put(m_epoch, version, std::make_shared<const experts::expert_map>(std::move(out)));
    return m_maps.find(m_epoch, version);
}

/// True when the choices that are known tell more than chance.
bool group_controller::knows_enough() const
{
    const auto& loads = m_popularity.loads();
    if (loads.empty() || loads.front().empty())
        return false;
    const auto experts =
        static_cast<double>(loads.size()) * static_cast<double>(loads.front().size());
    return m_popularity.total() >= experts * m_options.least_choices_per_expert;
}

/// A change of demand is answered at once, and what may be one is waited for.
bool group_controller::is_plan_due(timestamp now) const
{
    const bool has_changed = m_popularity.changes() != m_planned_changes;
    const bool is_time = now - m_planned_at >= m_options.plan_period;
    return (has_changed || is_time) && knows_enough() && !m_popularity.may_be_changing();
}

double group_controller::copy_ms() const
{
    return m_engine->expert_copy_ms > 0 ? m_engine->expert_copy_ms : m_options.copy_ms_if_unknown;
}

void group_controller::plan(timestamp now)
{
    m_planned_at = now;
    m_planned_changes = m_popularity.changes();
    common::log(common::log_level::debug, "plan_considered",
                {{"choices", std::llround(m_popularity.total())},
                 {"ranks_with_map", static_cast<std::int64_t>(m_held.size())},
                 {"ranks", static_cast<std::int64_t>(m_addresses.size())}});
    const auto& loads = m_popularity.loads();
    const auto from = current_map();
    if (!from || from->sets.size() != loads.size())
        return;
    const experts::plan_limits limits{.places = static_cast<std::size_t>(m_engine->places_per_rank),
                                      .new_per_set =
                                          static_cast<std::size_t>(m_engine->spare_places),
                                      .new_per_rank = m_options.most_copies_per_rank};
    const experts::switch_times times{.copy_ms = copy_ms(),
                                      .overhead_ms = m_meter.overhead_ms(),
                                      .horizon_ms =
                                          static_cast<double>(m_popularity.life(now).count())};
    const auto paces = m_switch.paces();
    m_skew_thousandths = thousandths(experts::skew(*from, loads, paces));
    auto next = experts::plan_switch(*from, loads, limits, paces, times);
    if (next && next->skew_before - next->skew_after >= m_options.least_gain)
        begin_switch(std::move(*next), *from, now);
}

void group_controller::begin_switch(experts::planned_switch next, const experts::expert_map& from,
                                    timestamp now)
{
    const auto map = std::make_shared<const experts::expert_map>(std::move(next.map));
    if (!m_switch.propose(map, now))
        return;
    m_meter.begun(static_cast<double>(next.copies_per_rank) * copy_ms(), now);
    m_changes = experts::difference(from, m_switch.version(), *map);
    m_maps.put(m_epoch, current().version, map);
    common::log(common::log_level::info, "map_planned",
                {{"version", current().version},
                 {"epoch", m_epoch},
                 {"skew_before_thousandths", thousandths(next.skew_before)},
                 {"skew_after_thousandths", thousandths(next.skew_after)},
                 {"copies_per_rank", static_cast<std::int64_t>(next.copies_per_rank)},
                 {"overhead_ms", std::llround(m_meter.overhead_ms())},
                 {"demand_changes", m_popularity.changes()},
                 {"demand_life_ms", m_popularity.life(now).count()},
                 {"choices", std::llround(m_popularity.total())},
                 {"rows_changed", static_cast<std::int64_t>(m_changes->rows.size())},
                 {"plan_ms", (common::now() - now).count()}});
}

void group_controller::log_phase(timestamp now)
{
    const auto& d = current();
    if (d.phase == m_logged_phase)
        return;
    common::log(
        common::log_level::info, "switch_phase",
        {{"group", m_group},
         {"phase", experts::name_of(d.phase)},
         {"version", d.version},
         {"pass", d.pass},
         {"holder", d.holder},
         {"token", d.token},
         {"epoch", d.epoch},
         {"ranks", static_cast<std::int64_t>(m_switch.known_ranks(now))},
         {"last_phase_ms", m_phase_began == timestamp{} ? 0 : (now - m_phase_began).count()}});
    m_logged_phase = d.phase;
    m_phase_began = now;
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
    // The map that is being copied is for a demand that has gone.
    const bool is_overtaken = current().phase == experts::switch_phase::prepare &&
                              m_popularity.changes() != m_planned_changes;
    if (is_overtaken && is_plan_due(now))
        plan(now);
    log_phase(now);
}

} // namespace kumquatgap::rank_agent
