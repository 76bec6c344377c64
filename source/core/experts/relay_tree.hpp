#pragma once

#include "common/clock.hpp"
#include "experts/switch_message.hpp"

#include <cstddef>
#include <vector>

namespace kumquatgap::experts
{

/// The parts of a host's link that control messages of each kind may take. What is left is for the
/// lease and the orders, which everything else would hold up.
struct link_budget
{
    /// What the link carries, in bytes a second.
    double bytes_per_s = 2'500'000;
    double directives_part = 0.4;
    double choices_part = 0.3;
    /// What an agent may pass on for the controller, whose own directives take another link.
    double relayed_part = 0.6;

    double directives() const { return bytes_per_s * directives_part; }
    double choices() const { return bytes_per_s * choices_part; }
    double relayed() const { return bytes_per_s * relayed_part; }
};

/// How often a rank's choices are told while the link allows it: about once a pass.
inline constexpr milliseconds choices_period{50};
/// A group whose links take longer than this for the choices of all its ranks is divided.
inline constexpr milliseconds longest_flat_round{150};

/// The ranks of a group in blocks of consecutive numbers. One rank of each block passes messages of
/// the controller on to its block, and sums what the block's ranks tell. With blocks of one rank
/// all speak with the controller directly.
struct relay_tree
{
    /// Marks a block of which no rank is heard.
    static constexpr rank_number no_rank = -1;

    int size = 0;
    int block_size = 1;
    /// By block.
    std::vector<rank_number> relays;

    std::size_t block_of(rank_number rank) const
    {
        return static_cast<std::size_t>(rank / block_size);
    }
    /// The ranks of a block.
    std::vector<rank_number> ranks_of(std::size_t block) const;
    /// The rank that serves a rank's block.
    rank_number relay_of(rank_number rank) const;
    /// The most senders that one rank, the controller included, has.
    int most_senders() const;

    bool operator==(const relay_tree&) const = default;
};

/// Divides a group. Load pattern: the choices of a large group are more than the controller's link
/// carries, and a link of 6 Mbit/s takes 0.7 s for one message of 4 kB of each of 129 ranks. Blocks
/// have about as many ranks as there are blocks, so that no link carries more than twice the root
/// of the group; a group whose choices fit the link as they are is not divided. `is_live` tells by
/// rank whether it was heard lately; `message_bytes` is the size of one message of choices.
relay_tree divide(const std::vector<bool>& is_live, std::size_t message_bytes,
                  const link_budget& link);

/// How often each rank sends its choices on, so that no link carries more than its part.
milliseconds choices_spacing(const relay_tree& tree, std::size_t message_bytes,
                             const link_budget& link);

} // namespace kumquatgap::experts
