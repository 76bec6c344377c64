#pragma once

#include <chrono>

namespace kumquatgap::common
{

using std::chrono::milliseconds;

/// A point on the monotonic clock. Decision classes take it as an argument and never read a clock.
using timestamp = std::chrono::time_point<std::chrono::steady_clock, milliseconds>;

/// The monotonic clock now; for the programs' shells only.
inline timestamp now()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::steady_clock::now());
}

} // namespace kumquatgap::common
