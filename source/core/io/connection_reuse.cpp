#include "io/connection_reuse.hpp"

#include <algorithm>

namespace kumquatgap::io
{

bool can_carry(const idle_connection& it, const reuse_conditions& conditions)
{
    return it.idle_for < std::min(it.idle_limit, conditions.max_idle) &&
           std::ranges::find(conditions.excluded, it.number) == conditions.excluded.end();
}

} // namespace kumquatgap::io
