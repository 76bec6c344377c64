#pragma once

#include "common/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace kumquatgap::policy
{

/// How long a router waits from one telling of its loads to the next, with so many others to tell.
/// Load pattern: a fleet of hundreds of routers whose loads change all the time. Each sends one
/// message in three milliseconds on average, so that its traffic does not grow with their number;
/// loads are told before the others take them for old (target_board_options::peer_load_lifetime).
constexpr common::milliseconds load_period(std::size_t others)
{
    using common::milliseconds;
    constexpr milliseconds shortest{20};
    constexpr milliseconds longest{1000};
    constexpr milliseconds spacing{3};
    return std::clamp(spacing * static_cast<milliseconds::rep>(others), shortest, longest);
}

} // namespace kumquatgap::policy
