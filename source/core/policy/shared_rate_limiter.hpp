#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// The requests that a gateway has sent to targets with a rate limit, by target.
using recent_sends = std::map<std::string, std::vector<timestamp>>;

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
};

/// Keeps the requests of all gateways to a target within the rate that the target has named. Load
/// pattern: overloaded targets, gateways with uneven and changing shares of the callers, so that
/// fixed shares would leave much of a small rate unused. Each gateway counts the sends of all,
/// which they broadcast; the share of a gateway that is not heard is left out.
class shared_rate_limiter
{
public:
    explicit shared_rate_limiter(shared_rate_limiter_options options = {}) : m_options{options} {}

    /// The targets that have a limit now. New ones begin with a used-up burst, since what was sent
    /// to them before was not counted.
    void set_limited(const std::set<std::string>& targets, timestamp now);
    void record_send(const std::string& target, timestamp now);
    /// Adds the sends that another gateway has reported to those that it reported before.
    void update_peer_sends(const std::string& gateway, recent_sends sends, timestamp now);
    /// True when a request may be sent to a target that accepts `per_second` requests from
    /// `gateways` gateways, this one included.
    bool may_send(const std::string& target, double per_second, std::size_t gateways,
                  timestamp now) const;
    /// This gateway's sends that still count at the given limits, for broadcast. Not empty while
    /// there is a limit, so that the others hear this gateway.
    recent_sends to_broadcast(const std::map<std::string, double>& limits, timestamp now) const;

private:
    struct peer
    {
        recent_sends sends;
        timestamp heard_at;
    };

    double lowest_rate() const;
    double usable_rate(double per_second, std::size_t gateways, timestamp now) const;
    std::vector<timestamp> all_sends(const std::string& target) const;

    shared_rate_limiter_options m_options;
    /// Has an entry for each target with a limit.
    recent_sends m_own;
    std::map<std::string, timestamp> m_limited_since;
    std::map<std::string, peer> m_peers;
};

} // namespace kumquatgap::policy
