#pragma once

#include "common/clock.hpp"
#include "common/failure.hpp"
#include "kv/call_counts.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::kv
{

/// A revision of the platform's store; it grows with every write.
using revision = std::int64_t;
/// A lease of the platform's store; 0 stands for none.
using lease_id = std::int64_t;

/// The longest answer of the store: several values of a megabyte, as text, in one report of a
/// watch.
inline constexpr std::size_t most_answer_bytes = std::size_t{16} << 20;
/// An answer may take this many times its limit on silence in all; a page of a range over the
/// slowest link takes less.
inline constexpr int whole_over_silence = 4;

/// A key with its value and the revision of its last change.
struct key_value
{
    std::string key;
    std::string value;
    revision modified = 0;
};

/// The keys below a prefix, all as of one revision.
struct range_answer
{
    revision as_of = 0;
    std::vector<key_value> items;
};

/// What a transaction requires of a key: its revision; 0 means absent.
struct guard
{
    std::string key;
    revision expected = 0;
};

/// A new value for a key; none deletes the key.
struct key_write
{
    std::string key;
    std::optional<std::string> value;
    lease_id lease = 0;
};

/// Writes that take effect together, and only while every guard holds.
struct transaction
{
    std::vector<guard> guards;
    std::vector<key_write> writes;
};

/// What became of a transaction.
struct write_answer
{
    bool applied = false;
    revision as_of = 0;
    /// When it was not applied: each guarded key as it is, in the order of the guards.
    std::vector<std::optional<key_value>> current;
};

/// One change that a watch reports; no value means that the key was deleted.
struct change
{
    std::string key;
    std::optional<std::string> value;
    revision modified = 0;
};

/// What a watch reports. After a failure the watch is over.
struct watch_events
{
    std::function<void(revision as_of, std::vector<change>)> on_changes;
    std::function<void(common::failure)> on_end;
};

/// A running watch; destroying it ends the watch.
class watch
{
public:
    watch() = default;
    watch(const watch&) = delete;
    watch& operator=(const watch&) = delete;
    virtual ~watch() = default;
};

template <class T>
using callback = std::function<void(common::result<T>)>;

/// The platform's key-value service. A write that fails with write_outcome_unknown may have taken
/// effect, or may still do so later; one that fails with store_unavailable did not.
class store
{
public:
    store() = default;
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    virtual ~store() = default;

    /// Reads all keys below a prefix.
    virtual void range(std::string prefix, callback<range_answer> done) = 0;
    /// Reads one key.
    virtual void get(std::string key, callback<std::optional<key_value>> done) = 0;
    /// Reads one key as it was at some time of the last seconds, where that costs the service less.
    virtual void get_any_age(std::string key, callback<std::optional<key_value>> done)
    {
        get(std::move(key), std::move(done));
    }
    /// Carries out several transactions, each on its own terms, in one call to the service.
    virtual void write(std::vector<transaction> batch,
                       callback<std::vector<write_answer>> done) = 0;
    /// Grants a lease that ends after the given time unless it is renewed.
    virtual void grant_lease(common::milliseconds time_to_live, callback<lease_id> done) = 0;
    /// Renews a lease; fails with not_found when it has ended.
    virtual void renew_lease(lease_id lease, callback<common::milliseconds> done) = 0;
    /// Reports the changes below a prefix from a revision on.
    virtual std::unique_ptr<watch> start_watch(std::string prefix, revision from,
                                               watch_events events) = 0;

    /// Calls made to the service since the start, each poll of a watch included.
    const call_counts& counts() const { return m_counts; }

protected:
    void note(call_kind it) { m_counts.note(it); }

private:
    call_counts m_counts;
};

} // namespace kumquatgap::kv
