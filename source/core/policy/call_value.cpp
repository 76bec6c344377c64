#include "policy/call_value.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace kumquatgap::policy
{

/// The predicted work relative to the mean, within its bounds.
double call_value::relative_work(const waiting_call& call) const
{
    if (call.slot_time.count() == 0 || m_mean_slot_time.count() == 0)
        return 1;
    const auto ratio =
        static_cast<double>(call.slot_time.count()) / static_cast<double>(m_mean_slot_time.count());
    return std::clamp(ratio, 1 / m_options.max_work_ratio, m_options.max_work_ratio);
}

void call_value::record_end(const waiting_call& call, bool is_started)
{
    auto& it = m_ends[call.priority];
    if (it.all >= m_options.max_counted_calls)
        it = {it.all / 2, it.all_started / 2, it.long_ones / 2, it.long_started / 2};
    const double started = is_started ? 1 : 0;
    it.all += 1;
    it.all_started += started;
    if (relative_work(call) < m_options.max_work_ratio)
        return;
    it.long_ones += 1;
    it.long_started += started;
}

/// False while the long calls of a class are started much less often than all its calls.
bool call_value::weighs_work(int priority) const
{
    const auto found = m_ends.find(priority);
    if (found == m_ends.end())
        return true;
    const auto& it = found->second;
    return it.long_started * it.all >= m_options.min_long_share * it.all_started * it.long_ones;
}

double call_value::work(const waiting_call& call) const
{
    return weighs_work(call.priority) ? relative_work(call) : 1;
}

double call_value::rank(const waiting_call& call, timestamp now) const
{
    const bool is_on_time = now <= call.in_time_until;
    const auto value = std::pow(m_options.priority_value_ratio, -call.priority);
    const auto loss = value * (is_on_time ? 1 - m_options.late_fraction : m_options.late_fraction);
    if (m_options.order == value_order::value_per_work)
        return loss / work(call);
    using fractional_ms = std::chrono::duration<double, std::milli>;
    const auto ends_at = is_on_time ? call.in_time_until : call.deadline;
    const fractional_ms whole = ends_at - call.arrived;
    const fractional_ms left = ends_at - now;
    const auto remaining = whole.count() <= 0 ? 0 : std::clamp(left / whole, 0.0, 1.0);
    return loss / work(call) * std::exp(-remaining / m_options.ageing_fraction);
}

bool call_value::goes_before(const waiting_call& a, const waiting_call& b, timestamp now) const
{
    if (a.is_answered_in_part != b.is_answered_in_part)
        return a.is_answered_in_part;
    const bool a_in_time = now <= a.in_time_until;
    const bool b_in_time = now <= b.in_time_until;
    const bool by_priority = m_options.order == value_order::priority ||
                             m_options.order == value_order::priority_then_aged_value;
    if (by_priority && a_in_time != b_in_time)
        return a_in_time;
    if (by_priority && a.priority != b.priority)
        return a.priority < b.priority;
    if (m_options.order == value_order::priority)
        return a_in_time ? a.in_time_until < b.in_time_until : a.deadline < b.deadline;
    return rank(a, now) > rank(b, now);
}

} // namespace kumquatgap::policy
