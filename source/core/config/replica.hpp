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

/// The changes between two revisions of one era.
struct delta
{
    revision from = 0;
    revision to = 0;
    std::vector<change> changes;
    kv::era in_era = 0;
};

/// All keys at one revision.
struct snapshot
{
    revision as_of = 0;
    std::vector<key_value> items;
    kv::era in_era = 0;

    kv::position position() const { return {in_era, as_of}; }
};

/// The outcome of an update to a replica.
enum class update_result : std::uint8_t
{
    /// The update was applied.
    applied,
    /// The replica already had the revision of the update.
    already_known,
    /// The update starts after the replica's revision, so changes in between are missing.
    missing_changes,
    /// The snapshot is older than the replica, so its source, the store, has lost writes.
    regressed
};

/// A process's copy of the replicated keys, as of one position in the histories of the platform's
/// store. It only moves to later positions: within an era to higher revisions, and to a later era
/// whatever its revision. Deletions are kept as tombstones, so that deltas can include them.
class replica
{
public:
    /// The most tombstones that are kept; a peer that lacks older deletions gets a snapshot.
    static constexpr std::size_t max_tombstones = 4096;

    /// Replaces all keys by a snapshot.
    update_result update(const snapshot& s);
    /// Applies the changes of a delta, which may overlap those already applied.
    update_result update(const delta& d);

    /// The revision of the replica; 0 before the first snapshot.
    revision as_of() const { return m_as_of; }
    kv::era era() const { return m_era; }
    kv::position position() const { return {m_era, m_as_of}; }
    bool is_ready() const { return m_as_of > 0; }
    /// True when an item is certain to have been written in the current era. After the store was
    /// restored, the first snapshot can't show which of its items are those of the copy.
    bool is_confirmed(const key_value& it) const
    {
        return !m_has_changed_era || it.mod_revision > m_era_floor;
    }
    /// The revision of the newest change; after a snapshot that of the snapshot, which may include
    /// deletions. Two replicas with the same last change have the same items.
    revision last_change() const { return m_last_change; }
    const std::map<std::string, key_value>& items() const { return m_items; }
    /// Increases whenever an item changes, so that readers can detect changes.
    std::uint64_t version() const { return m_version; }

    /// The changes after a position; nullopt when tombstones that old have been dropped, or when it
    /// is in another era.
    std::optional<delta> changes_since(kv::position since) const;

private:
    void apply(const change& c);
    void add_tombstone(revision mod_revision, const std::string& key);

    kv::era m_era = 0;
    revision m_as_of = 0;
    bool m_has_changed_era = false;
    /// The revision of the first snapshot of the current era.
    revision m_era_floor = 0;
    /// The tombstones of deletions at or below this revision have been dropped.
    revision m_tombstone_floor = 0;
    revision m_last_change = 0;
    std::uint64_t m_version = 0;
    std::map<std::string, key_value> m_items;
    std::multimap<revision, std::string> m_tombstones;
};

} // namespace kumquatgap::config
