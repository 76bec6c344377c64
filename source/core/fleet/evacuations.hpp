#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::fleet
{

using common::milliseconds;
using common::timestamp;

/// The data centres to which nothing is sent, as the operator's keys in the store say.
class evacuations
{
public:
    /// How long an evacuation stays in force whose key a restored store lacks, so that the operator
    /// can write it again.
    static constexpr milliseconds rewrite_grace{5000};

    /// The key of a data centre was written. True when its evacuation begins with that.
    bool begin(const std::string& data_centre, timestamp now);
    /// The operator has removed the key. True when this ends an evacuation.
    bool end(const std::string& data_centre);
    /// A restored store does not have the key: the evacuation ends after rewrite_grace.
    void lose(const std::string& data_centre, timestamp now);
    /// Removes and returns the data centres whose keys were lost and not written again in time.
    std::vector<std::string> take_expired(timestamp now);

    /// When the first of the evacuations with lost keys ends.
    std::optional<timestamp> next_end() const;

    /// True when nothing may be sent to targets of the data centre.
    bool covers(std::string_view data_centre) const
    {
        return !m_active.empty() && m_active.contains(data_centre);
    }
    bool empty() const { return m_active.empty(); }
    std::size_t size() const { return m_active.size(); }
    /// Rises when an evacuation begins or ends.
    std::uint64_t version() const { return m_version; }

    /// A request was passed to a target of the data centre although its evacuation is known.
    void record_send(std::string_view data_centre, timestamp now);
    /// The time from learning of the evacuation to the last request sent to the data centre, by
    /// data centre; 0 when none was sent.
    std::map<std::string, milliseconds> last_sends() const;

private:
    struct evacuation
    {
        timestamp learnt_at;
        /// Set once a restored store lacks the key.
        std::optional<timestamp> ends_at;
        std::optional<timestamp> last_send_at;
    };

    std::map<std::string, evacuation, std::less<>> m_active;
    std::uint64_t m_version = 0;
};

} // namespace kumquatgap::fleet
