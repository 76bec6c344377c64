#pragma once

#include "kv/store.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace kumquatgap::fuzz
{

/// An in-memory store without I/O, for the simulations of stateful tests.
class fake_store
{
public:
    /// A mutation: applies every write, also when a guard does not hold.
    bool ignores_guards = false;

    kv::write_response write(const kv::transaction& it)
    {
        const bool all_guards_hold =
            ignores_guards || std::ranges::all_of(it.guards, [&](const auto& g)
                                                  { return revision_of(g.key) == g.expected; });
        if (!all_guards_hold)
        {
            kv::write_response out{false, m_revision, {}, m_era};
            for (const auto& g : it.guards)
                out.current.push_back(get(g.key));
            return out;
        }
        ++m_revision;
        for (const auto& w : it.writes)
        {
            if (w.value)
                m_items[w.key] = {w.key, *w.value, m_revision};
            else
                m_items.erase(w.key);
            m_history.push_back({w.key, w.value, m_revision});
        }
        return {true, m_revision, {}, m_era};
    }

    std::optional<kv::key_value> get(const std::string& key) const
    {
        const auto it = m_items.find(key);
        return it == m_items.end() ? std::nullopt : std::optional{it->second};
    }

    kv::range_response range(const std::string& prefix) const
    {
        kv::range_response out{m_revision, {}, m_era};
        for (const auto& [key, it] : m_items)
        {
            if (key.starts_with(prefix))
                out.items.push_back(it);
        }
        return out;
    }

    /// The changes after a revision.
    std::vector<kv::change> changes_after(kv::revision from) const
    {
        std::vector<kv::change> out;
        std::ranges::copy_if(m_history, std::back_inserter(out),
                             [=](const auto& it) { return it.mod_revision > from; });
        return out;
    }

    kv::revision revision() const { return m_revision; }
    kv::position position() const { return {m_era, m_revision}; }

    /// Goes back to the state at an earlier revision, in a new era.
    void restore(kv::revision copied_at)
    {
        std::erase_if(m_history, [=](const auto& it) { return it.mod_revision > copied_at; });
        m_items.clear();
        for (const auto& it : m_history)
        {
            if (it.value)
                m_items[it.key] = {it.key, *it.value, it.mod_revision};
            else
                m_items.erase(it.key);
        }
        m_revision = copied_at;
        ++m_era;
    }

private:
    kv::revision revision_of(const std::string& key) const
    {
        const auto it = m_items.find(key);
        return it == m_items.end() ? 0 : it->second.mod_revision;
    }

    kv::revision m_revision = 1;
    kv::era m_era = 1;
    std::map<std::string, kv::key_value> m_items;
    std::vector<kv::change> m_history;
};

} // namespace kumquatgap::fuzz
