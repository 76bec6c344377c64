#pragma once

#include "common/clock.hpp"
#include "experts/expert_map.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquatgap::experts
{

using common::milliseconds;
using common::timestamp;

/// Weights of selections, and thresholds for detecting a change of demand.
struct popularity_options
{
    /// The half-life of a selection's weight while the demand does not change.
    milliseconds half_life{300};
    /// The selections of this span are compared with all earlier ones. A pass takes 60 to 120 ms.
    milliseconds window{100};
    /// The minimum mean number of selections per expert for a window to be compared.
    double min_selections_per_expert = 5;
    /// The demand counts as changed when the distance of a window to the earlier selections is more
    /// than this factor times the mean distance, and more than the minimum.
    double change_threshold_factor = 2.5;
    double min_change_distance = 0.15;
    /// The mean distance of windows before any was measured, and the weight of a new window in it.
    double initial_distance = 0.08;
    double distance_weight = 0.1;
    /// The demand duration before any was measured, and the weight of a new one in the mean.
    milliseconds initial_demand_duration{2500};
    double demand_duration_weight = 0.3;
};

/// How often each expert was selected recently, over all ranks. Load pattern: the demand moves to
/// other experts from one moment to the next. The weight of selections decays with their age. When
/// the newest window differs from the earlier selections by more than windows normally do, the
/// earlier ones are dropped, so that no map is planned for a demand that has ended.
class popularity
{
public:
    explicit popularity(popularity_options options = {})
        : m_options{options}, m_mean_distance{options.initial_distance},
          m_demand_duration_ms{static_cast<double>(options.initial_demand_duration.count())}
    {
    }

    /// Adds selection counts of one or more ranks, by set and expert.
    void add(const std::vector<std::vector<std::int64_t>>& counts, timestamp now);
    /// Drops all selections, for example when the group's engines restart.
    void clear();
    const expert_loads& loads() const { return m_loads; }
    /// The sum of the weights of all selections.
    double total() const;
    /// The expected duration of the present demand, estimated from earlier ones.
    milliseconds demand_duration(timestamp now) const;
    /// The number of changes of demand that were detected.
    int changes() const { return m_changes; }
    /// True when the selections of the unfinished window already differ as after a change. A plan
    /// made now would mix two demands.
    bool may_be_changing() const;

private:
    void decay(timestamp now);
    void close_window(timestamp now);
    std::optional<double> window_distance() const;
    bool is_change(double distance) const;
    bool has_enough_selections(const expert_loads& loads) const;
    void handle_demand_change(timestamp now);

    popularity_options m_options;
    timestamp m_decayed_at;
    expert_loads m_loads;
    /// The selections of the unfinished window, which are in m_loads too.
    expert_loads m_window;
    timestamp m_window_start;
    double m_mean_distance;
    double m_demand_duration_ms;
    timestamp m_changed_at;
    int m_changes = 0;
};

/// The total variation distance between two load distributions, as a mean over the sets: the
/// fraction of the selections that would have to move to other experts to turn one into the other.
/// 0 for the same distribution, 1 for disjoint ones.
double total_variation_distance(const expert_loads& a, const expert_loads& b);

} // namespace kumquatgap::experts
