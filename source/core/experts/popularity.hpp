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

/// How choices are weighed, and when a demand counts as another one.
struct popularity_options
{
    /// Choices lose half of their weight in this time while the demand stays the same.
    milliseconds half_life{300};
    /// Choices of this span are compared with all before them; a pass takes 60 to 120 ms.
    milliseconds window{100};
    /// Choices by expert, on average, that a window must have to be compared.
    double least_choices_per_expert = 5;
    /// The part of the choices that must have gone to other experts for another demand: so many
    /// times as usual between two windows, and no less than the second figure.
    double times_usual_difference = 2.5;
    double least_difference = 0.15;
    /// What is usual between two windows until it was measured, and the weight of a new window.
    double difference_at_start = 0.08;
    double difference_weight = 0.1;
    /// How long a demand lasts until that was measured, and the weight of a new one.
    milliseconds life_at_start{2500};
    double life_weight = 0.3;
};

/// How often the experts were chosen of late, over all ranks. Load pattern: other experts are in
/// demand from one moment to the next. Choices lose weight by their age; when those of the last
/// moment differ from the others by more than they usually do, the others are dropped, so that a
/// map is not planned from a demand that has gone.
class popularity
{
public:
    explicit popularity(popularity_options options = {})
        : m_options{options}, m_usual_difference{options.difference_at_start},
          m_life_ms{static_cast<double>(options.life_at_start.count())}
    {
    }

    /// Adds choices of one rank, by set and expert.
    void add(const std::vector<std::vector<std::int64_t>>& choices, timestamp now);
    /// Forgets the choices, as when the group's engines start anew.
    void clear();
    const expert_loads& loads() const { return m_loads; }
    /// The weight of all choices that still count.
    double total() const;
    /// How long a demand lasts, from those seen.
    milliseconds life(timestamp now) const;
    /// How often the demand has changed.
    int changes() const { return m_changes; }
    /// True when the newest choices already differ as after a change, though not enough time has
    /// passed to tell. A plan of this moment would mix two demands.
    bool may_be_changing() const;

private:
    void age(timestamp now);
    void close_window(timestamp now);
    std::optional<double> difference_of_window() const;
    bool is_change(double difference) const;
    bool is_enough(const expert_loads& loads) const;
    void demand_changed(timestamp now);

    popularity_options m_options;
    timestamp m_aged_at;
    expert_loads m_loads;
    /// The choices of the newest window, which are in m_loads too.
    expert_loads m_window;
    timestamp m_window_began;
    double m_usual_difference;
    double m_life_ms;
    timestamp m_changed_at;
    int m_changes = 0;
};

/// The part of the choices of one table that would have to go to other experts to make it the other
/// one, as a mean over the sets: 0 for the same popularity, 1 for entirely other experts.
double difference_of(const expert_loads& a, const expert_loads& b);

} // namespace kumquatgap::experts
