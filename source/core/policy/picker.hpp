#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// A target of the configuration that a call may be sent to.
struct candidate_target
{
    std::string name;
    std::int64_t slots = 1;
    /// 0 for the router's own data centre, higher for others.
    int distance = 0;
};

/// The load that a target reports.
struct load_report
{
    std::int64_t in_service = 0;
    std::int64_t waiting = 0;
    bool draining = false;
};

/// How an attempt ended, as far as the health of its target is concerned.
enum class attempt_result : std::uint8_t
{
    answered,
    refused,
    /// No connection, a lost connection, or silence.
    transport_failure
};

/// The thresholds and durations of a picker.
struct picker_options
{
    /// A target with open calls that sent nothing for this long gets no new calls.
    milliseconds silence_timeout{1000};
    /// The half-life with which a load report loses weight as it ages.
    milliseconds report_half_life{1000};
    /// A target is ejected for this long after a transport failure; the time doubles with each
    /// consecutive one.
    milliseconds base_ejection_time{1000};
    milliseconds max_ejection_time{30'000};
    /// A target that reported that it is draining gets no calls for this long.
    milliseconds drain_duration{60'000};
    /// The most targets that may be ejected at once, in percent.
    std::int64_t max_ejected_percent = 50;
    /// The calls per slot that nearer targets must reach before farther ones are used.
    double spillover_load = 1.5;
};

/// Picks the target of a call by the power of two choices over predicted load per slot.
class picker
{
public:
    explicit picker(picker_options options) : m_options{options} {}

    /// A call was sent to the target.
    void sent(const std::string& target, timestamp now);
    /// The target sent data on an open call.
    void heard(const std::string& target, timestamp now);
    /// A call at the target has ended.
    void ended(const std::string& target, attempt_result how, timestamp now);
    /// The target has reported its load.
    void reported(const std::string& target, const load_report& report, timestamp now);

    /// The name of the picked target; empty when none accepts calls. Targets in `tried` are left
    /// out.
    std::string pick(const std::vector<candidate_target>& candidates,
                     const std::set<std::string>& tried, timestamp now, std::mt19937_64& random);

    /// The predicted calls per slot at the target.
    double predicted_load(const candidate_target& it, timestamp now) const;

private:
    struct state
    {
        std::int64_t in_flight = 0;
        timestamp last_heard;
        load_report report;
        timestamp reported_at;
        timestamp draining_until;
        timestamp ejected_until;
        int consecutive_failures = 0;
    };

    bool is_usable(const std::string& target, timestamp now) const;
    bool is_ejected(const std::string& target, timestamp now) const;
    std::vector<const candidate_target*> usable(const std::vector<candidate_target>& candidates,
                                                const std::set<std::string>& tried,
                                                timestamp now) const;
    const candidate_target& less_loaded(const std::vector<const candidate_target*>& from,
                                        timestamp now, std::mt19937_64& random) const;

    picker_options m_options;
    std::map<std::string, state> m_states;
};

} // namespace kumquatgap::policy
