#pragma once

#include "common/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace kumquatgap::policy
{

/// The time from one load broadcast of a gateway to the next, for a number of peers. Load pattern:
/// a fleet of hundreds of gateways whose loads change all the time. Each gateway sends one message
/// per 3 ms on average, so that its traffic does not grow with the fleet. The longest interval
/// is shorter than the time after which peers drop the loads as stale
/// (least_load_picker_options::peer_load_lifetime).
constexpr common::milliseconds load_broadcast_interval(std::size_t peers)
{
    using common::milliseconds;
    constexpr milliseconds min_interval{20};
    constexpr milliseconds max_interval{1000};
    constexpr milliseconds message_spacing{3};
    return std::clamp(message_spacing * static_cast<milliseconds::rep>(peers), min_interval,
                      max_interval);
}

} // namespace kumquatgap::policy
