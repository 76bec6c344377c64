#include "io/eviction_policy.hpp"

#include <algorithm>
#include <tuple>

namespace kumquatgap::io
{

namespace
{

double wasted(const buffer_holder& it)
{
    // One more millisecond, so that holders without a stall are compared by their bytes.
    return static_cast<double>(it.bytes) * static_cast<double>(it.stalled.count() + 1);
}

/// Group in which a connection is closed when there are too many; the lowest first.
int closing_order(connection_state state)
{
    return state == connection_state::idle ? 1 : 0;
}

} // namespace

std::vector<std::size_t> choose_for_memory(std::span<const buffer_holder> holders,
                                           std::size_t bytes_to_free, std::size_t min_bytes)
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < holders.size(); ++i)
    {
        if (holders[i].state != connection_state::serving && holders[i].bytes > min_bytes)
            out.push_back(i);
    }
    std::ranges::sort(out, std::ranges::greater{},
                      [&](std::size_t i) { return wasted(holders[i]); });
    std::size_t freed = 0;
    const auto end = std::ranges::find_if(out,
                                          [&](std::size_t i)
                                          {
                                              const bool is_enough = freed >= bytes_to_free;
                                              freed += holders[i].bytes;
                                              return is_enough;
                                          });
    out.erase(end, out.end());
    return out;
}

std::vector<std::size_t> choose_for_connections(std::span<const buffer_holder> holders,
                                                std::size_t count)
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < holders.size(); ++i)
    {
        const auto state = holders[i].state;
        if (state != connection_state::serving && state != connection_state::sending)
            out.push_back(i);
    }
    const auto order = [&](std::size_t i) {
        return std::tuple{closing_order(holders[i].state), -holders[i].stalled.count()};
    };
    count = std::min(count, out.size());
    std::ranges::partial_sort(out, out.begin() + static_cast<std::ptrdiff_t>(count), {}, order);
    out.resize(count);
    return out;
}

} // namespace kumquatgap::io
