#pragma once

#include <cstddef>
#include <vector>

namespace kumquatgap::experts
{

/// The experts of one set that each rank holds.
using expert_set_map = std::vector<std::vector<int>>;

/// Which rank of a group holds which experts, by set, rank and place. An expert that several ranks
/// hold has its tokens shared evenly among them.
struct expert_map
{
    std::vector<expert_set_map> sets;

    bool operator==(const expert_map&) const = default;
    bool empty() const { return sets.empty(); }
};

/// How often each expert was chosen of late, by set and expert.
using expert_loads = std::vector<std::vector<double>>;

/// How much slower than usual each rank is, by rank; 1 for not at all, also where it is missing.
using rank_paces = std::vector<double>;

/// The pace of one rank.
double pace_of(const rank_paces& paces, std::size_t rank);

/// The load of each rank in one set.
std::vector<double> rank_loads(const expert_set_map& map, const std::vector<double>& loads);

/// The time of the rank that takes longest over the mean load, averaged over the sets; 1 is even.
/// Sets without any load count as even.
double skew(const expert_map& map, const expert_loads& loads, const rank_paces& paces = {});

/// The most experts of one set that a rank would have to copy to go from one map to another.
std::size_t most_new_experts(const expert_map& from, const expert_map& to);

} // namespace kumquatgap::experts
