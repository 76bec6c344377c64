#pragma once

#include "experts/expert_map.hpp"
#include "experts/set_planner.hpp"

#include <optional>
#include <vector>

namespace kumquatgap::experts
{

/// Improves a map greedily. Load pattern: a few experts get a large fraction of the tokens, which
/// experts these are drifts and jumps, and a host may become slow; in lock-step all ranks wait for
/// the slowest. Each change takes load off this bottleneck rank of a set: it adds a replica of one
/// of its experts on another rank, in a free slot or in place of an expert that has other replicas,
/// exchanges two experts, or removes a replica. The changes of all sets compete for the copies that
/// ranks may make, the highest gain first. Changes below the minimum gain are not made, so that a
/// plan consists of a few copies instead of a new map.
class map_optimizer
{
public:
    /// All arguments must outlive the optimizer.
    map_optimizer(const expert_map& current, const expert_loads& loads, const plan_limits& limits,
                  const rank_slowdowns& slowdowns);

    /// Applies the changes that reach the minimum gain, up to a total of `copies_per_rank` copies
    /// on each rank since construction. False when nothing was changed.
    bool apply_best_changes(std::size_t copies_per_rank);
    expert_map map() const;
    double skew() const;

private:
    const plan_limits& m_limits;
    std::vector<set_planner> m_sets;
    copies_by_rank m_copied;
    std::size_t m_change_count = 0;
};

/// The improved map, within the limits.
expert_map optimize_map(const expert_map& current, const expert_loads& loads,
                        const plan_limits& limits, const rank_slowdowns& slowdowns = {});

/// The duration of a switch, in milliseconds, and of the demand that it is planned for.
struct switch_times
{
    /// The time to copy one expert. A rank copies its experts one after the other.
    double copy_ms = 0;
    /// The time apart from copying, from the plan until the next switch can begin.
    double overhead_ms = 0;
    /// How long the loads are expected to stay the same.
    double horizon_ms = 0;
    /// How many times longer passes take while a rank copies.
    double copying_slowdown = 1.15;
};

/// A planned map and its expected effect.
struct planned_switch
{
    expert_map map;
    /// No rank has to copy more experts than this.
    std::size_t copies_per_rank = 0;
    double skew_before = 1;
    double skew_after = 1;
};

/// Plans a switch of the size that reduces the skew fastest. Load pattern: the demand shifts, and
/// passes are slow until the map is adapted. A large switch improves more, but takes effect later
/// and delays the next one; a small switch consists mostly of overhead. The best size depends on
/// the size of an expert, the links, the number of ranks, and how long the demand lasts. None when
/// no change reaches the minimum gain.
std::optional<planned_switch> plan_switch(const expert_map& current, const expert_loads& loads,
                                          const plan_limits& limits,
                                          const rank_slowdowns& slowdowns,
                                          const switch_times& times);

/// The number of copies per rank and switch that minimizes the integral of the skew over the
/// horizon, when switches of this size follow each other. `skews` has the skew after 0, 1, 2, ...
/// copies per rank.
std::size_t best_switch_size(const std::vector<double>& skews, const switch_times& times);

} // namespace kumquatgap::experts
