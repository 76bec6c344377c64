#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
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

/// How long a target is still cold after a start, as it has said; `until` is not later than
/// `heard_at` when it has said that it is no longer cold.
struct cold_notice
{
    std::int64_t started_at = 0;
    timestamp until;
    timestamp heard_at;

    bool operator==(const cold_notice&) const = default;
};

/// By target id.
using cold_notices = std::map<std::string, cold_notice>;

/// The time during which a target is cold, as far as it is known.
struct cold_period
{
    timestamp since;
    timestamp until;
};

/// Who received a notice from the target.
enum class notice_source : std::uint8_t
{
    /// This gateway, in a response or in the target's entry.
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
    /// The most cold targets in one broadcast, for the same reason.
    static constexpr std::size_t max_broadcast_cold = 64;
    /// What a target has said about its cold time is remembered for this long.
    static constexpr milliseconds cold_notice_lifetime{60'000};
    /// The longest time for which a target can be cold; longer ones are shortened to it.
    static constexpr milliseconds max_cold_time{600'000};
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
    /// How long the target is still cold, as it has said, unless something newer is known. Another
    /// gateway's notice never ends the cold time early: it may have been delayed, and the cold time
    /// ends by itself. True when the target has become cold, or is no longer cold.
    bool note_cold(const std::string& id, const cold_notice& it, notice_source from);
    /// False when no target is cold. Costs nothing while none has been.
    bool has_cold(timestamp now) const { return now < m_cold_until; }
    /// The cold time of a target; none when it is not cold.
    std::optional<cold_period> cold_period_of(const std::string& id, timestamp now) const;
    /// The cold targets.
    std::set<std::string> cold(timestamp now) const;
    /// The cold times that this gateway has heard itself, for broadcast; the newest if there are
    /// more than fit.
    cold_notices cold_to_broadcast(timestamp now) const;
    /// Changes when this gateway hears itself that a target has become cold.
    std::uint64_t cold_version() const { return m_cold_version; }
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
        cold_period cold;
        timestamp cold_heard_at;
        bool is_cold_heard_here = false;
    };

    static bool is_draining(const notice& it, timestamp now);
    notice& notice_of(const std::string& id, std::int64_t started_at);

    std::map<std::string, notice> m_notices;
    /// No target is cold from then on.
    timestamp m_cold_until;
    std::uint64_t m_cold_version = 0;
};

} // namespace kumquatgap::fleet
