#include "io/connection_reuse.hpp"

#include <algorithm>

namespace kumquatgap::io
{

bool can_carry(const idle_connection& it, const reuse_conditions& conditions)
{
    return it.idle_for < std::min(it.idle_limit, conditions.max_idle) &&
           std::ranges::find(conditions.excluded, it.number) == conditions.excluded.end();
}

std::optional<std::size_t> pick_idle(const std::vector<idle_connection>& idle,
                                     const reuse_conditions& conditions)
{
    const auto it =
        std::find_if(idle.rbegin(), idle.rend(),
                     [&](const idle_connection& c) { return can_carry(c, conditions); });
    if (it == idle.rend())
        return std::nullopt;
    return static_cast<std::size_t>(idle.rend() - it) - 1;
}

} // namespace kumquatgap::io
