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

/// A target as the picker sees it in the configuration.
struct candidate_target
{
    std::string name;
    std::int64_t slots = 1;
    /// 0 for the router's own data centre, more for others.
    int distance = 0;
};

/// A target's own report of its work.
struct load_report
{
    std::int64_t in_service = 0;
    std::int64_t waiting = 0;
    bool draining = false;
};

/// How an attempt at a target ended, as far as the target's health goes.
enum class attempt_end : std::uint8_t
{
    answered,
    refused,
    /// No connection, a cut connection, or silence.
    broken
};

/// The times and caps that a picker goes by.
struct picker_options
{
    /// A target with open calls that sent nothing for this long gets no new work.
    milliseconds silence{1000};
    /// Reports count for less as they age, with this half-life.
    milliseconds report_half_life{1000};
    /// A target that broke off is left alone for this long, doubled with every further break.
    milliseconds first_ejection{1000};
    milliseconds longest_ejection{30'000};
    /// A target that said that it is leaving is left alone for this long.
    milliseconds drain_memory{60'000};
    /// The most targets that may be ejected at once, in percent.
    std::int64_t max_ejected_percent = 50;
    /// Work per slot that must stand at the nearer targets before farther ones are used.
    double spill_load = 1.5;
};

/// Picks the target of a call by the power of two choices over predicted load per slot.
class picker
{
public:
    explicit picker(picker_options options) : m_options{options} {}

    /// A call was sent to the target.
    void sent(const std::string& target, timestamp now);
    /// Anything was heard from the target on an open call.
    void heard(const std::string& target, timestamp now);
    /// A call at the target has ended.
    void ended(const std::string& target, attempt_end how, timestamp now);
    /// The target has reported its load.
    void reported(const std::string& target, const load_report& report, timestamp now);

    /// The name of the picked target; empty when none takes work. Targets in `tried` are left out.
    std::string pick(const std::vector<candidate_target>& candidates,
                     const std::set<std::string>& tried, timestamp now, std::mt19937_64& random);

    /// Work per slot that the target is expected to have.
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
        int breaks_in_a_row = 0;
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
