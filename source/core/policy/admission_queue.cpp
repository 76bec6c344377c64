#include "policy/admission_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquatgap::policy
{

namespace
{

constexpr double ms_per_s = 1000;

milliseconds fraction_of(milliseconds d, double fraction)
{
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(d.count()) * fraction)};
}

} // namespace

void admission_queue::add(const waiting_call& call, timestamp now)
{
    if (m_calls.empty())
        m_waiting_since = now;
    m_calls.insert_or_assign(call.id, call);
}

bool admission_queue::is_start_predicted(const waiting_call& call, double usual_rate,
                                         timestamp now) const
{
    const auto rate = std::max(measured_start_rate(now).value_or(0), usual_rate);
    const auto ahead = std::ranges::count_if(m_calls, [&](const auto& it)
                                             { return goes_before(it.second, call, now); });
    const auto max_wait = fraction_of(call.deadline - now, m_options.max_predicted_wait_fraction);
    return static_cast<double>(ahead + 1) * ms_per_s <=
           rate * static_cast<double>(max_wait.count());
}

void admission_queue::requeue(const waiting_call& call, timestamp now)
{
    add(call, now);
}

void admission_queue::resume(timestamp now)
{
    m_halted_slots.reset();
    m_waiting_since = now;
    m_starts.clear();
}

std::optional<double> admission_queue::measured_start_rate(timestamp now) const
{
    const auto measured = std::min(m_options.rate_window,
                                   std::chrono::duration_cast<milliseconds>(now - m_waiting_since));
    if (m_calls.empty() || measured < m_options.min_rate_sample)
        return std::nullopt;
    const auto n =
        std::ranges::count_if(m_starts, [&](timestamp at) { return now - at <= measured; });
    return static_cast<double>(n) * ms_per_s / static_cast<double>(measured.count());
}

std::optional<double> admission_queue::start_rate(timestamp now) const
{
    auto rate = measured_start_rate(now);
    if (!rate && m_assumed_rate > 0 && now < m_assumed_until)
        rate = m_assumed_rate;
    return rate ? std::optional{std::max(*rate, m_options.min_start_rate)} : std::nullopt;
}

void admission_queue::scale_capacity(double factor, double usual_rate, timestamp now)
{
    const bool has_shrunk = factor < 1;
    m_assumed_rate = has_shrunk ? usual_rate : 0;
    m_assumed_until = now + m_options.rate_window;
    if (!has_shrunk)
    {
        m_waiting_since = now;
        return m_starts.clear();
    }
    std::deque<timestamp> kept;
    double due = 0;
    for (const auto at : m_starts)
    {
        due += factor;
        if (due < 1)
            continue;
        due -= 1;
        kept.push_back(at);
    }
    m_starts = std::move(kept);
}

/// The start rate that decides which calls can still be served in a shutdown; none while it is
/// not known. Later in the shutdown only starts that were measured count.
std::optional<double> admission_queue::shutdown_start_rate(const remaining_time& left,
                                                           timestamp now) const
{
    if (now >= left.patience_ends_at)
        return measured_start_rate(now);
    return m_halted_slots ? std::nullopt : start_rate(now);
}

milliseconds admission_queue::retry_after(timestamp now, double draw) const
{
    const auto rate = start_rate(now);
    // A group takes a second or more to re-form.
    if (m_halted_slots)
        return late_retry_after(draw);
    const auto drain_ms = rate ? static_cast<double>(m_calls.size()) / *rate * ms_per_s : 0;
    const auto lowest = static_cast<double>(m_options.min_retry_after.count());
    const auto highest = static_cast<double>(m_options.max_retry_after.count());
    // Retries are spread over a period as long as the predicted drain time of the queue.
    const auto ms = std::clamp(drain_ms, lowest, highest / 2) * (1 + draw);
    return milliseconds{static_cast<std::int64_t>(ms)};
}

