#pragma once

#include "common/clock.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
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
};

/// The targets that are known, by their entries in the store. Load pattern: entries that lapse
/// together while the store is away, of targets that go on serving. Such targets are kept until
/// they have had time to write their entries again.
class target_table
{
public:
    /// How long a lapsed entry may take to come back once the store serves again.
    static constexpr milliseconds lapse_grace{2000};

    /// An entry was written.
    void put(target it);
    /// An entry is gone. `store_was_away` tells that it may have lapsed for want of the store.
    void remove(const std::string& id, timestamp now, bool store_was_away);

    /// A target that takes new work: neither leaving nor gone.
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

    static bool is_usable(const row& r, timestamp now);

    std::map<std::string, row> m_rows;
};

} // namespace kumquatgap::fleet
