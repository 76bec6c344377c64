#include "experts/map_changes.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace kumquatgap::experts
{

namespace
{

/// The map in force, the one that is prepared, and one that was given up.
constexpr std::size_t most_maps = 3;

} // namespace

std::uint64_t checksum_of(const expert_map& map)
{
    std::string bytes;
    const auto add = [&bytes](std::size_t n)
    {
        bytes += std::to_string(n);
        bytes += ' ';
    };
    for (const auto& set : map.sets)
    {
        add(set.size());
        for (const auto& rank : set)
        {
            add(rank.size());
            std::ranges::for_each(rank, [&](int e) { add(static_cast<std::size_t>(e)); });
        }
    }
    return common::hash64(bytes);
}

map_changes difference(const expert_map& from, map_version base, const expert_map& to)
{
    map_changes out{base, checksum_of(to), {}};
    for (std::size_t s = 0; s < to.sets.size(); ++s)
    {
        for (std::size_t r = 0; r < to.sets[s].size(); ++r)
        {
            if (from.sets[s][r] != to.sets[s][r])
                out.rows.push_back({s, r, to.sets[s][r]});
        }
    }
    return out;
}

std::optional<expert_map> applied(const expert_map& base, const map_changes& changes)
{
    auto out = base;
    for (const auto& it : changes.rows)
    {
        if (it.set >= out.sets.size() || it.rank >= out.sets[it.set].size())
            return std::nullopt;
        out.sets[it.set][it.rank] = it.experts;
    }
    if (checksum_of(out) != changes.checksum)
        return std::nullopt;
    return out;
}

expert_map experts_in_turn(std::size_t sets, std::size_t ranks, std::size_t experts)
{
    expert_set_map one(ranks);
    for (std::size_t e = 0; e < experts && ranks != 0; ++e)
        one[e % ranks].push_back(static_cast<int>(e));
    return {std::vector<expert_set_map>(sets, one)};
}

void map_archive::put(std::int64_t epoch, map_version version,
                      std::shared_ptr<const expert_map> map)
{
    if (std::exchange(m_epoch, epoch) != epoch)
        m_entries.clear();
    forget(version);
    m_entries.push_back({version, std::move(map)});
    if (m_entries.size() > most_maps)
        m_entries.pop_front();
}

void map_archive::forget(map_version version)
{
    std::erase_if(m_entries, [version](const entry& it) { return it.version == version; });
}

std::shared_ptr<const expert_map> map_archive::find(std::int64_t epoch, map_version version) const
{
    const auto it = std::ranges::find(m_entries, version, &entry::version);
    return epoch != m_epoch || it == m_entries.end() ? nullptr : it->map;
}

} // namespace kumquatgap::experts
