#include "rank_agent/agent_number.hpp"

#include <random>

namespace kumquatgap::rank_agent
{

std::int64_t draw_agent_number()
{
    std::random_device random;
    return std::uniform_int_distribution<std::int64_t>{1}(random);
}

} // namespace kumquatgap::rank_agent
