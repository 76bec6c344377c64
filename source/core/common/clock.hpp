#pragma once

#include <chrono>

namespace kumquatgap::common
{

using std::chrono::milliseconds;

/// A time of the monotonic clock, in ms. Classes that decide take it as an argument and never read
/// a clock, so that tests control the time.
using timestamp = std::chrono::time_point<std::chrono::steady_clock, milliseconds>;

/// The current time of the monotonic clock. Only the event-loop code of programs calls it, never
/// the classes that decide.
inline timestamp now()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::steady_clock::now());
}

} // namespace kumquatgap::common