milliseconds admission_queue::late_retry_after(double draw) const
{
    return fraction_of(m_options.max_retry_after, (1 + draw) / 2);
}

std::optional<milliseconds> admission_queue::offer(const waiting_call& call, timestamp now,
                                                   double draw)
{
    if (limits_late_calls())
        m_late_calls.record_arrival(call.priority, now);
    const auto excess = limits_late_calls() ? m_options.max_halted_excess : 1;
    if (m_halted_slots && m_calls.size() >= *m_halted_slots * excess)
        return retry_after(now, draw);
    if (limits_late_calls() && m_late_calls.is_active())
    {
        add(call, now);
        return std::nullopt;
    }
    const auto ahead = std::ranges::count_if(m_calls, [&](const auto& it)
                                             { return it.second.priority <= call.priority; });
    const auto rate = m_halted_slots ? std::nullopt : start_rate(now);
    const auto wait_ms = rate ? static_cast<double>(ahead) / *rate * ms_per_s : 0;
    const auto max_wait =
        fraction_of(call.deadline - call.arrived, m_options.max_predicted_wait_fraction);
    if (wait_ms > static_cast<double>(max_wait.count()))
        return retry_after(now, draw);
    add(call, now);
    return std::nullopt;
}

bool admission_queue::goes_before(const waiting_call& a, const waiting_call& b, timestamp now) const
{
    if (m_options.policy == admission_policy::value)
        return m_value.goes_before(a, b, now);
    const bool a_in_time = now <= a.in_time_until;
    const bool b_in_time = now <= b.in_time_until;
    if (a_in_time != b_in_time)
        return a_in_time;
    if (a.priority != b.priority)
        return a.priority < b.priority;
    return a_in_time ? a.in_time_until < b.in_time_until : a.deadline < b.deadline;
}

std::optional<std::uint64_t>
admission_queue::next(timestamp now, const std::function<bool(std::uint64_t)>& may_start) const
{
    const bool may_start_late = !limits_late_calls() || m_late_calls.may_start(now);
    const waiting_call* best = nullptr;
    for (const auto& [id, it] : m_calls)
    {
        if (!may_start_late && use_of(it, now) == slot_use::late)
            continue;
        if ((best == nullptr || goes_before(it, *best, now)) && may_start(id))
            best = &it;
    }
    return best == nullptr ? std::nullopt : std::optional{best->id};
}

void admission_queue::started(std::uint64_t id, timestamp now)
{
    const auto it = m_calls.find(id);
    if (it != m_calls.end())
    {
        if (limits_late_calls())
            record_start(it->second, now);
        m_calls.erase(it);
    }
    m_starts.push_back(now);
    while (now - m_starts.front() > m_options.rate_window)
        m_starts.pop_front();
}

slot_use admission_queue::use_of(const waiting_call& call, timestamp now) const
{
    if (call.is_answered_in_part)
        return slot_use::resumed;
    return now <= call.in_time_until ? slot_use::on_time : slot_use::late;
}

/// A call that has not started by then is refused.
timestamp admission_queue::latest_start(const waiting_call& call) const
{
    return call.arrived + fraction_of(call.deadline - call.arrived, m_options.max_wait_fraction);
}

std::vector<const waiting_call*> admission_queue::in_order(timestamp now) const
{
    std::vector<const waiting_call*> out;
    std::ranges::transform(m_calls, std::back_inserter(out),
                           [](const auto& it) { return &it.second; });
    std::ranges::stable_sort(out, [&](const auto* a, const auto* b)
                             { return goes_before(*a, *b, now); });
    return out;
}

void admission_queue::record_start(const waiting_call& call, timestamp now)
{
    m_late_calls.started(call.id, use_of(call, now));
    if (!call.is_answered_in_part)
        m_value.record_end(call, true);
}

