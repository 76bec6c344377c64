#pragma once

#include "kv/store.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatgap::config
{

using kv::change;
using kv::key_value;
using kv::revision;

/// The changes that lead from one revision to another.
struct delta
{
    revision from = 0;
    revision to = 0;
    std::vector<change> changes;
};

/// What became of something offered to a replica.
enum class adoption : std::uint8_t
{
    /// The replica moved forward.
    adopted,
    /// The replica already had it.
    known,
    /// It starts after the replica's revision, so changes between them are missing.
    gap,
    /// It is older than what this replica has seen from the same source: the source lost writes.
    regressed
};

/// A process's copy of the followed keys, as of one revision of the platform's store. It only ever
/// moves to higher revisions; deletions are kept as tombstones so that a peer can be told of them.
class replica
{
public:
    /// The most tombstones kept for peers; a peer that is further behind gets a snapshot.
    static constexpr std::size_t max_tombstones = 4096;

    /// Takes all keys as of a revision.
    adoption adopt(revision as_of, const std::vector<key_value>& items);
    /// Takes changes. A delta that overlaps what is known is fine.
    adoption adopt(const delta& d);

    /// The highest revision that is completely known; 0 before the first snapshot.
    revision as_of() const { return m_as_of; }
    bool is_ready() const { return m_as_of > 0; }
    /// The revision of the newest change, or a later one where deletions may have been missed. Two
    /// replicas with the same last change have the same items.
    revision last_change() const { return m_last_change; }
    const std::map<std::string, key_value>& items() const { return m_items; }
    /// Grows whenever an item changes, so that readers know when to look again.
    std::uint64_t version() const { return m_version; }

    /// The changes after a revision; none when tombstones that old are gone.
    std::optional<delta> since(revision from) const;

private:
    void apply(const change& c);
    void add_tombstone(revision modified, const std::string& key);

    revision m_as_of = 0;
    /// Deletions at or below this revision are no longer known one by one.
    revision m_tombstone_floor = 0;
    revision m_last_change = 0;
    std::uint64_t m_version = 0;
    std::map<std::string, key_value> m_items;
    std::multimap<revision, std::string> m_tombstones;
};

} // namespace kumquatgap::config
