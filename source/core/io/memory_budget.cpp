#include "io/memory_budget.hpp"

#include "common/metrics.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <iterator>

namespace kumquatgap::io
{

namespace
{

constexpr std::size_t bytes_per_mb = std::size_t{1} << 20;
/// Assumed where the settings name no memory; the buffers then get 496 MB.
constexpr std::size_t default_memory_mb = 1024;
/// For the program, its state and the buffers of the allocator; a gateway of a large deployment
/// has 10 to 25 MB without calls.
constexpr std::size_t program_memory_mb = 32;
/// Part of a host's memory for buffers if program_memory_mb leaves less.
constexpr std::size_t small_host_divisor = 4;
/// Part of the descriptors that is not for callers: targets, peers, the store, metrics, files.
constexpr std::size_t reserved_descriptors_divisor = 4;
/// Connections of probes and metrics beyond the limit.
constexpr std::size_t internal_connections = 32;
/// When a limit is exceeded, this part of it is freed beyond the excess, so that the connections
/// are searched once for many bytes.
constexpr std::size_t free_divisor = 8;
/// Part of the connections that is closed at once when there are too many.
constexpr std::size_t close_divisor = 32;
/// A caller makes progress when it has sent or read this many bytes. Single bytes don't count, so
/// that a slow sender can't keep its place with them.
constexpr std::uint64_t progress_step_bytes = 4096;
/// Holders up to this size are not closed for memory: an idle connection would free too little.
constexpr std::size_t min_closed_bytes = 4096;
constexpr double log_lines_per_second = 2;

std::size_t descriptor_limit()
{
    rlimit it{};
    constexpr std::size_t fallback = 1024;
    return ::getrlimit(RLIMIT_NOFILE, &it) == 0 ? it.rlim_cur : fallback;
}

std::size_t excess(std::size_t bytes, std::size_t limit)
{
    return bytes > limit ? bytes - limit + limit / free_divisor : 0;
}

} // namespace

memory_limits limits_of_host(std::int64_t memory_mb, std::int64_t max_fds)
{
    const auto memory = memory_mb > 0 ? static_cast<std::size_t>(memory_mb) : default_memory_mb;
    const auto left = memory > program_memory_mb ? (memory - program_memory_mb) / 2 : 0;
    auto descriptors = descriptor_limit();
    if (max_fds > 0)
        descriptors = std::min(descriptors, static_cast<std::size_t>(max_fds));
    return {std::max(left * bytes_per_mb, memory * bytes_per_mb / small_host_divisor),
            descriptors - descriptors / reserved_descriptors_divisor};
}

memory_charge::memory_charge(memory_budget& budget, charge_kind kind, std::size_t bytes)
    : m_budget{budget}, m_kind{kind}
{
    set(bytes);
}

memory_charge::~memory_charge()
{
    set(0);
}

void memory_charge::set(std::size_t bytes)
{
    m_budget.change(memory_budget::pool_of(m_kind), m_bytes, bytes);
    m_bytes = bytes;
}

bool memory_charge::try_set(std::size_t bytes)
{
    if (!m_budget.permits(m_kind, m_bytes, bytes))
        return false;
    set(bytes);
    return true;
}

memory_account::memory_account(memory_budget& budget, buffer_owner& owner)
    : m_budget{budget}, m_owner{owner}, m_index{budget.m_accounts.size()}, m_progressed_at{
                                                                               common::now()}
{
    budget.m_accounts.push_back(this);
    ++budget.m_connections;
}

memory_account::~memory_account()
{
    close();
    auto& all = m_budget.m_accounts;
    all[m_index] = all.back();
    all[m_index]->m_index = m_index;
    all.pop_back();
}

void memory_account::set(std::size_t bytes, connection_state state)
{
    if (m_is_closed)
        return;
    m_state = state;
    m_budget.change(memory_budget::pool::connection, m_bytes, bytes);
    m_bytes = bytes;
}

void memory_account::close()
{
    if (m_is_closed)
        return;
    // A connection that is serving is never chosen.
    set(0, connection_state::serving);
    m_is_closed = true;
    --m_budget.m_connections;
}

void memory_account::record_progress(std::uint64_t total_bytes, common::timestamp now)
{
    if (total_bytes - m_progress < progress_step_bytes)
        return;
    m_progress = total_bytes;
    m_progressed_at = now;
}

memory_budget::memory_budget()
    : m_limits{limits_of_host(0, 0)}, m_log{"memory_short", log_lines_per_second}
{
}

memory_budget::pool memory_budget::pool_of(charge_kind kind)
{
    if (kind == charge_kind::request)
        return pool::request;
    return kind == charge_kind::response ? pool::response : pool::forwarded;
}

bool memory_budget::permits(charge_kind kind, std::size_t from, std::size_t to) const
{
    if (to <= from)
        return true;
    const auto more = to - from;
    if (kind == charge_kind::response && m_responses + more > m_limits.response_bytes())
        return false;
    // Incomplete requests give way to a complete one, so they don't count here.
    if (kind == charge_kind::request && to > small_holder_bytes)
        return m_large_served - (from > small_holder_bytes ? from : 0) + to <=
               m_limits.large_bytes();
    return m_total + more <= m_limits.bytes;
}

void memory_budget::change(pool kind, std::size_t from, std::size_t to)
{
    if (from == to)
        return;
    m_total += to - from;
    const auto large_change =
        (to > small_holder_bytes ? to : 0) - (from > small_holder_bytes ? from : 0);
    if (kind == pool::response)
        m_responses += to - from;
    if (kind == pool::request)
        m_large_served += large_change;
    if (kind == pool::request || kind == pool::connection)
    {
        m_callers += to - from;
        m_large += large_change;
    }
    if (to > from)
        notify_if_short();
}

bool memory_budget::is_short() const
{
    return m_large > m_limits.large_bytes() || m_callers > m_limits.caller_bytes() ||
           m_total > m_limits.bytes;
}

void memory_budget::notify_if_short()
{
    if (is_short() && m_on_shortage && !std::exchange(m_is_notified, true))
        m_on_shortage();
}

bool memory_budget::can_hold_body(std::uint64_t length) const
{
    return length <= small_holder_bytes || m_large_served + length <= m_limits.large_bytes();
}

std::vector<buffer_holder> memory_budget::holders(common::timestamp now) const
{
    std::vector<buffer_holder> out;
    out.reserve(m_accounts.size());
    std::ranges::transform(m_accounts, std::back_inserter(out),
                           [now](const memory_account* it)
                           {
                               const auto stalled =
                                   std::chrono::duration_cast<common::milliseconds>(
                                       now - it->m_progressed_at);
                               return buffer_holder{it->m_bytes, it->m_state, stalled};
                           });
    return out;
}

void memory_budget::release(const std::vector<std::size_t>& chosen, shortage why,
                            common::timestamp now)
{
    if (chosen.empty())
        return;
    m_log.write(common::log_level::warn,
                why == shortage::memory ? "memory_short" : "too_many_connections",
                {{"closing", chosen.size()},
                 {"connections", m_connections},
                 {"bytes", m_total},
                 {"caller_bytes", m_callers},
                 {"limit", m_limits.bytes},
                 {"connection_limit", m_limits.connections}},
                now);
    (why == shortage::memory ? m_released_for_memory : m_closed_for_connections) +=
        std::ssize(chosen);
    // Connections are destroyed later, so the accounts stay valid while they are released.
    std::vector<memory_account*> accounts;
    std::ranges::transform(chosen, std::back_inserter(accounts),
                           [this](std::size_t i) { return m_accounts[i]; });
    std::ranges::for_each(accounts, [why](memory_account* it) { it->m_owner.release(why); });
}

void memory_budget::refresh_large_accounts()
{
    for (auto* it : m_accounts)
    {
        if (it->m_bytes > small_holder_bytes)
            it->m_owner.refresh_account();
    }
}

void memory_budget::release_memory(std::size_t bytes_to_free, std::size_t min_bytes,
                                   common::timestamp now)
{
    if (bytes_to_free > 0)
        release(choose_for_memory(holders(now), bytes_to_free, min_bytes), shortage::memory, now);
}

void memory_budget::reclaim(common::timestamp now)
{
    // A release changes accounts, which must not ask for another reclaim.
    m_is_notified = true;
    if (is_short())
        refresh_large_accounts();
    release_memory(excess(m_large, m_limits.large_bytes()), small_holder_bytes, now);
    release_memory(
        std::max(excess(m_callers, m_limits.caller_bytes()), excess(m_total, m_limits.bytes)),
        min_closed_bytes, now);
    m_log.report(now);
    m_is_notified = false;
}

bool memory_budget::admit_connection(bool is_internal, common::timestamp now)
{
    if (m_connections < m_limits.connections)
        return true;
    const auto count = std::max<std::size_t>(m_connections / close_divisor, 1);
    const auto chosen = choose_for_connections(holders(now), count);
    release(chosen, shortage::connections, now);
    m_log.report(now);
    if (!chosen.empty() ||
        (is_internal && m_connections < m_limits.connections + internal_connections))
        return true;
    ++m_closed_for_connections;
    return false;
}

void memory_budget::count_refusal(common::timestamp now)
{
    ++m_refused;
    m_log.write(common::log_level::warn, "memory_full",
                {{"bytes", m_total}, {"caller_bytes", m_callers}, {"limit", m_limits.bytes}}, now);
}

void memory_budget::write_metrics(common::metrics& out) const
{
    const auto set = [&](std::string_view name, std::size_t value)
    { out.set(name, static_cast<std::int64_t>(value)); };
    set("kqg_buffered_bytes", m_total);
    set("kqg_buffered_bytes_limit", m_limits.bytes);
    set("kqg_caller_connections", m_connections);
    set("kqg_caller_connections_limit", m_limits.connections);
    out.set("kqg_memory_refusals_total", m_refused);
    out.set("kqg_connections_closed_total{reason=\"memory\"}", m_released_for_memory);
    out.set("kqg_connections_closed_total{reason=\"connections\"}", m_closed_for_connections);
}

} // namespace kumquatgap::io
