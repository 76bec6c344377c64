#pragma once

#include "experts/expert_map.hpp"
#include "experts/switch_message.hpp"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace kumquatgap::experts
{

/// What one rank holds of one set.
struct map_row
{
    std::size_t set = 0;
    std::size_t rank = 0;
    std::vector<int> experts;
};

/// How a map differs from another one, which the receiver has.
struct map_changes
{
    /// The version of the other map.
    map_version base = 0;
    /// That of the map that comes out, since ranks compare nothing.
    std::uint64_t checksum = 0;
    std::vector<map_row> rows;
};

std::uint64_t checksum_of(const expert_map& map);
map_changes difference(const expert_map& from, map_version base, const expert_map& to);
/// The map that comes out; none where the base is another one than the sender's.
std::optional<expert_map> applied(const expert_map& base, const map_changes& changes);

/// The map that a group starts with: experts in turn over the ranks.
expert_map experts_in_turn(std::size_t sets, std::size_t ranks, std::size_t experts);

/// The maps of one epoch that an agent knows whole, the newest ones.
class map_archive
{
public:
    /// Says that a version does not stand in the archive.
    static constexpr map_version unknown = -1;

    void put(std::int64_t epoch, map_version version, std::shared_ptr<const expert_map> map);
    /// Gives up a version that has turned out not to be the one that others know by its number.
    void forget(map_version version);
    std::shared_ptr<const expert_map> find(std::int64_t epoch, map_version version) const;
    /// The version itself if it is known, `unknown` otherwise.
    map_version known(std::int64_t epoch, map_version version) const
    {
        return find(epoch, version) ? version : unknown;
    }

private:
    struct entry
    {
        map_version version = 0;
        std::shared_ptr<const expert_map> map;
    };

    std::int64_t m_epoch = 0;
    std::deque<entry> m_entries;
};

} // namespace kumquatgap::experts
