#pragma once

#include "common/clock.hpp"
#include "experts/switch_message.hpp"

#include <cstddef>
#include <vector>

namespace kumquatgap::experts
{

/// The fractions of a host's link that each kind of control message may use. The rest is reserved
/// for lease renewals and orders, which the other messages would delay.
struct link_budget
{
    /// Capacity of the link in bytes per second.
    double bytes_per_s = 2'500'000;
    double directives_fraction = 0.4;
    double counts_fraction = 0.3;
    /// For messages that an agent forwards for the controller, whose own directives use another
    /// link.
    double relayed_fraction = 0.6;

    double directive_bytes_per_s() const { return bytes_per_s * directives_fraction; }
    double counts_bytes_per_s() const { return bytes_per_s * counts_fraction; }
    double relayed_bytes_per_s() const { return bytes_per_s * relayed_fraction; }
};

/// Interval between the selection counts messages of a rank if the link allows it: about one pass.
inline constexpr milliseconds min_counts_interval{50};
/// A group is divided into blocks if its links take longer than this for the counts of all ranks.
inline constexpr milliseconds max_undivided_collection_time{150};

/// Divides the ranks of a group into blocks of consecutive numbers. One rank of each block is its
/// relay: it forwards the controller's messages to the block and sums the counts from the block's
/// ranks. With blocks of one rank, all ranks communicate with the controller directly.
struct relay_tree
{
    /// Marks a block without a live rank.
    static constexpr rank_number no_rank = -1;

    int size = 0;
    int block_size = 1;
    /// The relay of each block.
    std::vector<rank_number> relays;

    std::size_t block_of(rank_number rank) const
    {
        return static_cast<std::size_t>(rank / block_size);
    }
    std::vector<rank_number> ranks_of(std::size_t block) const;
    /// The relay of a rank's block.
    rank_number relay_of(rank_number rank) const;
    /// The largest number of senders to any one rank, including the controller.
    int max_senders() const;

    bool operator==(const relay_tree&) const = default;
};

/// Divides a group into blocks. The counts of a large group exceed the capacity of the controller's
/// link: at 6 Mbit/s, one message of 4 kB from each of 129 ranks takes 0.7 s. Blocks have about as
/// many ranks as there are blocks, so that no link carries more messages than twice the square root
/// of the group size. A group whose counts fit the link is not divided. `is_live` states by rank
/// whether a status arrived recently; `message_bytes` is the size of one selection counts message.
relay_tree make_relay_tree(const std::vector<bool>& is_live, std::size_t message_bytes,
                           const link_budget& link);

/// Interval at which each rank sends its counts, so that no link exceeds the fraction reserved for
/// them.
milliseconds counts_interval(const relay_tree& tree, std::size_t message_bytes,
                             const link_budget& link);

} // namespace kumquatgap::experts
