#pragma once

#include "common/clock.hpp"
#include "fleet/target_notices.hpp"

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

/// A back end as it describes itself in the store.
struct target
{
    /// Names one start of the target; another start mostly has another name.
    std::string id;
    std::string service;
    std::string address;
    std::string data_centre;
    int slots = 1;
    bool is_leaving = false;
    /// The store's revision of the entry; the higher one of two is the later one.
    std::int64_t revision = 0;
    /// When this start of the target was, in Unix milliseconds; 0 when it does not say.
    std::int64_t started_at = 0;
};

/// The targets that are known, by their entries in the store. Load pattern: entries that lapse
/// together while the store is away, of targets that go on serving. Such targets are kept until
/// they have had time to write their entries again.
///
/// An address belongs to whoever wrote its entry last: after a restart of all targets, their old
/// entries stand beside the new ones until their leases end.
class target_table
{
public:
    /// How long a lapsed entry may take to come back once the store serves again.
    static constexpr milliseconds lapse_grace{2000};
    /// No target serves for longer once its entry is gone: it may have left, and then serves for
    /// two seconds more (the users' drainMs), of which a call needs some for its way.
    static constexpr milliseconds longest_kept{1700};

    /// An entry was written.
    void put(target it);
    /// An entry is gone. `store_back_at` is set if it may have lapsed for want of the store: when
    /// the store came back, or now while it is away.
    void remove(const std::string& id, timestamp now, std::optional<timestamp> store_back_at);

    /// What answers at the target's address says that it is another one. The entry names nobody
    /// until it is written again.
    void found_wrong(const std::string& id);

    /// A target has said that it leaves, here or to another gateway. True when that is news.
    bool found_leaving(const std::string& id, std::int64_t started_at, notice_source from,
                       timestamp now);
    /// A target wants nothing for some time. True when it wanted some before.
    bool found_busy(const std::string& id, std::int64_t started_at, milliseconds time,
                    timestamp now);
    /// The targets that said here, lately, that they leave.
    leaving_targets leaving_to_tell(timestamp now) const { return m_notices.to_tell(now); }
    /// When the first of a service's targets takes work again, if all that would take some have
    /// asked to be left alone; none otherwise.
    std::optional<timestamp> all_busy_until(std::string_view service, timestamp now) const;
    /// Forgets notices that no longer hold.
    void prune(timestamp now);

    /// A target that takes new work: neither leaving, busy nor gone, and the last at its address.
    const target* find_usable(const std::string& id, timestamp now) const;
    /// All targets of a service that take new work, in the order of their ids.
    std::vector<const target*> usable(std::string_view service, timestamp now) const;
    std::size_t size() const { return m_rows.size(); }

private:
    struct row
    {
        target it;
        /// Set when the entry has lapsed: the target counts as gone from then on.
        std::optional<timestamp> gone_at;
    };

    bool stays(const row& r, timestamp now) const;
    bool is_usable(const row& r, timestamp now) const;
    void drop_claim(const target& it);

    std::map<std::string, row> m_rows;
    target_notices m_notices;
    /// The targets that claim an address, by the revisions of their entries; the last one has it.
    std::map<std::string, std::set<std::pair<std::int64_t, std::string>>, std::less<>> m_claims;
};

} // namespace kumquatgap::fleet
