#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// The requests that a gateway has sent to targets with a rate limit, by target.
using recent_sends = std::map<std::string, std::vector<timestamp>>;

/// A limit on the requests of all gateways together to one target.
struct send_limit
{
    /// The mean rate that is kept as far as the gateways hear each other.
    double per_second = 0;
    /// The most requests in any second, also while no gateway hears another; none if only the mean
    /// rate counts.
    std::optional<double> most_in_a_second = std::nullopt;

    bool operator==(const send_limit&) const = default;
};

/// By target id.
using send_limits = std::map<std::string, send_limit>;

/// The limit of a target that is cold: `per_second` is the rate that it can handle. The most in a
/// second leaves room for the requests of gateways that do not hear each other, and the target may
/// crash beyond it.
send_limit cold_limit(double per_second);

/// The limit that keeps both.
send_limit stricter(const send_limit& a, const send_limit& b);

/// The thresholds and durations of a shared_rate_limiter.
struct shared_rate_limiter_options
{
    /// Requests that may follow each other without a pause. A limit is an average, and calls arrive
    /// unevenly.
    double burst = 2;
    /// A target with a lower limit still gets a request this often, since only its answers show
    /// that the limit has changed.
    milliseconds max_pause{10'000};
    /// How long sends are remembered: until even the lowest rate has made up for a burst.
    milliseconds memory{20'000};
    /// A gateway that was not heard for this long may be sending unseen, and keeps its share.
    milliseconds peer_lifetime{1500};
    /// The time for which a hard limit on a second is counted. Requests arrive closer to each other
    /// than they were sent when the earlier one waits for its connection.
    milliseconds hard_window{1200};
    /// A gateway that is no longer registered may only have lost its entry, and keeps its part of a
    /// hard limit for this long.
    milliseconds gateway_memory{600'000};
};

/// Keeps the requests of all gateways to a target within the rate that the target has named, or
/// that a cold target can handle. Load pattern: overloaded or cold targets, gateways with uneven
/// and changing shares of the callers, so that fixed shares would leave much of a small rate
/// unused. Each gateway counts the sends of all, which they broadcast; the share of a gateway that
/// is not heard is left out.
///
/// Counting can't keep a limit that must hold in each second: sends of the last moment are not
/// known, and none are when messages are lost. For such a limit each gateway also stays within a
/// fixed part of it.
class shared_rate_limiter
{
public:
    /// `started_at` is when the process started, which has forgotten what it sent before.
    explicit shared_rate_limiter(shared_rate_limiter_options options = {},
                                 timestamp started_at = {})
        : m_options{options}, m_started_at{started_at}
    {
    }

    /// The targets that have a limit now. New ones begin with a used-up burst, since what was sent
    /// to them before was not counted.
    void set_limited(const std::set<std::string>& targets, timestamp now);
    /// The targets that may get a hard limit at any moment, so that the sends before it count. A
    /// hard limit leaves no request for other targets.
    void set_watched(const std::set<std::string>& targets, timestamp now);
    /// The names of this gateway and of the others that are registered.
    void set_gateways(const std::string& own, const std::vector<std::string>& others,
                      timestamp now);
    void record_send(const std::string& target, timestamp now);
    /// Adds the sends that another gateway has reported to those that it reported before.
    void update_peer_sends(const std::string& gateway, recent_sends sends, timestamp now);
    /// True when a request may be sent to a target that accepts `per_second` requests from
    /// `gateways` gateways, this one included.
    bool may_send(const std::string& target, double per_second, std::size_t gateways,
                  timestamp now) const;
    /// The same for a limit that may be hard.
    bool may_send(const std::string& target, const send_limit& limit, std::size_t gateways,
                  timestamp now) const;
    /// The most requests that this gateway sends to a target within `hard_window`, out of a hard
    /// limit of `most`. The parts of all gateways add up to at most the limit, with one gateway
    /// that the others do not know yet.
    std::size_t hard_part(const std::string& target, double most) const;
    /// The requests to a limited target in the last second, from all gateways, as far as known.
    std::size_t sent_in_a_second(const std::string& target, timestamp now) const;
    /// This gateway's sends that still count at the given limits, for broadcast. Not empty while
    /// there is a limit, so that the others hear this gateway.
    recent_sends to_broadcast(const std::map<std::string, double>& limits, timestamp now) const;

private:
    struct peer
    {
        recent_sends sends;
        timestamp heard_at;
    };

    bool keeps_hard_limit(const std::string& target, double most, timestamp now) const;
    double lowest_rate() const;
    double usable_rate(double per_second, std::size_t gateways, timestamp now) const;
    std::vector<timestamp> all_sends(const std::string& target) const;

    shared_rate_limiter_options m_options;
    timestamp m_started_at;
    std::string m_own_name;
    /// The names of the other gateways, and when each was last registered.
    std::map<std::string, timestamp> m_gateways;
    /// The sends within `hard_window` to targets that may get a hard limit.
    recent_sends m_watched;
    /// Has an entry for each target with a limit.
    recent_sends m_own;
    std::map<std::string, timestamp> m_limited_since;
    std::map<std::string, peer> m_peers;
};

} // namespace kumquatgap::policy
