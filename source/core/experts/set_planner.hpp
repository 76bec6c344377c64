#pragma once

#include "experts/expert_map.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace kumquatgap::experts
{

/// What a plan may do.
struct plan_limits
{
    /// Experts of one set that a rank holds at most.
    std::size_t places = 0;
    /// Experts of one set that one rank may copy in one switch.
    std::size_t new_per_set = 0;
    /// Experts of all sets that one rank may copy in one switch; what bounds its time.
    std::size_t new_per_rank = 4;
    /// A rank's set is left alone once its most loaded rank has at most this many times the mean.
    double even_enough = 1.20;
    /// A change of a set that gains less than this part of the mean load is noise of the counts.
    double least_gain = 0.05;
    /// The most changes of all sets in one plan; bounds its processor time.
    std::size_t most_changes = 400;
};

/// How many experts each rank has to copy for a plan, over all sets.
using rank_copies = std::vector<std::size_t>;

/// A change that puts an expert onto a rank, takes one off, or both. With `exchanged_with`, the one
/// that is taken off moves to that rank, which gives up the one that is put on.
struct map_change
{
    std::size_t rank = 0;
    std::optional<int> added;
    std::optional<int> removed;
    std::optional<std::size_t> exchanged_with;
    /// What the most loaded rank of the set gains, in mean loads of a rank.
    double gain = 0;
    /// Experts that ranks have to copy for it.
    std::size_t copies = 0;

    /// By which of several changes the best one goes first: a copy takes the same time and price
    /// wherever it is.
    double gain_of_copy() const { return gain / static_cast<double>(copies < 1 ? 1 : copies); }
};

/// One set of a map while it is being improved, change by change.
class set_planner
{
public:
    set_planner(expert_set_map current, const std::vector<double>& loads, const plan_limits& limits,
                const rank_paces& paces);

    /// The change that takes most off the most loaded rank for a copy, with so many experts copied
    /// already for the plan by each rank and at most `copies_per_rank`; none when none is worth it.
    std::optional<map_change> best_change(const rank_copies& copied,
                                          std::size_t copies_per_rank) const;
    /// Makes a change, and counts its copies.
    void apply(const map_change& c, rank_copies& copied);
    const expert_set_map& map() const { return m_map; }
    /// The time of the rank that takes longest over the mean load.
    double skew() const;

private:
    struct copy_budget
    {
        const rank_copies& copied;
        std::size_t per_rank;
    };

    static std::size_t index(int e) { return static_cast<std::size_t>(e); }
    double time_of(std::size_t rank, double load) const;
    std::size_t most_loaded() const;
    bool holds(std::size_t rank, int e) const;
    bool held_before(std::size_t rank, int e) const;
    bool can_take(std::size_t rank, int e, const copy_budget& budget) const;
    double holders(int e) const { return static_cast<double>(m_holders[index(e)].size()); }
    double part(int e) const { return m_loads[index(e)] / holders(e); }
    std::size_t copies_of(std::size_t rank, int e) const { return held_before(rank, e) ? 0 : 1; }
    void consider_giving_up(std::size_t top, int e, std::optional<map_change>& best) const;
    void consider_replica(std::size_t top, std::size_t rank, int e,
                          std::optional<map_change>& best) const;
    void consider_exchange(std::size_t top, std::size_t rank, int e, const copy_budget& budget,
                           std::optional<map_change>& best) const;
    void keep_better(map_change c, double now, double highest,
                     std::optional<map_change>& best) const;
    void change_parts(int e, double sign);
    void add(std::size_t rank, int e, rank_copies& copied);
    void remove(std::size_t rank, int e, rank_copies& copied);

    expert_set_map m_before;
    expert_set_map m_map;
    const std::vector<double>& m_loads;
    const plan_limits& m_limits;
    const rank_paces& m_paces;
    /// Experts of this set that each rank has to copy.
    rank_copies m_copies;
    /// The ranks that hold each expert.
    std::vector<std::vector<std::size_t>> m_holders;
    std::vector<double> m_rank_loads;
    double m_mean = 0;
};

} // namespace kumquatgap::experts
