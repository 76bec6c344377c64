#pragma once

#include "experts/expert_map.hpp"

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
    /// The most changes of one set in one plan.
    std::size_t changes_per_set = 200;
};

/// Improves a map step by step. Load pattern: a few experts get a large part of the tokens, and
/// which ones they are drifts and jumps, and a host may turn slow; lock-step makes all ranks wait
/// for the one that takes longest. Each step takes load off that rank of a set: it gives one of its
/// experts a further replica at another rank, in a free place or in that of an expert that stays
/// held elsewhere, exchanges two experts, or gives one up that others hold. What is not worth its
/// copy is left as it is, so that a plan is a few copies and not a new map.
expert_map improve(const expert_map& current, const expert_loads& loads, const plan_limits& limits,
                   const rank_paces& paces = {});

} // namespace kumquatgap::experts
