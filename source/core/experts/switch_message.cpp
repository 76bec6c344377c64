#include "experts/switch_message.hpp"

#include <array>
#include <tuple>

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

bool differ(const rank_status& a, const rank_status& b)
{
    const auto state = [](const rank_status& it)
    {
        const auto& r = it.report;
        return std::tie(r.group, r.epoch, r.rank, r.size, r.is_open, r.version, r.prepared, r.armed,
                        r.held, r.born, r.slowdown, it.instance_id, it.directive_token,
                        it.directive_number, it.is_settled, it.was_fenced);
    };
    return state(a) != state(b);
}

std::string_view name_of(order_kind kind)
{
    return s_orders[static_cast<std::size_t>(kind)];
}

} // namespace kumquatgap::experts
