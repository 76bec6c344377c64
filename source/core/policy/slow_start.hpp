#pragma once

#include "common/clock.hpp"

#include <algorithm>
#include <cmath>

namespace kumquatgap::policy
{

/// The slots of a cold target that are used when it is still cold for `left` of `total`. Load
/// pattern: a data centre that returns, so that many targets look idle at once and would draw all
/// calls. The share grows over the cold time, in whole slots; a target always has one, since its
/// responses show its state.
inline double slow_start_slots(double slots, common::milliseconds left, common::milliseconds total)
{
    if (left.count() <= 0)
        return slots;
    if (total.count() <= 0)
        return std::min(slots, 1.0);
    const auto share = std::clamp(
        1 - static_cast<double>(left.count()) / static_cast<double>(total.count()), 0.0, 1.0);
    return std::min(slots, std::max(1.0, std::floor(slots * share)));
}

} // namespace kumquatgap::policy
