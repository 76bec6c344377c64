#pragma once

#include "experts/expert_map.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace kumquatgap::experts
{

/// Limits of a plan.
struct plan_limits
{
    /// The maximum number of experts of one set on a rank.
    std::size_t slots_per_set = 0;
    /// The maximum number of experts of one set that a rank copies in one switch.
    std::size_t max_copies_per_set = 0;
    /// The maximum number of experts over all sets that a rank copies in one switch. Bounds the
    /// duration of the switch.
    std::size_t max_copies_per_rank = 4;
    /// A set is not changed when its skew is at most this.
    double balanced_skew = 1.20;
    /// The minimum gain of a change, as a fraction of the mean load. Smaller gains are within the
    /// noise of the selection counts.
    double min_gain = 0.05;
    /// The maximum number of changes over all sets in one plan. Bounds its CPU time.
    std::size_t max_changes = 400;
};

/// The number of experts that each rank has to copy for a plan, by rank, over all sets.
using copies_by_rank = std::vector<std::size_t>;

/// A change that adds an expert to a rank, removes one from it, or both. With `exchanged_with`, the
/// removed expert moves to that rank, and the added one is removed there.
struct map_change
{
    std::size_t rank = 0;
    std::optional<int> added;
    std::optional<int> removed;
    std::optional<std::size_t> exchanged_with;
    /// By how much the highest load of a rank in the set decreases, as a fraction of the mean load.
    double gain = 0;
    /// The number of experts that ranks have to copy for the change.
    std::size_t copies = 0;

    /// Orders changes, the highest first. Gains are compared per copy because each copy takes the
    /// same time and costs the same on any rank.
    double gain_per_copy() const { return gain / static_cast<double>(copies < 1 ? 1 : copies); }
};

/// Improves the map of one set by a sequence of changes.
class set_planner
{
public:
    set_planner(expert_set_map current, const std::vector<double>& loads, const plan_limits& limits,
                const rank_slowdowns& slowdowns);

    /// The change with the highest gain per copy for the bottleneck rank. `copied` has the copies
    /// that the plan already needs; no rank may get more than `copies_per_rank`. None when the set
    /// is balanced or no change reaches the minimum gain.
    std::optional<map_change> best_change(const copies_by_rank& copied,
                                          std::size_t copies_per_rank) const;
    /// Applies a change, and adds its copies to `copied`.
    void apply(const map_change& c, copies_by_rank& copied);
    const expert_set_map& map() const { return m_map; }
    /// The weighted load of the bottleneck rank divided by the mean load.
    double skew() const;

private:
    struct copy_budget
    {
        const copies_by_rank& copied;
        std::size_t per_rank;
    };

    static std::size_t index(int e) { return static_cast<std::size_t>(e); }
    double weighted_load(std::size_t rank, double load) const;
    std::size_t find_bottleneck() const;
    bool has_replica(std::size_t rank, int e) const;
    bool had_replica(std::size_t rank, int e) const;
    bool can_add(std::size_t rank, int e, const copy_budget& budget) const;
    double replica_count(int e) const
    {
        return static_cast<double>(m_replica_ranks[index(e)].size());
    }
    double load_per_replica(int e) const { return m_loads[index(e)] / replica_count(e); }
    std::size_t copies_needed(std::size_t rank, int e) const
    {
        return had_replica(rank, e) ? 0 : 1;
    }
    void consider_removal(std::size_t bottleneck, int e, std::optional<map_change>& best) const;
    void consider_replica(std::size_t bottleneck, std::size_t rank, int e,
                          std::optional<map_change>& best) const;
    void consider_exchange(std::size_t bottleneck, std::size_t rank, int e,
                           const copy_budget& budget, std::optional<map_change>& best) const;
    void keep_if_better(map_change c, double current_max, double new_max,
                        std::optional<map_change>& best) const;
    void add_replica_loads(int e, double sign);
    void add(std::size_t rank, int e, copies_by_rank& copied);
    void remove(std::size_t rank, int e, copies_by_rank& copied);

    expert_set_map m_original_map;
    expert_set_map m_map;
    const std::vector<double>& m_loads;
    const plan_limits& m_limits;
    const rank_slowdowns& m_slowdowns;
    /// The number of experts of this set that each rank has to copy.
    copies_by_rank m_copies;
    /// The ranks with a replica of each expert, by expert.
    std::vector<std::vector<std::size_t>> m_replica_ranks;
    std::vector<double> m_rank_loads;
    double m_mean_load = 0;
};

} // namespace kumquatgap::experts
