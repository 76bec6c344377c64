#pragma once

#include "common/clock.hpp"
#include "common/failure.hpp"
#include "kv/call_counts.hpp"
#include "kv/position.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::kv
{

/// A lease of the platform's store; the default stands for no lease. A restored store assigns the
/// ids of lost leases again, so a lease is valid only in the era in which it was granted.
struct lease
{
    std::int64_t id = 0;
    era granted_in = 0;

    explicit operator bool() const { return id != 0; }
    bool operator==(const lease&) const = default;
};

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
    era in_era = 0;
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
    kv::lease lease = {};
};

/// Writes that are applied atomically, and only if every guard holds.
struct transaction
{
    std::vector<guard> guards;
    std::vector<key_write> writes;
    /// The era that the revisions of the guards were read in; the transaction is not sent in a
    /// later one. Empty when no guard depends on an earlier read.
    std::optional<era> read_in = {};
};

/// The outcome of a transaction.
struct write_response
{
    bool applied = false;
    revision as_of = 0;
    /// When it was not applied: the current state of each guarded key, in the order of the guards.
    std::vector<std::optional<key_value>> current;
    era in_era = 0;
};

/// One change that a watch reports; nullopt as the value means that the key was deleted.
struct change
{
    std::string key;
    std::optional<std::string> value;
    revision mod_revision = 0;
};

/// The callbacks of a watch. on_end is the last call. All changes are of the era in which the watch
/// was started; it ends when the store is restored.
struct watch_events
{
    /// `confirmed_at` is a time at which the store had no changes after `as_of`.
    std::function<void(revision as_of, std::vector<change>, common::timestamp confirmed_at)>
        on_changes;
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

    /// Sets how often the store must respond while it has no changes, from its next response on.
    /// Has no effect on a watch that the store does not respond to without changes.
    virtual void confirm_every(common::milliseconds /*period*/) {}
};

template <class T>
using callback = std::function<void(common::result<T>)>;

/// Client interface of the platform's key-value store. A write that fails with
/// write_outcome_unknown may have been applied, or may still be applied later; one that fails with
/// store_unavailable was not applied. A write that was applied can still be lost when the store is
/// restored from a copy; on_restored() reports that.
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
    virtual void grant_lease(common::milliseconds time_to_live, callback<lease> done) = 0;
    /// Renews a lease; fails with not_found when it has expired. Returns the time left.
    virtual void renew_lease(lease it, callback<common::milliseconds> done) = 0;
    /// Reports the changes to keys with a prefix, from the given position on.
    virtual std::unique_ptr<watch> start_watch(std::string prefix, position from,
                                               watch_events events) = 0;

    /// Calls made to the service since the start, including each poll of a watch.
    const call_counts& counts() const { return m_counts; }

    /// The newest era that a response was from.
    era current_era() const { return m_era.value_or(0); }
    /// When this process first received a response of the current era.
    common::timestamp era_since() const { return m_era_since; }
    /// Calls fn whenever a response shows that the store has been restored from a copy.
    void on_restored(std::function<void()> fn) { m_restored_handlers.push_back(std::move(fn)); }

protected:
    void count_call(call_kind it) { m_counts.count_call(it); }
    /// Records the era of a response; false when the response is from before the store was
    /// restored.
    bool note_era(era it);
    /// Why a transaction must not be sent: the store was restored since it gave the leases or the
    /// revisions that the transaction names. Empty when it may be sent.
    std::optional<common::failure> reason_not_to_send(const transaction& it) const;

private:
    call_counts m_counts;
    std::optional<era> m_era;
    common::timestamp m_era_since;
    std::vector<std::function<void()>> m_restored_handlers;
};

} // namespace kumquatgap::kv
