#include "config/replica.hpp"

#include <algorithm>

namespace kumquatgap::config
{

adoption replica::adopt(revision as_of, const std::vector<key_value>& items)
{
    if (as_of < m_as_of)
        return adoption::regressed;
    if (as_of == m_as_of)
        return adoption::known;
    std::map<std::string, key_value> found;
    for (const auto& it : items)
        found.emplace(it.key, it);
    const bool same =
        std::ranges::equal(found, m_items,
                           [](const auto& a, const auto& b) {
                               return a.first == b.first && a.second.modified == b.second.modified;
                           });
    if (!same)
        ++m_version;
    m_items = std::move(found);
    m_tombstones.clear();
    // Which keys were deleted on the way is not known, so nobody can be told of them one by one.
    m_tombstone_floor = as_of;
    m_last_change = as_of;
    m_as_of = as_of;
    return adoption::adopted;
}

adoption replica::adopt(const delta& d)
{
    if (d.to <= m_as_of)
        return adoption::known;
    if (d.from > m_as_of || !is_ready())
        return adoption::gap;
    for (const auto& it : d.changes)
        apply(it);
    m_as_of = d.to;
    return adoption::adopted;
}

void replica::apply(const change& c)
{
    // Everything up to this revision is known already; an older change must not undo it.
    if (c.modified <= m_as_of)
        return;
    ++m_version;
    m_last_change = std::max(m_last_change, c.modified);
    if (c.value)
    {
        m_items.insert_or_assign(c.key, key_value{c.key, *c.value, c.modified});
        return;
    }
    m_items.erase(c.key);
    add_tombstone(c.modified, c.key);
}

void replica::add_tombstone(revision modified, const std::string& key)
{
    m_tombstones.emplace(modified, key);
    while (m_tombstones.size() > max_tombstones)
    {
        m_tombstone_floor = m_tombstones.begin()->first;
        m_tombstones.erase(m_tombstones.begin());
    }
}

std::optional<delta> replica::since(revision from) const
{
    if (from < m_tombstone_floor)
        return std::nullopt;
    delta out{from, m_as_of, {}};
    for (const auto& [key, it] : m_items)
    {
        if (it.modified > from)
            out.changes.push_back({key, it.value, it.modified});
    }
    for (auto it = m_tombstones.upper_bound(from); it != m_tombstones.end(); ++it)
    {
        // A key that was created again is told by its newer value.
        if (!m_items.contains(it->second))
            out.changes.push_back({it->second, std::nullopt, it->first});
    }
    std::ranges::sort(out.changes, {}, &change::modified);
    return out;
}

} // namespace kumquatgap::config
