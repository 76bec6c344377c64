#include "experts/set_planner.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace kumquatgap::experts
{

set_planner::set_planner(expert_set_map current, const std::vector<double>& loads,
                         const plan_limits& limits, const rank_slowdowns& slowdowns)
    : m_original_map{current}, m_map{std::move(current)}, m_loads{loads}, m_limits{limits},
      m_slowdowns{slowdowns}, m_copies(m_map.size(), 0), m_replica_ranks(loads.size())
{
    for (std::size_t rank = 0; rank < m_map.size(); ++rank)
    {
        for (const int e : m_map[rank])
            m_replica_ranks[index(e)].push_back(rank);
    }
    m_rank_loads = rank_loads(m_map, m_loads);
    m_mean_load = std::accumulate(m_rank_loads.begin(), m_rank_loads.end(), 0.0) /
                  static_cast<double>(m_map.size());
}

/// The load multiplied by the rank's slowdown: proportional to the time that the rank needs for it.
double set_planner::weighted_load(std::size_t rank, double load) const
{
    return load * slowdown_of(m_slowdowns, rank);
}

std::size_t set_planner::find_bottleneck() const
{
    std::size_t slowest = 0;
    for (std::size_t r = 1; r < m_rank_loads.size(); ++r)
    {
        if (weighted_load(r, m_rank_loads[r]) > weighted_load(slowest, m_rank_loads[slowest]))
            slowest = r;
    }
    return slowest;
}

double set_planner::skew() const
{
    if (m_mean_load <= 0)
        return 1;
    const auto bottleneck = find_bottleneck();
    return weighted_load(bottleneck, m_rank_loads[bottleneck]) / m_mean_load;
}

bool set_planner::has_replica(std::size_t rank, int e) const
{
    return std::ranges::find(m_map[rank], e) != m_map[rank].end();
}

bool set_planner::had_replica(std::size_t rank, int e) const
{
    return std::ranges::find(m_original_map[rank], e) != m_original_map[rank].end();
}

/// True when the rank can still copy the expert, or had it before the plan and needs no copy.
bool set_planner::can_add(std::size_t rank, int e, const copy_budget& budget) const
{
    return had_replica(rank, e) ||
           (m_copies[rank] < m_limits.max_copies_per_set && budget.copied[rank] < budget.per_rank);
}

std::optional<map_change> set_planner::best_change(const copies_by_rank& copied,
                                                   std::size_t copies_per_rank) const
{
    std::optional<map_change> best;
    if (m_mean_load <= 0)
        return best;
    const auto bottleneck = find_bottleneck();
    if (weighted_load(bottleneck, m_rank_loads[bottleneck]) <= m_mean_load * m_limits.balanced_skew)
        return best;
    const copy_budget budget{copied, copies_per_rank};
    for (const int e : m_map[bottleneck])
    {
        consider_removal(bottleneck, e, best);
        for (std::size_t rank = 0; rank < m_map.size(); ++rank)
        {
            if (rank == bottleneck || has_replica(rank, e) || !can_add(rank, e, budget))
                continue;
            consider_replica(bottleneck, rank, e, best);
            consider_exchange(bottleneck, rank, e, budget, best);
        }
    }
    return best;
}

void set_planner::keep_if_better(map_change c, double current_max, double new_max,
                                 std::optional<map_change>& best) const
{
    c.gain = (current_max - new_max) / m_mean_load;
    if (c.gain >= m_limits.min_gain && (!best || c.gain_per_copy() > best->gain_per_copy()))
        best = c;
}

/// Considers removing one of several replicas of an expert from the bottleneck rank.
void set_planner::consider_removal(std::size_t bottleneck, int e,
                                   std::optional<map_change>& best) const
{
    if (replica_count(e) < 2)
        return;
    double new_max = weighted_load(bottleneck, m_rank_loads[bottleneck] - load_per_replica(e));
    const double increase = m_loads[index(e)] / (replica_count(e) - 1) - load_per_replica(e);
    for (const auto r : m_replica_ranks[index(e)])
    {
        if (r != bottleneck)
            new_max = std::max(new_max, weighted_load(r, m_rank_loads[r] + increase));
    }
    keep_if_better({.rank = bottleneck, .added = {}, .removed = e, .exchanged_with = {}},
                   weighted_load(bottleneck, m_rank_loads[bottleneck]), new_max, best);
}

/// Considers another replica of the expert, in a free slot or in place of an expert that has other
/// replicas.
void set_planner::consider_replica(std::size_t bottleneck, std::size_t rank, int e,
                                   std::optional<map_change>& best) const
{
    const double current_max = weighted_load(bottleneck, m_rank_loads[bottleneck]);
    const double new_load_per_replica = m_loads[index(e)] / (replica_count(e) + 1);
    const double bottleneck_after =
        m_rank_loads[bottleneck] - load_per_replica(e) + new_load_per_replica;
    map_change c{.rank = rank, .added = e, .removed = {}, .exchanged_with = {}};
    c.copies = copies_needed(rank, e);
    if (m_map[rank].size() < m_limits.slots_per_set)
        return keep_if_better(
            c, current_max,
            std::max(weighted_load(bottleneck, bottleneck_after),
                     weighted_load(rank, m_rank_loads[rank] + new_load_per_replica)),
            best);
    for (const int evicted : m_map[rank])
    {
        if (replica_count(evicted) < 2)
            continue;
        const double increase =
            m_loads[index(evicted)] / (replica_count(evicted) - 1) - load_per_replica(evicted);
        double new_max = std::max(weighted_load(bottleneck, bottleneck_after),
                                  weighted_load(rank, m_rank_loads[rank] + new_load_per_replica -
                                                          load_per_replica(evicted)));
        if (has_replica(bottleneck, evicted))
            new_max = std::max(new_max, weighted_load(bottleneck, bottleneck_after + increase));
        for (const auto r : m_replica_ranks[index(evicted)])
        {
            if (r != rank && r != bottleneck)
                new_max = std::max(new_max, weighted_load(r, m_rank_loads[r] + increase));
        }
        c.removed = evicted;
        keep_if_better(c, current_max, new_max, best);
    }
}

/// Considers exchanging the expert with one of another rank.
void set_planner::consider_exchange(std::size_t bottleneck, std::size_t rank, int e,
                                    const copy_budget& budget,
                                    std::optional<map_change>& best) const
{
    const double current_max = weighted_load(bottleneck, m_rank_loads[bottleneck]);
    for (const int other : m_map[rank])
    {
        if (has_replica(bottleneck, other) || !can_add(bottleneck, other, budget) ||
            load_per_replica(other) >= load_per_replica(e))
            continue;
        const double moved = load_per_replica(e) - load_per_replica(other);
        map_change c{.rank = rank, .added = e, .removed = other, .exchanged_with = bottleneck};
        c.copies = copies_needed(rank, e) + copies_needed(bottleneck, other);
        keep_if_better(c, current_max,
                       std::max(weighted_load(bottleneck, m_rank_loads[bottleneck] - moved),
                                weighted_load(rank, m_rank_loads[rank] + moved)),
                       best);
    }
}

/// Adds the expert's load per replica to the loads of its ranks (sign 1), or subtracts it (sign
/// -1).
void set_planner::add_replica_loads(int e, double sign)
{
    for (const auto r : m_replica_ranks[index(e)])
        m_rank_loads[r] += sign * load_per_replica(e);
}

void set_planner::add(std::size_t rank, int e, copies_by_rank& copied)
{
    add_replica_loads(e, -1);
    m_map[rank].push_back(e);
    m_replica_ranks[index(e)].push_back(rank);
    add_replica_loads(e, 1);
    m_copies[rank] += copies_needed(rank, e);
    copied[rank] += copies_needed(rank, e);
}

void set_planner::remove(std::size_t rank, int e, copies_by_rank& copied)
{
    add_replica_loads(e, -1);
    std::erase(m_map[rank], e);
    std::erase(m_replica_ranks[index(e)], rank);
    if (!m_replica_ranks[index(e)].empty())
        add_replica_loads(e, 1);
    m_copies[rank] -= copies_needed(rank, e);
    copied[rank] -= copies_needed(rank, e);
}

void set_planner::apply(const map_change& c, copies_by_rank& copied)
{
    if (c.removed)
        remove(c.rank, *c.removed, copied);
    if (c.exchanged_with)
    {
        remove(*c.exchanged_with, *c.added, copied);
        add(*c.exchanged_with, *c.removed, copied);
    }
    if (c.added)
        add(c.rank, *c.added, copied);
}

} // namespace kumquatgap::experts
