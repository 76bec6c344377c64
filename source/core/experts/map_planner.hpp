#pragma once

#include "experts/expert_map.hpp"
#include "experts/set_planner.hpp"

#include <optional>
#include <vector>

namespace kumquatgap::experts
{

/// Improves a map step by step. Load pattern: a few experts get a large part of the tokens, and
/// which ones they are drifts and jumps, and a host may turn slow; lock-step makes all ranks wait
/// for the one that takes longest. Each step takes load off that rank of a set: it gives one of its
/// experts a further replica at another rank, in a free place or in that of an expert that stays
/// held elsewhere, exchanges two experts, or gives one up that others hold. The steps of all sets
/// compete for the copies that ranks may make, so that the first ones gain most. What is not worth
/// its copy is left as it is, so that a plan is a few copies and not a new map.
class map_improver
{
public:
    /// All arguments must outlive it.
    map_improver(const expert_map& current, const expert_loads& loads, const plan_limits& limits,
                 const rank_paces& paces);

    /// Makes the changes that are worth it with at most so many copies by each rank in all. False
    /// when nothing was changed.
    bool extend(std::size_t copies_per_rank);
    expert_map map() const;
    double skew() const;

private:
    const plan_limits& m_limits;
    std::vector<set_planner> m_sets;
    rank_copies m_copied;
    std::size_t m_changes = 0;
};

/// The map that is best within the limits.
expert_map improve(const expert_map& current, const expert_loads& loads, const plan_limits& limits,
                   const rank_paces& paces = {});

/// What a switch takes, in milliseconds.
struct switch_times
{
    /// One expert copied by a rank, which copies one after the other.
    double copy_ms = 0;
    /// All the rest, from the plan until the next one can begin.
    double overhead_ms = 0;
    /// How long the loads are expected to hold.
    double horizon_ms = 0;
    /// How much longer passes take while a rank copies.
    double slower_while_copying = 1.15;
};

/// A map to switch to.
struct planned_switch
{
    expert_map map;
    /// The most experts that a rank has to copy.
    std::size_t copies_per_rank = 0;
    double skew_before = 1;
    double skew_after = 1;
};

/// Plans as large a switch as brings the skew down fastest. Load pattern: the demand shifts, and
/// the passes are slow until the map follows. A large switch improves more but takes effect later,
/// and none can begin meanwhile; a small one spends its time on the overhead. Which is better
/// depends on the size of an expert, the links, the number of ranks, and how long the demand holds.
/// None when no change is worth it.
std::optional<planned_switch> plan_switch(const expert_map& current, const expert_loads& loads,
                                          const plan_limits& limits, const rank_paces& paces,
                                          const switch_times& times);

/// The number of copies a rank and switch that makes the sum of skew over time smallest, when
/// switches of that size follow each other. `skews` has the skew after 0, 1, 2 copies and so on.
std::size_t best_switch_size(const std::vector<double>& skews, const switch_times& times);

} // namespace kumquatgap::experts
