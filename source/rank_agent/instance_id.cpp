#include "rank_agent/instance_id.hpp"

#include <random>

namespace kumquatgap::rank_agent
{

std::int64_t random_instance_id()
{
    std::random_device random;
    return std::uniform_int_distribution<std::int64_t>{1}(random);
}

} // namespace kumquatgap::rank_agent
