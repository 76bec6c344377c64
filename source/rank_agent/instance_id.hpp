#pragma once

#include <cstdint>

namespace kumquatgap::rank_agent
{

/// Returns a random number that distinguishes one run of an agent from another.
std::int64_t random_instance_id();

} // namespace kumquatgap::rank_agent