/// Removes calls that are refused.
void admission_queue::erase_refused(const std::vector<std::uint64_t>& ids)
{
    for (const auto id : ids)
    {
        const auto it = m_calls.find(id);
        m_value.record_end(it->second, false);
        m_calls.erase(it);
    }
}

/// True if the call starts late when `ahead` others start before it.
bool admission_queue::is_predicted_late(const waiting_call& call, std::size_t ahead,
                                        timestamp now) const
{
    const auto use = use_of(call, now);
    if (use != slot_use::on_time)
        return use == slot_use::late;
    // No start rate is known during a halt.
    if (m_halted_slots)
        return false;
    const auto rate = std::max(measured_start_rate(now).value_or(0), m_late_calls.start_rate());
    // More urgent calls that arrive later go before this one as well.
    const auto left = std::max(rate - m_late_calls.urgent_arrival_rate(call.priority, now),
                               rate * m_options.min_rate_fraction);
    const auto wait_ms = static_cast<double>(ahead) / left * ms_per_s;
    return wait_ms * m_options.certain_wait_fraction >
           static_cast<double>((call.in_time_until - now).count());
}

std::vector<std::uint64_t> admission_queue::take_unstartable_late(timestamp now)
{
    if (!limits_late_calls() || !m_late_calls.is_active())
        return {};
    std::vector<std::uint64_t> out;
    std::size_t on_time = 0;
    std::size_t late = 0;
    for (const auto* it : in_order(now))
    {
        const bool is_late = is_predicted_late(*it, on_time, now);
        if (is_late && it->is_certainly_not_executed &&
            m_late_calls.predicted_start(late, now) > latest_start(*it))
            out.push_back(it->id);
        else
            ++(is_late ? late : on_time);
    }
    erase_refused(out);
    return out;
}

std::vector<std::uint64_t> admission_queue::take_excess(timestamp now)
{
    if (!limits_late_calls() || !m_halted_slots)
        return {};
    std::vector<std::uint64_t> out;
    std::size_t kept = 0;
    for (const auto* it : in_order(now))
    {
        if (kept >= *m_halted_slots && it->is_certainly_not_executed && !it->is_answered_in_part)
            out.push_back(it->id);
        else
            ++kept;
    }
    erase_refused(out);
    return out;
}

std::vector<std::uint64_t> admission_queue::take_expired(timestamp now)
{
    std::vector<std::uint64_t> out;
    for (const auto& [id, it] : m_calls)
    {
        if (now > latest_start(it))
            out.push_back(id);
    }
    erase_refused(out);
    return out;
}

std::vector<std::uint64_t> admission_queue::take_unservable(timestamp available_at)
{
    std::vector<std::uint64_t> out;
    for (const auto& [id, it] : m_calls)
    {
        if (it.deadline < available_at)
            out.push_back(id);
    }
    for (const auto id : out)
        m_calls.erase(id);
    return out;
}

std::vector<std::uint64_t> admission_queue::take_unfinishable(const remaining_time& left,
                                                              timestamp now)
{
    const auto rate = shutdown_start_rate(left, now);
    if (!rate)
        return {};
    std::vector<waiting_call> in_order;
    std::ranges::transform(m_calls, std::back_inserter(in_order),
                           [](const auto& it) { return it.second; });
    std::ranges::stable_sort(in_order,
                             [&](const auto& a, const auto& b) { return goes_before(a, b, now); });
    const auto time_to_start = std::chrono::duration<double, std::milli>(left.ends_at - now) -
                               std::chrono::duration<double, std::milli>(left.run_time);
    const auto servable = std::max(0.0, time_to_start.count() / ms_per_s * *rate);
    std::vector<std::uint64_t> out;
    for (std::size_t i = 0; i < in_order.size(); ++i)
    {
        if (static_cast<double>(i) >= servable && !in_order[i].is_answered_in_part)
            out.push_back(in_order[i].id);
    }
    for (const auto id : out)
        m_calls.erase(id);
    return out;
}

} // namespace kumquatgap::policy
