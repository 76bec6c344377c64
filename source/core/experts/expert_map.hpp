#pragma once

#include <cstddef>
#include <vector>

namespace kumquatgap::experts
{

/// The experts of one set on each rank, by rank.
using expert_set_map = std::vector<std::vector<int>>;

/// The placement of experts on the ranks of a group, by set, rank and slot. The tokens of an expert
/// with several replicas are divided evenly among them.
struct expert_map
{
    std::vector<expert_set_map> sets;

    bool operator==(const expert_map&) const = default;
    bool empty() const { return sets.empty(); }
};

/// The recent load of each expert (weighted number of selections), by set and expert.
using expert_loads = std::vector<std::vector<double>>;

/// How many times slower than its normal speed each rank runs, by rank. Ranks without an entry run
/// at normal speed (1).
using rank_slowdowns = std::vector<double>;

/// The slowdown of one rank; 1 when it has no entry.
double slowdown_of(const rank_slowdowns& slowdowns, std::size_t rank);

/// The load of each rank in one set: the sum of its replicas' loads.
std::vector<double> rank_loads(const expert_set_map& map, const std::vector<double>& loads);

/// The load imbalance: the highest load of a rank, weighted by its slowdown, divided by the mean
/// load, and averaged over the sets. 1 is perfectly balanced; sets without load count as balanced.
double skew(const expert_map& map, const expert_loads& loads, const rank_slowdowns& slowdowns = {});

/// The highest number of experts of one set that any rank has to copy to switch between two maps.
std::size_t max_copy_count(const expert_map& from, const expert_map& to);

} // namespace kumquatgap::experts
