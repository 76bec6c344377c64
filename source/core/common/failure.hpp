#pragma once

#include "common/result_code.hpp"

#include <boost/outcome.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace kumquatgap::common
{

/// An error as a value: its result code, a detail for people, and the time after which a retry may
/// succeed.
struct failure
{
    result_code code = result_code::ok;
    std::string detail;
    std::optional<std::chrono::milliseconds> retry_after = std::nullopt;
};

/// A value or a failure.
template <class T>
using result = boost::outcome_v2::checked<T, failure>;

} // namespace kumquatgap::common
