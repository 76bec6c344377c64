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

/// The changes between two revisions.
struct delta
{
    revision from = 0;
    revision to = 0;
    std::vector<change> changes;
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

/// A process's copy of the replicated keys, as of one revision of the platform's store. It only
/// moves to higher revisions. Deletions are kept as tombstones, so that deltas can include them.
class replica
{
public:
    /// The most tombstones that are kept; a peer that lacks older deletions gets a snapshot.
    static constexpr std::size_t max_tombstones = 4096;

    /// Replaces all keys by a snapshot as of a revision.
    update_result update(revision as_of, const std::vector<key_value>& items);
    /// Applies the changes of a delta, which may overlap those already applied.
    update_result update(const delta& d);

    /// The revision of the replica; 0 before the first snapshot.
    revision as_of() const { return m_as_of; }
    bool is_ready() const { return m_as_of > 0; }
    /// The revision of the newest change; after a snapshot that of the snapshot, which may include
    /// deletions. Two replicas with the same last change have the same items.
    revision last_change() const { return m_last_change; }
    const std::map<std::string, key_value>& items() const { return m_items; }
    /// Increases whenever an item changes, so that readers can detect changes.
    std::uint64_t version() const { return m_version; }

    /// The changes after a revision; nullopt when tombstones that old have been dropped.
    std::optional<delta> changes_since(revision from) const;

private:
    void apply(const change& c);
    void add_tombstone(revision mod_revision, const std::string& key);

    revision m_as_of = 0;
    /// The tombstones of deletions at or below this revision have been dropped.
    revision m_tombstone_floor = 0;
    revision m_last_change = 0;
    std::uint64_t m_version = 0;
    std::map<std::string, key_value> m_items;
    std::multimap<revision, std::string> m_tombstones;
};

} // namespace kumquatgap::config
