#include "experts/relay_tree.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kumquatgap::experts
{

namespace
{

constexpr double ms_per_s = 1000;

/// Time in milliseconds that a link needs for one selection counts message from each sender.
double transfer_ms(int senders, std::size_t message_bytes, const link_budget& link)
{
    return senders * static_cast<double>(message_bytes) / link.counts_bytes_per_s() * ms_per_s;
}

} // namespace

std::vector<rank_number> relay_tree::ranks_of(std::size_t block) const
{
    const auto first = static_cast<int>(block) * block_size;
    std::vector<rank_number> out(static_cast<std::size_t>(std::clamp(size - first, 0, block_size)));
    std::iota(out.begin(), out.end(), first);
    return out;
}

rank_number relay_tree::relay_of(rank_number rank) const
{
    const auto block = block_of(rank);
    return block < relays.size() ? relays[block] : no_rank;
}

int relay_tree::max_senders() const
{
    return std::max(static_cast<int>(relays.size()), block_size - 1);
}

relay_tree make_relay_tree(const std::vector<bool>& is_live, std::size_t message_bytes,
                           const link_budget& link)
{
    relay_tree out;
    out.size = static_cast<int>(is_live.size());
    if (transfer_ms(out.size, message_bytes, link) >
        static_cast<double>(max_undivided_collection_time.count()))
        out.block_size = static_cast<int>(std::ceil(std::sqrt(out.size)));
    const int blocks = (out.size + out.block_size - 1) / out.block_size;
    for (int b = 0; b < blocks; ++b)
    {
        const auto ranks = out.ranks_of(static_cast<std::size_t>(b));
        const auto live = std::ranges::find_if(ranks, [&](rank_number it)
                                               { return is_live[static_cast<std::size_t>(it)]; });
        out.relays.push_back(live == ranks.end() ? relay_tree::no_rank : *live);
    }
    return out;
}

milliseconds counts_interval(const relay_tree& tree, std::size_t message_bytes,
                             const link_budget& link)
{
    const auto time = std::ceil(transfer_ms(tree.max_senders(), message_bytes, link));
    return std::max(min_counts_interval, milliseconds{static_cast<std::int64_t>(time)});
}

} // namespace kumquatgap::experts
