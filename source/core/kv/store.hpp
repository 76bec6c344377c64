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
/// The id of a lease of the platform's store; 0 stands for no lease.
using lease_id = std::int64_t;

/// The largest response of the store, in bytes. A watch may report several values of a megabyte,
/// encoded as text, in one response.
inline constexpr std::size_t max_response_bytes = std::size_t{16} << 20;
/// The time limit for a whole response, as a multiple of the limit on the time without data. A page
/// of a range over the slowest link takes less.
inline constexpr int total_timeout_factor = 4;

/// A key with its value and the revision of its last change.
struct key_value
{
    std::string key;
    std::string value;
    revision mod_revision = 0;
};

/// The keys with a prefix, all as of one revision.
struct range_response
{
    revision as_of = 0;
    std::vector<key_value> items;
};

/// A precondition of a transaction: the revision that a key must have; 0 when it must not exist.
struct guard
{
    std::string key;
    revision expected = 0;
};

/// A write to a key; nullopt deletes the key.
struct key_write
{
    std::string key;
    std::optional<std::string> value;
    lease_id lease = 0;
};

/// Writes that are applied atomically, and only if every guard holds.
struct transaction
{
    std::vector<guard> guards;
    std::vector<key_write> writes;
};

/// The outcome of a transaction.
struct write_response
{
    bool applied = false;
    revision as_of = 0;
    /// When it was not applied: the current state of each guarded key, in the order of the guards.
    std::vector<std::optional<key_value>> current;
};

/// One change that a watch reports; nullopt as the value means that the key was deleted.
struct change
{
    std::string key;
    std::optional<std::string> value;
    revision mod_revision = 0;
};

/// The callbacks of a watch. on_end is the last call.
struct watch_events
{
    std::function<void(revision as_of, std::vector<change>)> on_changes;
    std::function<void(common::failure)> on_end;
};

/// An active watch; destroying it stops the watch.
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

/// Client interface of the platform's key-value store. A write that fails with
/// write_outcome_unknown may have been applied, or may still be applied later; one that fails with
/// store_unavailable was not applied.
class store
{
public:
    store() = default;
    store(const store&) = delete;
    store& operator=(const store&) = delete;
    virtual ~store() = default;

    /// Reads all keys with a prefix.
    virtual void range(std::string prefix, callback<range_response> done) = 0;
    /// Reads one key.
    virtual void get(std::string key, callback<std::optional<key_value>> done) = 0;
    /// Reads one key; the value may be some seconds stale where that costs the service less.
    virtual void get_stale(std::string key, callback<std::optional<key_value>> done)
    {
        get(std::move(key), std::move(done));
    }
    /// Carries out several transactions in one call to the service. Each is applied or not,
    /// independent of the others.
    virtual void write(std::vector<transaction> batch,
                       callback<std::vector<write_response>> done) = 0;
    /// Grants a lease that expires after the given time unless it is renewed.
    virtual void grant_lease(common::milliseconds time_to_live, callback<lease_id> done) = 0;
    /// Renews a lease; fails with not_found when it has expired. Returns the time left.
    virtual void renew_lease(lease_id lease, callback<common::milliseconds> done) = 0;
    /// Reports the changes to keys with a prefix, from the given revision on.
    virtual std::unique_ptr<watch> start_watch(std::string prefix, revision from,
                                               watch_events events) = 0;

    /// Calls made to the service since the start, including each poll of a watch.
    const call_counts& counts() const { return m_counts; }

protected:
    void count_call(call_kind it) { m_counts.count_call(it); }

private:
    call_counts m_counts;
};

} // namespace kumquatgap::kv
