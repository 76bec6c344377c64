#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// A target that a call may be placed at.
struct placement_candidate
{
    std::string id;
    /// The most calls that all gateways together place on it.
    double limit = 1;
    /// 0 for the gateway's own data centre, higher for others.
    int distance = 0;
};

/// What an attempt indicates about the health of its target.
enum class target_health : std::uint8_t
{
    /// Nothing, as when the caller has left.
    unknown,
    good,
    /// The target refused the call or answered with an error.
    failed,
    /// No connection, a lost connection, or silence.
    transport_failure
};

/// The thresholds and durations of a least_load_picker.
struct least_load_picker_options
{
    /// A target is ejected after this many consecutive failures.
    int failures_to_eject = 3;
    milliseconds base_ejection_time{500};
    milliseconds max_ejection_time{4000};
    /// The most candidates that may be ejected at once, in percent.
    std::size_t max_ejected_percent = 50;
    /// The loads that a peer has broadcast count for this long.
    milliseconds peer_load_lifetime{1500};
    /// The smoothing factor of the mean response time: the weight of the newest response.
    double response_time_weight = 0.2;
    /// A target whose mean response time is at least this many times that of the fastest is slow:
    /// its load is multiplied by the ratio of the two times.
    double slow_ratio = 2.0;
};

/// Picks the target with the lowest load from this gateway and its peers. Load pattern: several
/// gateways with uneven shares of the callers in front of targets with few slots; single targets
/// that turn slow, fail, or fail for some callers only.
class least_load_picker
{
public:
    explicit least_load_picker(least_load_picker_options options) : m_options{options} {}

    /// A call was sent to the target; `call_load` is in the unit of placement_candidate::limit.
    void sent(const std::string& target, double call_load);
    /// A call has ended. `response_time` counts for good ends only.
    void ended(const std::string& target, double call_load, target_health health,
               milliseconds response_time, timestamp now);
    /// Replaces the loads that a peer has placed on the targets.
    void update_peer_loads(const std::string& gateway, std::map<std::string, double> loads,
                           timestamp now);
    /// The loads that this gateway has placed on the targets, by target.
    const std::map<std::string, double>& own_loads() const { return m_own; }
    /// The load on the target from all gateways.
    double load(const std::string& target, timestamp now) const;

    /// The target with the lowest load relative to its limit among those below their limits; empty
    /// when there is none. `draw`, a random number in [0, 1), decides between equal targets, so
    /// that gateways do not all start with the same one.
    std::string pick(const std::vector<placement_candidate>& candidates,
                     const std::set<std::string>& tried, timestamp now, double draw) const;
    bool is_ejected(const std::string& target, timestamp now) const;
    /// The mean response time of good ends over the targets; 0 before the first one.
    milliseconds mean_response_time() const;
    /// The response time to expect of the fastest of the targets, ignoring those without a good
    /// end; 0 when no target has one.
    milliseconds expected_response_time(const std::vector<std::string>& targets) const;
    /// A call that has taken this many times the expected response time is on a slow target.
    double slow_ratio() const { return m_options.slow_ratio; }

private:
    struct health_state
    {
        int consecutive_failures = 0;
        int consecutive_ejections = 0;
        timestamp ejected_until;
        /// The smoothed response time, and that of the last response; 0 before the first one.
        double response_ms = 0;
        double last_response_ms = 0;
    };
    struct peer_loads
    {
        std::map<std::string, double> loads;
        timestamp heard_at;
    };

    std::vector<const placement_candidate*>
    healthy(const std::vector<placement_candidate>& candidates, const std::set<std::string>& tried,
            timestamp now) const;
    double slowness(const std::string& target, double fastest_ms) const;

    least_load_picker_options m_options;
    std::map<std::string, double> m_own;
    std::map<std::string, peer_loads> m_peers;
    std::map<std::string, health_state> m_health;
};

} // namespace kumquatgap::policy
