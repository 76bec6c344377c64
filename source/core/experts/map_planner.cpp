#include "experts/map_planner.hpp"

#include <algorithm>
#include <array>
#include <numeric>
#include <optional>

namespace kumquatgap::experts
{

namespace
{

/// A change that puts an expert onto a rank, takes one off, or both. With `exchanged_with`, the one
/// that is taken off moves to that rank, which gives up the one that is put on.
struct change
{
    std::size_t rank = 0;
    std::optional<int> added;
    std::optional<int> removed;
    std::optional<std::size_t> exchanged_with;
    double highest_after = 0;
};

/// One set while it is being improved.
class set_planner
{
public:
    set_planner(expert_set_map current, const std::vector<double>& loads, const plan_limits& limits,
                const rank_paces& paces, std::vector<std::size_t>& copies_of_rank)
        : m_before{current}, m_map{std::move(current)}, m_loads{loads}, m_limits{limits},
          m_paces{paces}, m_copies_of_rank{copies_of_rank}, m_copies(m_map.size(), 0),
          m_holders(loads.size())
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

    expert_set_map run()
    {
        for (std::size_t i = 0; i < m_limits.changes_per_set && m_mean > 0; ++i)
        {
            const auto top = most_loaded();
            if (time_of(top, m_rank_loads[top]) <= m_mean * m_limits.even_enough)
                break;
            const auto best = best_change(top);
            if (!best)
                break;
            apply(*best);
        }
        return std::move(m_map);
    }

private:
    static std::size_t index(int e) { return static_cast<std::size_t>(e); }

    /// How long a rank takes for a load, in the unit of loads.
    double time_of(std::size_t rank, double load) const { return load * pace_of(m_paces, rank); }

    std::size_t most_loaded() const
    {
        std::size_t out = 0;
        for (std::size_t r = 1; r < m_rank_loads.size(); ++r)
        {
            if (time_of(r, m_rank_loads[r]) > time_of(out, m_rank_loads[out]))
                out = r;
        }
        return out;
    }

    bool holds(std::size_t rank, int e) const
    {
        return std::ranges::find(m_map[rank], e) != m_map[rank].end();
    }

    bool held_before(std::size_t rank, int e) const
    {
        return std::ranges::find(m_before[rank], e) != m_before[rank].end();
    }

    /// True when the rank can still copy the expert, or needs not to.
    bool can_take(std::size_t rank, int e) const
    {
        return held_before(rank, e) || (m_copies[rank] < m_limits.new_per_set &&
                                        m_copies_of_rank[rank] < m_limits.new_per_rank);
    }

    double holders(int e) const { return static_cast<double>(m_holders[index(e)].size()); }
    double part(int e) const { return m_loads[index(e)] / holders(e); }

    std::optional<change> best_change(std::size_t top) const
    {
        std::optional<change> best;
        const double now = time_of(top, m_rank_loads[top]);
        for (const int e : m_map[top])
        {
            consider_giving_up(top, e, best);
            for (std::size_t rank = 0; rank < m_map.size(); ++rank)
            {
                if (rank == top || holds(rank, e) || !can_take(rank, e))
                    continue;
                consider_replica(top, rank, e, best);
                consider_exchange(top, rank, e, best);
            }
        }
        // A change that gains less than this is noise of the counts.
        constexpr double least_gain = 0.05;
        if (best && best->highest_after > now - m_mean * least_gain)
            return std::nullopt;
        return best;
    }

    static void keep_better(change c, std::optional<change>& best)
    {
        if (!best || c.highest_after < best->highest_after)
            best = c;
    }

    /// The rank no longer holds an expert that others hold too.
    void consider_giving_up(std::size_t top, int e, std::optional<change>& best) const
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
        keep_better({top, {}, e, {}, highest}, best);
    }

    /// A further holder of the expert, in a free place or in that of one that others hold too.
    void consider_replica(std::size_t top, std::size_t rank, int e,
                          std::optional<change>& best) const
    {
        const double after = m_loads[index(e)] / (holders(e) + 1);
        const double top_after = m_rank_loads[top] - part(e) + after;
        if (m_map[rank].size() < m_limits.places)
            return keep_better(
                {rank,
                 e,
                 {},
                 {},
                 std::max(time_of(top, top_after), time_of(rank, m_rank_loads[rank] + after))},
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
            keep_better({rank, e, out, {}, highest}, best);
        }
    }

    /// The expert and one of the other rank change places.
    void consider_exchange(std::size_t top, std::size_t rank, int e,
                           std::optional<change>& best) const
    {
        for (const int out : m_map[rank])
        {
            if (holds(top, out) || !can_take(top, out) || part(out) >= part(e))
                continue;
            const double gain = part(e) - part(out);
            keep_better({rank, e, out, top,
                         std::max(time_of(top, m_rank_loads[top] - gain),
                                  time_of(rank, m_rank_loads[rank] + gain))},
                        best);
        }
    }

    void add(std::size_t rank, int e)
    {
        m_map[rank].push_back(e);
        m_holders[index(e)].push_back(rank);
        if (held_before(rank, e))
            return;
        ++m_copies[rank];
        ++m_copies_of_rank[rank];
    }

    void remove(std::size_t rank, int e)
    {
        std::erase(m_map[rank], e);
        std::erase(m_holders[index(e)], rank);
        if (held_before(rank, e))
            return;
        --m_copies[rank];
        --m_copies_of_rank[rank];
    }

    void apply(const change& c)
    {
        if (c.removed)
            remove(c.rank, *c.removed);
        if (c.exchanged_with)
        {
            remove(*c.exchanged_with, *c.added);
            add(*c.exchanged_with, *c.removed);
        }
        if (c.added)
            add(c.rank, *c.added);
        m_rank_loads = rank_loads(m_map, m_loads);
    }

    expert_set_map m_before;
    expert_set_map m_map;
    const std::vector<double>& m_loads;
    const plan_limits& m_limits;
    const rank_paces& m_paces;
    std::vector<std::size_t>& m_copies_of_rank;
    std::vector<std::size_t> m_copies;
    /// The ranks that hold each expert.
    std::vector<std::vector<std::size_t>> m_holders;
    std::vector<double> m_rank_loads;
    double m_mean = 0;
};

} // namespace

expert_map improve(const expert_map& current, const expert_loads& loads, const plan_limits& limits,
                   const rank_paces& paces)
{
    expert_map out = current;
    if (current.empty())
        return out;
    std::vector<std::size_t> copies_of_rank(current.sets.front().size(), 0);
    // The set that costs most goes first, since the copies of a rank are shared by its sets.
    std::vector<std::size_t> order(current.sets.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::vector<double> highest;
    for (std::size_t s = 0; s < current.sets.size(); ++s)
        highest.push_back(std::ranges::max(rank_loads(current.sets[s], loads[s])));
    std::ranges::sort(order, std::greater{}, [&](std::size_t s) { return highest[s]; });
    for (const auto s : order)
        out.sets[s] = set_planner{current.sets[s], loads[s], limits, paces, copies_of_rank}.run();
    return out;
}

} // namespace kumquatgap::experts
