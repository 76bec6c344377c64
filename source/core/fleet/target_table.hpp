#pragma once

#include "common/clock.hpp"

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

    /// A target that takes new work: neither leaving nor gone, and the last at its address.
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

    bool is_usable(const row& r, timestamp now) const;
    void drop_claim(const target& it);

    std::map<std::string, row> m_rows;
    /// The targets that claim an address, by the revisions of their entries; the last one has it.
    std::map<std::string, std::set<std::pair<std::int64_t, std::string>>, std::less<>> m_claims;
};

} // namespace kumquatgap::fleet
