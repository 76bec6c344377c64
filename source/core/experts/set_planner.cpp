#include "experts/set_planner.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace kumquatgap::experts
{

set_planner::set_planner(expert_set_map current, const std::vector<double>& loads,
                         const plan_limits& limits, const rank_paces& paces)
    : m_before{current}, m_map{std::move(current)}, m_loads{loads}, m_limits{limits},
      m_paces{paces}, m_copies(m_map.size(), 0), m_holders(loads.size())
{
    for (std::size_t rank = 0; rank < m_map.size(); ++rank)
    {
        for (const int e : m_map[rank])
            m_holders[index(e)].push_back(rank);
    }
    m_rank_loads = rank_loads(m_map, m_loads);
    m_mean = std::accumulate(m_rank_loads.begin(), m_rank_loads.end(), 0.0) /
             static_cast<double>(m_map.size());
}

/// How long a rank takes for a load, in the unit of loads.
double set_planner::time_of(std::size_t rank, double load) const
{
    return load * pace_of(m_paces, rank);
}

std::size_t set_planner::most_loaded() const
{
    std::size_t out = 0;
    for (std::size_t r = 1; r < m_rank_loads.size(); ++r)
    {
        if (time_of(r, m_rank_loads[r]) > time_of(out, m_rank_loads[out]))
            out = r;
    }
    return out;
}

double set_planner::skew() const
{
    if (m_mean <= 0)
        return 1;
    const auto top = most_loaded();
    return time_of(top, m_rank_loads[top]) / m_mean;
}

bool set_planner::holds(std::size_t rank, int e) const
{
    return std::ranges::find(m_map[rank], e) != m_map[rank].end();
}

bool set_planner::held_before(std::size_t rank, int e) const
{
    return std::ranges::find(m_before[rank], e) != m_before[rank].end();
}

/// True when the rank can still copy the expert, or needs not to.
bool set_planner::can_take(std::size_t rank, int e, const copy_budget& budget) const
{
    return held_before(rank, e) ||
           (m_copies[rank] < m_limits.new_per_set && budget.copied[rank] < budget.per_rank);
}

std::optional<map_change> set_planner::best_change(const rank_copies& copied,
                                                   std::size_t copies_per_rank) const
{
    std::optional<map_change> best;
    if (m_mean <= 0)
        return best;
    const auto top = most_loaded();
    if (time_of(top, m_rank_loads[top]) <= m_mean * m_limits.even_enough)
        return best;
    const copy_budget budget{copied, copies_per_rank};
    for (const int e : m_map[top])
    {
        consider_giving_up(top, e, best);
        for (std::size_t rank = 0; rank < m_map.size(); ++rank)
        {
            if (rank == top || holds(rank, e) || !can_take(rank, e, budget))
                continue;
            consider_replica(top, rank, e, best);
            consider_exchange(top, rank, e, budget, best);
        }
    }
    return best;
}

void set_planner::keep_better(map_change c, double now, double highest,
                              std::optional<map_change>& best) const
{
    c.gain = (now - highest) / m_mean;
    if (c.gain >= m_limits.least_gain && (!best || c.gain_of_copy() > best->gain_of_copy()))
        best = c;
}

/// The rank no longer holds an expert that others hold too.
void set_planner::consider_giving_up(std::size_t top, int e, std::optional<map_change>& best) const
{
    if (holders(e) < 2)
        return;
    double highest = time_of(top, m_rank_loads[top] - part(e));
    const double others = m_loads[index(e)] / (holders(e) - 1) - part(e);
    for (const auto r : m_holders[index(e)])
    {
        if (r != top)
            highest = std::max(highest, time_of(r, m_rank_loads[r] + others));
    }
    keep_better({.rank = top, .added = {}, .removed = e, .exchanged_with = {}},
                time_of(top, m_rank_loads[top]), highest, best);
}

/// A further holder of the expert, in a free place or in that of one that others hold too.
void set_planner::consider_replica(std::size_t top, std::size_t rank, int e,
                                   std::optional<map_change>& best) const
{
    const double now = time_of(top, m_rank_loads[top]);
    const double after = m_loads[index(e)] / (holders(e) + 1);
    const double top_after = m_rank_loads[top] - part(e) + after;
    map_change c{.rank = rank, .added = e, .removed = {}, .exchanged_with = {}};
    c.copies = copies_of(rank, e);
    if (m_map[rank].size() < m_limits.places)
        return keep_better(
            c, now, std::max(time_of(top, top_after), time_of(rank, m_rank_loads[rank] + after)),
            best);
    for (const int out : m_map[rank])
    {
        if (holders(out) < 2)
            continue;
        const double others = m_loads[index(out)] / (holders(out) - 1) - part(out);
        double highest = std::max(time_of(top, top_after),
                                  time_of(rank, m_rank_loads[rank] + after - part(out)));
        if (holds(top, out))
            highest = std::max(highest, time_of(top, top_after + others));
        for (const auto r : m_holders[index(out)])
        {
            if (r != rank && r != top)
                highest = std::max(highest, time_of(r, m_rank_loads[r] + others));
        }
        c.removed = out;
        keep_better(c, now, highest, best);
    }
}

/// The expert and one of the other rank change places.
void set_planner::consider_exchange(std::size_t top, std::size_t rank, int e,
                                    const copy_budget& budget,
                                    std::optional<map_change>& best) const
{
    const double now = time_of(top, m_rank_loads[top]);
    for (const int out : m_map[rank])
    {
        if (holds(top, out) || !can_take(top, out, budget) || part(out) >= part(e))
            continue;
        const double moved = part(e) - part(out);
        map_change c{.rank = rank, .added = e, .removed = out, .exchanged_with = top};
        c.copies = copies_of(rank, e) + copies_of(top, out);
        keep_better(c, now,
                    std::max(time_of(top, m_rank_loads[top] - moved),
                             time_of(rank, m_rank_loads[rank] + moved)),
                    best);
    }
}

/// Adds the expert's part to the loads of its holders, or takes it off.
void set_planner::change_parts(int e, double sign)
{
    for (const auto r : m_holders[index(e)])
        m_rank_loads[r] += sign * part(e);
}

void set_planner::add(std::size_t rank, int e, rank_copies& copied)
{
    change_parts(e, -1);
    m_map[rank].push_back(e);
    m_holders[index(e)].push_back(rank);
    change_parts(e, 1);
    m_copies[rank] += copies_of(rank, e);
    copied[rank] += copies_of(rank, e);
}

void set_planner::remove(std::size_t rank, int e, rank_copies& copied)
{
    change_parts(e, -1);
    std::erase(m_map[rank], e);
    std::erase(m_holders[index(e)], rank);
    if (!m_holders[index(e)].empty())
        change_parts(e, 1);
    m_copies[rank] -= copies_of(rank, e);
    copied[rank] -= copies_of(rank, e);
}

void set_planner::apply(const map_change& c, rank_copies& copied)
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
