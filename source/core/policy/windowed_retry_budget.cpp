#include "policy/windowed_retry_budget.hpp"

#include "policy/load_broadcast_interval.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace kumquatgap::policy
{

namespace
{

/// The number of times in an ordered list that are not before `from`.
std::int64_t count_since(const std::deque<timestamp>& times, timestamp from)
{
    return std::ranges::distance(std::ranges::lower_bound(times, from), times.end());
}

} // namespace

void windowed_retry_budget::drop_old(std::deque<timestamp>& times, timestamp now) const
{
    while (!times.empty() && !is_in_window(times.front(), now))
        times.pop_front();
}

void windowed_retry_budget::record_call(const std::string& service, timestamp now)
{
    auto& it = m_services[service];
    drop_old(it.calls, now);
    it.calls.push_back(now);
}

bool windowed_retry_budget::take(const std::string& service, timestamp now)
{
    if (state(service, now).left() < 1)
        return false;
    auto& it = m_services[service];
    drop_old(it.retries, now);
    it.retries.push_back(now);
    m_has_update = true;
    return true;
}

/// A slot's retries count until its end has left the window, its calls until its start has.
windowed_retry_budget::sums
windowed_retry_budget::sum_of(const run_usage& it, const std::string& service, timestamp now) const
{
    const auto found = it.services.find(service);
    if (found == it.services.end())
        return {};
    sums out;
    for (const auto& slot : found->second)
    {
        out.calls += is_in_window(slot.start, now) ? slot.calls : 0;
        out.retries += is_in_window(slot.start + it.slot_length, now) ? slot.retries : 0;
    }
    return out;
}

retry_budget_state windowed_retry_budget::state(const std::string& service, timestamp now) const
{
    retry_budget_state out;
    out.gateways = gateway_count(now);
    out.heard = 1 + static_cast<std::size_t>(std::ranges::count_if(
                        m_reporters, [&](const auto& it) { return is_heard(it.first, now); }));
    out.known = known(now);
    const auto seat = m_limits.extra / static_cast<double>(out.gateways);
    if (const auto found = m_services.find(service); found != m_services.end())
    {
        const auto& own = found->second;
        out.own_calls = count_since(own.calls, now - m_limits.window);
        out.own_retries = count_since(own.retries, now - m_limits.window);
        const auto unreported = count_since(own.retries, now - report_lag());
        out.unreported = static_cast<double>(unreported) * static_cast<double>(out.heard - 1);
    }
    out.calls = out.own_calls;
    out.retries = out.own_retries;
    for (const auto& [run, usage] : m_runs)
    {
        const auto it = sum_of(usage, service, now);
        if (is_over(run) || is_live(run, now))
        {
            out.calls += it.calls;
            out.retries += it.retries;
            continue;
        }
        // It may still use its own share, unseen. Only what it used beyond that counts here.
        const auto share = allowed_for(static_cast<double>(it.calls), seat);
        out.retries +=
            std::max<std::int64_t>(0, std::llround(static_cast<double>(it.retries) - share));
    }
    const auto extra = seat * static_cast<double>(out.heard);
    const auto calls = static_cast<double>(out.calls);
    out.allowed = out.known >= m_limits.window ? allowed_for(calls, extra)
                                               : allowed_unknown(calls, extra, out.known);
    return out;
}

/// What may be used while retries in the window are not known: the margin alone, since all of the
/// rest may have been used, and of `extra` in proportion to the time since the start, so that
/// further starts grant no more.
double windowed_retry_budget::allowed_unknown(double calls, double extra, milliseconds known) const
{
    const auto passed =
        static_cast<double>(known.count()) / static_cast<double>(m_limits.window.count());
    return (1 - m_limits.used_fraction) * (m_limits.ratio * calls + extra * passed);
}

double windowed_retry_budget::allowed_for(double calls, double extra) const
{
    return m_limits.used_fraction * (m_limits.ratio * calls + extra);
}

milliseconds windowed_retry_budget::report_period() const
{
    return std::max(min_report_period, load_broadcast_interval(m_peers.size()));
}

milliseconds windowed_retry_budget::reporter_lifetime() const
{
    return std::max(min_reporter_lifetime, 3 * report_period());
}

/// For a time after the start the others may not have missed a gateway that ended just before.
bool windowed_retry_budget::is_asking(timestamp now) const
{
    return known(now) < m_limits.window ||
           now - m_started_at <= reporter_lifetime() + 2 * report_period();
}

/// How long it takes at most until the others have learnt of a retry.
milliseconds windowed_retry_budget::report_lag() const
{
    return delivery_time + 2 * load_broadcast_interval(m_peers.size());
}

bool windowed_retry_budget::has_settled(timestamp since, timestamp now) const
{
    const auto settle_time = std::max(min_settle_time, 3 * load_broadcast_interval(m_peers.size()));
    const auto has_answered = [&](const std::string& peer)
    {
        const auto it = m_reporters.find(peer);
        return it != m_reporters.end() && it->second.has_answered;
    };
    const bool have_all_answered = !m_peers.empty() && std::ranges::all_of(m_peers, has_answered);
    return have_all_answered || known(now) >= m_limits.window || now - since >= settle_time;
}

milliseconds windowed_retry_budget::known(timestamp now) const
{
    return std::min(m_limits.window, std::max(milliseconds{0}, now - m_known_since));
}

bool windowed_retry_budget::is_heard(const std::string& gateway, timestamp now) const
{
    const auto it = m_reporters.find(gateway);
    return it != m_reporters.end() && now - it->second.heard_at <= reporter_lifetime();
}

bool windowed_retry_budget::is_live(const gateway_run& it, timestamp now) const
{
    return is_heard(it.gateway, now) && m_reporters.at(it.gateway).run == it.number;
}

/// True when a later run of the same gateway is known.
bool windowed_retry_budget::is_over(const gateway_run& it) const
{
    if (it.gateway == m_self.gateway)
        return true;
    const auto found = m_reporters.find(it.gateway);
    return found != m_reporters.end() && found->second.run != it.number;
}

/// This gateway, those that are registered, and those that were heard in the window.
std::size_t windowed_retry_budget::gateway_count(timestamp now) const
{
    const auto others = std::ranges::count_if(
        m_reporters, [&](const auto& it)
        { return is_in_window(it.second.heard_at, now) && !m_peers.contains(it.first); });
    return 1 + m_peers.size() + static_cast<std::size_t>(others);
}

void windowed_retry_budget::merge(const std::string& gateway, const retry_report& from,
                                  timestamp now)
{
    if (gateway == m_self.gateway)
        return;
    const auto before = m_reporters.find(gateway);
    const bool has_answered =
        from.known_since || (before != m_reporters.end() && before->second.run == from.run &&
                             before->second.has_answered);
    m_reporters.insert_or_assign(gateway, reporter{from.run, now, from.is_asking, has_answered});
    m_runs.insert_or_assign(gateway_run{gateway, from.run}, from.own);
    m_has_update = m_has_update || from.is_asking;
    for (const auto& [run, usage] : from.others)
        add_relayed_run(run, usage, now);
    if (from.known_since)
        m_known_since = std::min(m_known_since, *from.known_since);
}

/// Of two reports on a run, the one with more retries is the later one.
void windowed_retry_budget::add_relayed_run(const gateway_run& it, const run_usage& usage,
                                            timestamp now)
{
    if (it == m_self || is_live(it, now))
        return;
    const auto [known, is_new] = m_runs.try_emplace(it, usage);
    if (!is_new && retries_of(usage) > retries_of(known->second))
        known->second = usage;
}

std::int64_t windowed_retry_budget::retries_of(const run_usage& it)
{
    std::int64_t out = 0;
    for (const auto& [service, slots] : it.services)
        out = std::accumulate(slots.begin(), slots.end(), out,
                              [](std::int64_t sum, const usage_slot& slot)
                              { return sum + slot.retries; });
    return out;
}

void windowed_retry_budget::forget_old(timestamp now)
{
    const auto is_old = [&](const run_usage& it)
    {
        return std::ranges::all_of(it.services,
                                   [&](const auto& entry)
                                   {
                                       return entry.second.empty() ||
                                              !is_in_window(
                                                  entry.second.front().start + it.slot_length, now);
                                   });
    };
    std::erase_if(m_runs, [&](const auto& it) { return is_old(it.second); });
    std::erase_if(m_reporters,
                  [&](const auto& it) { return !is_in_window(it.second.heard_at, now); });
    for (auto& [service, it] : m_services)
    {
        drop_old(it.calls, now);
        drop_old(it.retries, now);
    }
}

bool windowed_retry_budget::is_asked(timestamp now) const
{
    return std::ranges::any_of(m_reporters, [&](const auto& it)
                               { return it.second.is_asking && is_heard(it.first, now); });
}

bool windowed_retry_budget::is_report_needed(timestamp now) const
{
    return is_asked(now) || is_asking(now) ||
           std::ranges::any_of(m_services,
                               [](const auto& it) { return !it.second.retries.empty(); }) ||
           std::ranges::any_of(m_runs, [](const auto& it) { return retries_of(it.second) > 0; });
}

std::optional<retry_report> windowed_retry_budget::next_report(timestamp now)
{
    forget_old(now);
    if (m_peers.empty() || !is_report_needed(now) ||
        (!m_has_update && now - m_reported_at < report_period()))
        return std::nullopt;
    m_has_update = false;
    m_reported_at = now;
    retry_report out{
        .run = m_self.number, .is_asking = is_asking(now), .own = {.slot_length = slot_length()}};
    for (const auto& [service, it] : m_services)
    {
        if (!it.calls.empty() || !it.retries.empty())
            out.own.services.emplace(service, slots_of(it, now));
    }
    if (!is_asked(now))
        return out;
    out.others = runs_to_relay(now);
    if (out.others.size() <= max_relayed_runs)
        out.known_since = m_known_since;
    while (out.others.size() > max_relayed_runs)
        out.others.erase(std::prev(out.others.end()));
    return out;
}

std::map<gateway_run, run_usage> windowed_retry_budget::runs_to_relay(timestamp now) const
{
    std::map<gateway_run, run_usage> out;
    for (const auto& [run, it] : m_runs)
    {
        if (!is_live(run, now) && retries_of(it) > 0)
            out.emplace(run, it);
    }
    return out;
}

milliseconds windowed_retry_budget::slot_length() const
{
    return std::max(milliseconds{1},
                    m_limits.window / static_cast<milliseconds::rep>(slots_per_window));
}

service_usage windowed_retry_budget::slots_of(const counts& it, timestamp now) const
{
    const auto length = slot_length();
    const auto newest = now - now.time_since_epoch() % length;
    service_usage out(slots_per_window + 1);
    for (std::size_t i = 0; i < out.size(); ++i)
        out[i].start = newest - length * static_cast<milliseconds::rep>(i);
    const auto slot_at = [&](timestamp at) -> usage_slot&
    {
        const auto n = at >= newest ? 0 : (newest - at + length - milliseconds{1}) / length;
        return out[std::min(static_cast<std::size_t>(n), out.size() - 1)];
    };
    for (const auto at : it.calls)
        ++slot_at(at).calls;
    for (const auto at : it.retries)
        ++slot_at(at).retries;
    return out;
}

} // namespace kumquatgap::policy
