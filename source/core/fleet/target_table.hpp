#pragma once

#include "common/clock.hpp"
#include "fleet/target_notices.hpp"
#include "kv/position.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquatgap::fleet
{

using common::milliseconds;
using common::timestamp;

/// A back end as its entry in the store describes it.
struct target
{
    /// Identifies one start of the target; a restarted target usually has another id.
    std::string id;
    std::string service;
    std::string address;
    std::string data_centre;
    int slots = 1;
    bool is_draining = false;
    /// The position at which the entry was written; of two entries, the one with the later position
    /// is newer.
    kv::position written_at;
    /// False when the store was restored from a copy and the entry may be that of the copy.
    bool is_confirmed = true;
    /// When the target started, in Unix milliseconds; 0 when it does not report that.
    std::int64_t started_at = 0;
    /// How much longer the target is cold, as its entry says; 0 when it is not cold.
    milliseconds cold_for{0};
    /// The time since `started_at` by this host's calendar clock, for an entry that may have been
    /// written long ago; none for one that was written just now.
    std::optional<milliseconds> age = std::nullopt;
};

/// The known targets, from their entries in the store. Load pattern: entries whose leases expire
/// together while the store is unreachable, although the targets still serve. Such targets are kept
/// until they have had time to write their entries again.
///
/// An address belongs to the target that wrote its entry last: after a restart of all targets, the
/// old entries exist beside the new ones until their leases end.
///
/// A store that was restored from a copy shows targets as they were when it was made. Such an entry
/// does not revoke what is known to be newer: that the target drains, or that its entry was
/// removed.
class target_table
{
public:
    /// The time that targets have to write expired entries again once the store is reachable.
    static constexpr milliseconds expiry_grace{2000};
    /// The longest that a target is kept after its entry has expired: it may have been stopped, and
    /// then it still serves for two seconds (the platform's drainMs), of which a call needs some to
    /// reach it.
    static constexpr milliseconds max_expired_retention{1700};
    /// How long an unconfirmed entry of a target that was removed before is not used. The store
    /// removes the entry of a target that is gone within this time.
    static constexpr milliseconds unconfirmed_hold{8000};
    /// How long a removed target is remembered: longer than a copy of the store is old.
    static constexpr milliseconds removed_retention{120'000};

    /// An entry was written.
    void put(target it, timestamp now);
    /// An entry was removed. `store_recovered_at` is set if the entry may have expired because the
    /// store was unreachable: the time at which the store became reachable again, or now while it
    /// is not.
    void remove(const std::string& id, timestamp now, std::optional<timestamp> store_recovered_at);

    /// The target at this address reports another identity. The entry loses the address until it is
    /// written again.
    void release_address(const std::string& id);

    /// A target is draining, as it or another gateway reports. True when this was not known.
    bool note_draining(const std::string& id, std::int64_t started_at, notice_source from,
                       timestamp now);
    /// A target asks for no calls for `time`. True when it accepted calls before.
    bool note_busy(const std::string& id, std::int64_t started_at, milliseconds time,
                   timestamp now);
    /// The targets that reported to this gateway lately that they are draining.
    draining_targets draining_to_broadcast(timestamp now) const
    {
        return m_notices.draining_to_broadcast(now);
    }
    /// What a target's response said about its rate limit; see target_notices.
    bool note_rate_limit(const std::string& id, const rate_limit& limit, notice_source from)
    {
        return m_notices.note_rate_limit(id, limit, from);
    }
    std::optional<double> rate_limit_of(const std::string& id) const
    {
        return m_notices.empty() ? std::nullopt : m_notices.rate_limit_of(id);
    }
    std::map<std::string, double> limited() const { return m_notices.limited(); }
    rate_limits limits_to_broadcast(timestamp now) const
    {
        return m_notices.limits_to_broadcast(now);
    }
    /// A target writes its entry at most this long after the start that the entry names, by the
    /// calendar clocks of two hosts.
    static constexpr milliseconds max_write_delay{5000};
    /// How long a target is still cold, as a response or another gateway says; see target_notices.
    bool note_cold(const std::string& id, const cold_notice& it, notice_source from)
    {
        return m_notices.note_cold(id, it, from);
    }
    /// How long a target is still cold, as its entry says, which is put next. The entry does not
    /// say when it was written: it counts from now, or from the target's start if its age is known.
    /// True when the target has become cold, or is no longer cold.
    bool note_entry_cold(const target& it, timestamp now);
    const target_notices& notices() const { return m_notices; }
    /// Removes notices that no longer apply.
    void prune(timestamp now);

    /// The target if it accepts new calls: it is not draining, busy or removed, and has the newest
    /// entry for its address.
    const target* find_usable(const std::string& id, timestamp now) const;
    /// All targets of a service that accept new calls, by id.
    std::vector<const target*> usable(std::string_view service, timestamp now) const;
    /// All targets of a service whose entries are valid and that own their addresses, by id. They
    /// may be draining or busy.
    std::vector<const target*> registered(std::string_view service, timestamp now) const;
    /// True when `fn` is true for one of these targets; it is not asked for those after that one.
    template <class Predicate>
    bool any_registered(std::string_view service, timestamp now, Predicate&& fn) const
    {
        return std::ranges::any_of(m_rows,
                                   [&](const auto& it)
                                   {
                                       const row& r = it.second;
                                       return r.entry.service == service &&
                                              has_valid_entry(r, now) && fn(r.entry);
                                   });
    }
    /// True when any target has said something about itself in a response.
    bool has_notices() const { return !m_notices.empty(); }
    /// True when the target's entry or a notice says that it drains.
    bool is_draining(const target& it, timestamp now) const
    {
        // Each call asks for all targets, and there are seldom any notices.
        return it.is_draining || (!m_notices.empty() && m_notices.is_draining(it.id, now));
    }
    /// When a registered target accepts calls again that has asked for none; none when it has not.
    std::optional<timestamp> busy_until(const target& it, timestamp now) const
    {
        return m_notices.empty() ? std::nullopt : m_notices.busy_until(it.id, now);
    }
    /// The ids of all targets of a service, also of those that accept no calls.
    std::vector<std::string> ids_of(std::string_view service) const;
    /// The service of a target; empty when it is not known.
    const std::string& service_of(const std::string& id) const;
    /// True while this start of a target has an entry, or may have lost it only because the store
    /// was unreachable, and no newer entry claims its address.
    bool is_registered(const std::string& id, std::int64_t started_at, timestamp now) const;
    std::size_t size() const { return m_rows.size(); }

private:
    struct row
    {
        target entry;
        /// Set when the entry has expired: the target is not used from then on.
        std::optional<timestamp> kept_until;
        /// The target is not used before this time.
        timestamp held_until;
    };

    /// A start of a target whose entry was removed.
    struct removed_target
    {
        std::int64_t started_at = 0;
        timestamp at;
    };

    bool owns_address(const target& it) const;
    bool has_valid_entry(const row& r, timestamp now) const;
    bool is_in_service(const row& r, timestamp now) const;
    bool is_usable(const row& r, timestamp now) const;
    void drop_claim(const target& it);
    void drop(std::map<std::string, row>::iterator it, timestamp at);
    bool was_removed(const target& it) const;

    std::map<std::string, row> m_rows;
    std::map<std::string, removed_target> m_removed;
    target_notices m_notices;
    /// The targets that claim an address, by the positions of their entries; the last one owns it.
    std::map<std::string, std::set<std::pair<kv::position, std::string>>, std::less<>> m_claims;
};

} // namespace kumquatgap::fleet
