#include "experts/switch_message.hpp"

#include <array>

namespace kumquatgap::experts
{

namespace
{

constexpr auto s_phases = std::to_array<std::string_view>(
    {"rest", "prepare", "hold", "arm", "fence_holder", "disarm", "release"});
constexpr auto s_orders =
    std::to_array<std::string_view>({"prepare", "arm", "disarm", "hold", "release"});

} // namespace

std::string_view name_of(switch_phase phase)
{
    return s_phases[static_cast<std::size_t>(phase)];
}

std::string_view name_of(order_kind kind)
{
    return s_orders[static_cast<std::size_t>(kind)];
}

} // namespace kumquatgap::experts
