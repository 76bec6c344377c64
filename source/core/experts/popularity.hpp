#pragma once

#include "common/clock.hpp"
#include "experts/expert_map.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace kumquatgap::experts
{

/// How often the experts were chosen of late, over all ranks. Choices lose weight by their age, so
/// that a shift of demand shows within about a half-life.
class popularity
{
public:
    explicit popularity(common::milliseconds half_life) : m_half_life{half_life} {}

    /// Adds choices of one rank, by set and expert.
    void add(const std::vector<std::vector<std::int64_t>>& choices, common::timestamp now);
    /// Forgets everything, as when the group's engines start anew.
    void clear() { m_loads.clear(); }
    const expert_loads& loads() const { return m_loads; }
    /// The weight of all choices that still count.
    double total() const;

private:
    void age(common::timestamp now);

    common::milliseconds m_half_life;
    common::timestamp m_aged_at;
    expert_loads m_loads;
};

} // namespace kumquatgap::experts
