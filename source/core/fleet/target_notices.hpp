#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace kumquatgap::fleet
{

using common::milliseconds;
using common::timestamp;

/// Draining targets by id, with the start of the target that reported it, in Unix milliseconds; 0
/// when targets do not report when they started.
using draining_targets = std::map<std::string, std::int64_t>;

/// The requests per second that a target accepts from all gateways together, as its responses say;
/// none when they no longer name a rate.
struct rate_limit
{
    std::int64_t started_at = 0;
    std::optional<double> per_second;
    timestamp heard_at;

    bool operator==(const rate_limit&) const = default;
};

/// By target id.
using rate_limits = std::map<std::string, rate_limit>;

/// Who received a notice from the target.
enum class notice_source : std::uint8_t
{
    /// This gateway, in a response.
    answer,
    /// Another gateway.
    peer
};

/// What targets say about themselves in their responses, which takes precedence over their entries
/// in the store. Load pattern: a release or a scale-in while the store is unreachable or lags, so
/// that a draining target still has an entry as ready; an overloaded target that asks for no calls
/// for a time.
///
/// A notice outlives the entry, which may expire and be written again, and ends when the target
/// restarts.
class target_notices
{
public:
    /// The lifetime of a draining notice from a target that does not report when it started: longer
    /// than a target serves after its notice, and shorter than the time until an id is reused.
    static constexpr milliseconds unknown_start_lifetime{60'000};
    /// The lifetime of a draining notice while its target has no entry, in case the entry is
    /// written again.
    static constexpr milliseconds missing_entry_lifetime{600'000};
    /// A notice is broadcast to the other gateways for this long, since datagrams get lost and a
    /// gateway may be unreachable for a time.
    static constexpr milliseconds broadcast_duration{30'000};
    /// A limit that no response has named for this long is forgotten.
    static constexpr milliseconds rate_limit_lifetime{60'000};
    /// The most limits in one broadcast, since it has to fit a datagram. More than one gateway
    /// hears between two broadcasts.
    static constexpr std::size_t max_broadcast_limits = 64;
    /// The longest time without calls that a target can ask for; longer requests are shortened to
    /// it.
    static constexpr milliseconds max_busy_time{3'600'000};

    /// The target accepts no new calls, as it or another gateway reports. True when this was not
    /// known.
    bool note_draining(const std::string& id, std::int64_t started_at, notice_source from,
                       timestamp now);
    /// The target asks this gateway for no calls for `time`. True when it accepted calls before.
    bool note_busy(const std::string& id, std::int64_t started_at, milliseconds time,
                   timestamp now);
    /// What a response of the target said about its rate limit, unless something newer is known.
    /// True when the limit has changed.
    bool note_rate_limit(const std::string& id, const rate_limit& limit, notice_source from);
    /// The requests per second that a target accepts; none without a limit.
    std::optional<double> rate_limit_of(const std::string& id) const;
    /// The targets that have named a limit, with these limits.
    std::map<std::string, double> limited() const;
    /// What this gateway has heard itself and lately, for broadcast; the newest if there is more.
    rate_limits limits_to_broadcast(timestamp now) const;
    /// An entry states when the target started; notices of an earlier start end.
    void entry_updated(const std::string& id, std::int64_t started_at);

    bool empty() const { return m_notices.empty(); }
    bool is_draining(const std::string& id, timestamp now) const;
    /// When the target accepts calls again; none when it does now.
    std::optional<timestamp> busy_until(const std::string& id, timestamp now) const;
    /// The draining targets whose notices this gateway received itself and lately, for broadcast.
    /// Notices from other gateways are not forwarded, since gateways would otherwise refresh each
    /// other's notices forever.
    draining_targets draining_to_broadcast(timestamp now) const;
    /// Removes notices that no longer apply; `has_entry` returns whether a target has an entry.
    void prune(const std::function<bool(const std::string&)>& has_entry, timestamp now);

private:
    struct notice
    {
        std::int64_t started_at = 0;
        std::optional<timestamp> draining_since;
        /// When a response last reported it.
        std::optional<timestamp> heard_at;
        timestamp busy_until;
        std::optional<double> per_second;
        /// When any gateway, and this one, last received a response that said so; the start of the
        /// clock for never.
        timestamp limit_heard_at;
        timestamp limit_heard_here_at;
    };

    static bool is_draining(const notice& it, timestamp now);
    notice& notice_of(const std::string& id, std::int64_t started_at);

    std::map<std::string, notice> m_notices;
};

} // namespace kumquatgap::fleet
