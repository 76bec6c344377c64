#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <map>

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// A call that waits for a slot at a target.
struct waiting_call
{
    std::uint64_t id = 0;
    /// 0 is served first.
    int priority = 0;
    timestamp arrived;
    /// A call that starts by then is answered in time.
    timestamp in_time_until;
    /// A call that starts after this is not served, since its caller has left by its first
    /// response.
    timestamp deadline;
    /// The caller has got a part of the response, so the call can't be refused any more.
    bool is_answered_in_part = false;
    /// No target can have executed the call, so a refusal tells its caller that a retry is safe.
    bool is_certainly_not_executed = true;
    /// The predicted time for which the call occupies a slot; 0 when nothing is known.
    milliseconds slot_time{0};
};

/// In which order calls that compete for a slot start.
enum class value_order : std::uint8_t
{
    /// Calls on time before late ones, by priority and then by remaining time.
    priority,
    /// By the value that is lost by waiting, for each unit of predicted work.
    value_per_work,
    /// The same, and the rank of a call grows as its time runs out.
    aged_value_per_work,
    /// Calls on time before late ones, by priority and then by aged value per work.
    priority_then_aged_value
};

/// The parameters of a call_value.
struct call_value_options
{
    value_order order = value_order::priority_then_aged_value;
    /// The value of a call relative to that of a call with the next less urgent priority.
    double priority_value_ratio = 2;
    /// The part of its value that a late call keeps.
    double late_fraction = 0.35;
    /// The predicted work of a call counts as at most this multiple of the mean, and at least as
    /// the inverse. Hints of lengths are often wrong, and more weight would starve long calls.
    double max_work_ratio = 1.2;
    /// The rank of a call falls by a factor of e for each such fraction of its time that remains.
    double ageing_fraction = 0.25;
    /// Work is not weighed in a class while its long calls are started less than this fraction as
    /// often as all its calls.
    double min_long_share = 0.75;
    /// The counts of a class are halved when they reach this many calls.
    double max_counted_calls = 200;
};

/// Ranks waiting calls by what is lost when they wait, for each unit of predicted work (the rule
/// of apparent tardiness cost). A call on time loses a part of its value when it becomes late; a
/// late call loses the rest at its deadline.
class call_value
{
public:
    explicit call_value(call_value_options options = {}) : m_options{options} {}

    /// The mean time for which a call occupies a slot; 0 when nothing is known.
    void set_mean_slot_time(milliseconds it) { m_mean_slot_time = it; }
    /// Counts a call that has started or was refused.
    void record_end(const waiting_call& call, bool is_started);
    /// True if `a` should start before `b`. A strict weak order for any fixed time.
    bool goes_before(const waiting_call& a, const waiting_call& b, timestamp now) const;
    /// The value that is lost when the call waits, for each unit of predicted work.
    double rank(const waiting_call& call, timestamp now) const;

private:
    /// The ends of the calls of a class.
    struct end_counts
    {
        double all = 0, all_started = 0, long_ones = 0, long_started = 0;
    };

    double relative_work(const waiting_call& call) const;
    bool weighs_work(int priority) const;
    double work(const waiting_call& call) const;

    call_value_options m_options;
    milliseconds m_mean_slot_time{0};
    std::map<int, end_counts> m_ends;
};

} // namespace kumquatgap::policy
