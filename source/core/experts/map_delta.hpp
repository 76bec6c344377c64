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

/// The experts of one set on one rank.
struct map_row
{
    std::size_t set = 0;
    std::size_t rank = 0;
    std::vector<int> experts;
};

/// The rows in which a map differs from a base map that the receiver has.
struct map_delta
{
    /// Version of the base map.
    map_version base = 0;
    /// Checksum of the resulting map; needed because ranks do not compare their maps.
    std::uint64_t checksum = 0;
    std::vector<map_row> rows;
};

std::uint64_t checksum_of(const expert_map& map);
map_delta make_delta(const expert_map& from, map_version base, const expert_map& to);
/// Returns the resulting map, or nullopt if the base is not the map that the sender used.
std::optional<expert_map> apply_delta(const expert_map& base, const map_delta& delta);

/// The initial map of a group, which assigns experts to the ranks round-robin.
expert_map round_robin_map(std::size_t sets, std::size_t ranks, std::size_t experts);

/// The newest complete maps of one epoch that an agent has.
class map_cache
{
public:
    /// Version value for a map that is not in the cache.
    static constexpr map_version unknown = -1;

    void put(std::int64_t epoch, map_version version, std::shared_ptr<const expert_map> map);
    /// Removes a version whose map differs from the one that other agents have under
    /// the same number.
    void erase(map_version version);
    std::shared_ptr<const expert_map> find(std::int64_t epoch, map_version version) const;
    /// Returns the version if its map is in the cache, `unknown` otherwise.
    map_version known_version(std::int64_t epoch, map_version version) const
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
