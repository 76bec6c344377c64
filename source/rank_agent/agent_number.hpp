#pragma once

#include <cstdint>

namespace kumquatgap::rank_agent
{

/// A random number that tells one start of an agent from another.
std::int64_t draw_agent_number();

} // namespace kumquatgap::rank_agent
