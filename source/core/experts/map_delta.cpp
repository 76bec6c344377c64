#include "experts/map_delta.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace kumquatgap::experts
{

namespace
{

/// The map in effect, the one being prepared, and one that was abandoned.
constexpr std::size_t max_maps = 3;

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

map_delta make_delta(const expert_map& from, map_version base, const expert_map& to)
{
    map_delta out{base, checksum_of(to), {}};
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

std::optional<expert_map> apply_delta(const expert_map& base, const map_delta& delta)
{
    auto out = base;
    for (const auto& it : delta.rows)
    {
        if (it.set >= out.sets.size() || it.rank >= out.sets[it.set].size())
            return std::nullopt;
        out.sets[it.set][it.rank] = it.experts;
    }
    if (checksum_of(out) != delta.checksum)
        return std::nullopt;
    return out;
}

expert_map round_robin_map(std::size_t sets, std::size_t ranks, std::size_t experts)
{
    expert_set_map assignment(ranks);
    for (std::size_t e = 0; e < experts && ranks != 0; ++e)
        assignment[e % ranks].push_back(static_cast<int>(e));
    return {std::vector<expert_set_map>(sets, assignment)};
}

void map_cache::put(std::int64_t epoch, map_version version, std::shared_ptr<const expert_map> map)
{
    if (std::exchange(m_epoch, epoch) != epoch)
        m_entries.clear();
    erase(version);
    m_entries.push_back({version, std::move(map)});
    if (m_entries.size() > max_maps)
        m_entries.pop_front();
}

void map_cache::erase(map_version version)
{
    std::erase_if(m_entries, [version](const entry& it) { return it.version == version; });
}

std::shared_ptr<const expert_map> map_cache::find(std::int64_t epoch, map_version version) const
{
    const auto it = std::ranges::find(m_entries, version, &entry::version);
    return epoch != m_epoch || it == m_entries.end() ? nullptr : it->map;
}

} // namespace kumquatgap::experts
