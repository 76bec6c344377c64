#include "config/replica.hpp"

#include <algorithm>

namespace kumquatgap::config
{

update_result replica::update(const snapshot& s)
{
    if (s.position() < position())
        return update_result::regressed;
    if (s.position() == position())
        return update_result::already_known;
    const bool is_new_era = s.in_era > m_era;
    if (is_new_era)
    {
        m_has_changed_era = is_ready();
        m_era = s.in_era;
        m_era_floor = s.as_of;
    }
    std::map<std::string, key_value> new_items;
    for (const auto& it : s.items)
        new_items.emplace(it.key, it);
    // An item of another era may have the same revision and another value.
    const bool same =
        !is_new_era && std::ranges::equal(new_items, m_items,
                                          [](const auto& a, const auto& b) {
                                              return a.first == b.first &&
                                                     a.second.mod_revision == b.second.mod_revision;
                                          });
    if (!same)
        ++m_version;
    m_items = std::move(new_items);
    m_tombstones.clear();
    // A snapshot does not show which keys were deleted since the previous revision, so there are no
    // tombstones for them.
    m_tombstone_floor = s.as_of;
    m_last_change = s.as_of;
    m_as_of = s.as_of;
    return update_result::applied;
}

update_result replica::update(const delta& d)
{
    if (kv::position{d.in_era, d.to} <= position())
        return update_result::already_known;
    if (d.in_era != m_era || d.from > m_as_of || !is_ready())
        return update_result::missing_changes;
    for (const auto& it : d.changes)
        apply(it);
    m_as_of = d.to;
    return update_result::applied;
}

void replica::apply(const change& c)
{
    // The replica has all changes up to its revision; an older change must not undo a newer one.
    if (c.mod_revision <= m_as_of)
        return;
    ++m_version;
    m_last_change = std::max(m_last_change, c.mod_revision);
    if (c.value)
    {
        m_items.insert_or_assign(c.key, key_value{c.key, *c.value, c.mod_revision});
        return;
    }
    m_items.erase(c.key);
    add_tombstone(c.mod_revision, c.key);
}

void replica::add_tombstone(revision mod_revision, const std::string& key)
{
    m_tombstones.emplace(mod_revision, key);
    while (m_tombstones.size() > max_tombstones)
    {
        m_tombstone_floor = m_tombstones.begin()->first;
        m_tombstones.erase(m_tombstones.begin());
    }
}

std::optional<delta> replica::changes_since(kv::position since) const
{
    if (since.in_era != m_era || since.at < m_tombstone_floor)
        return std::nullopt;
    const auto from = since.at;
    delta out{from, m_as_of, {}, m_era};
    for (const auto& [key, it] : m_items)
    {
        if (it.mod_revision > from)
            out.changes.push_back({key, it.value, it.mod_revision});
    }
    for (auto it = m_tombstones.upper_bound(from); it != m_tombstones.end(); ++it)
    {
        // A key that was created again is included with its newer value.
        if (!m_items.contains(it->second))
            out.changes.push_back({it->second, std::nullopt, it->first});
    }
    std::ranges::sort(out.changes, {}, &change::mod_revision);
    return out;
}

} // namespace kumquatgap::config
