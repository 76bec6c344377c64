#include "rank_agent/leadership.hpp"

#include "common/hash.hpp"
#include "common/log.hpp"

#include <ctime>
#include <utility>

namespace kumquatgap::rank_agent
{

using common::milliseconds;
using common::timestamp;

namespace
{

constexpr milliseconds lease_ttl{2000};
/// Orders take this long to arrive, so leadership ends this much earlier than the lease.
constexpr milliseconds lease_margin{600};
constexpr milliseconds step_period{500};
/// Maximum delay of the first step, so that the agents of a group do not all campaign at once.
constexpr double max_first_step_delay_ms = 450;
/// The boot clock advances while a machine is suspended; the steady clock does not.
constexpr std::int64_t max_clock_drift_ms = 200;

std::int64_t clock_ms(clockid_t id)
{
    constexpr std::int64_t ms_per_s = 1000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    timespec t{};
    ::clock_gettime(id, &t);
    return t.tv_sec * ms_per_s + t.tv_nsec / ns_per_ms;
}

/// From 0 to below 1, derived from the address only.
double jitter_of(const std::string& address)
{
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(common::hash64(address) % steps) / static_cast<double>(steps);
}

/// How far the boot clock is ahead of the steady clock, in milliseconds.
std::int64_t boot_offset_ms()
{
    return clock_ms(CLOCK_BOOTTIME) - clock_ms(CLOCK_MONOTONIC);
}

} // namespace

leadership::leadership(io::event_loop& loop, kv::store& store, std::string key, std::string address,
                       experts::group_view& view)
    : m_loop{loop}, m_store{store}, m_key{std::move(key)}, m_address{std::move(address)},
      m_view{view}, m_jitter{jitter_of(m_address)}
{
}

void leadership::start()
{
    const milliseconds delay{static_cast<std::int64_t>(m_jitter * max_first_step_delay_ms)};
    m_timer = m_loop.after(delay,
                           [this]
                           {
                               m_timer = m_loop.every(step_period, [this] { step(); });
                               step();
                           });
}

void leadership::stop()
{
    step_down("the rank has joined another group");
    m_timer.reset();
}

std::optional<experts::fencing_token> leadership::token(timestamp now) const
{
    const bool was_suspended = boot_offset_ms() - m_boot_offset_ms > max_clock_drift_ms;
    if (m_token == 0 || now >= m_valid_until || was_suspended)
        return std::nullopt;
    return m_token;
}

void leadership::step()
{
    if (m_token != 0 && !token(common::now()))
        step_down("the lease may have ended");
    const bool is_leader_silent = m_view.is_leader_silent(common::now(), m_jitter);
    if (!is_leader_silent)
        m_needs_fresh_read = false;
    if (m_is_request_pending)
        return;
    if (m_token == 0 && (!is_leader_silent || may_former_leader_be_active(common::now())))
        return;
    if (m_token != 0 && !has_lost_lease_to_restore())
        return renew();
    if (m_token != 0)
        m_needs_fresh_read = true;
    read_leader();
}

bool leadership::has_lost_lease_to_restore() const
{
    return m_lease.granted_in != m_store.current_era();
}

/// True while a leader of the era before may still hold a lease that the store no longer knows. A
/// process that has just started can't tell when that era ended; the first era has none before it.
bool leadership::may_former_leader_be_active(timestamp now) const
{
    return m_store.current_era() > 1 && now < m_store.era_since() + lease_ttl;
}

/// Reads who leads. A stale result does little harm once: a failed campaign, or a short time with
/// the address of a former leader. The next stale read could return the same value, so it is
/// followed by a fresh one.
void leadership::read_leader()
{
    m_is_request_pending = true;
    const auto done = [this](const common::result<std::optional<kv::key_value>>& response)
    {
        m_is_request_pending = false;
        if (response)
            on_leader_read(response.value());
    };
    if (std::exchange(m_needs_fresh_read, true))
        m_store.get(m_key, done);
    else
        m_store.get_stale(m_key, done);
}

void leadership::on_leader_read(const std::optional<kv::key_value>& it)
{
    if (m_token == 0 && may_former_leader_be_active(common::now()))
        return;
    if (!it)
        return campaign(0);
    // The key was written by an earlier run of this process, or by this run if the response was
    // lost. That leadership has ended, so there is no need to wait until its lease expires.
    if (it->value == m_address)
        return campaign(it->mod_revision);
    if (m_token == 0)
        m_view.set_stored_leader(it->value);
}

void leadership::campaign(kv::revision expected)
{
    m_is_request_pending = true;
    if (m_token == 0)
        m_view.clear_leader();
    const auto requested_at = common::now();
    kv::transaction it{
        .guards = {{m_key, expected}}, .writes = {}, .read_in = m_store.current_era()};
    m_store.grant_lease(lease_ttl,
                        [this, requested_at, it = std::move(it)](const auto& response)
                        {
                            m_is_request_pending = false;
                            if (response)
                                write_key(response.value(), requested_at, it);
                        });
}

void leadership::write_key(kv::lease lease, timestamp requested_at, kv::transaction it)
{
    m_is_request_pending = true;
    const auto boot_offset = boot_offset_ms();
    it.writes = {{m_key, m_address, lease}};
    m_store.write({std::move(it)},
                  [this, lease, requested_at, boot_offset](const auto& response)
                  {
                      m_is_request_pending = false;
                      if (!response)
                          return;
                      if (!response.value().front().applied)
                          return read_leader();
                      m_lease = lease;
                      m_boot_offset_ms = boot_offset;
                      const auto& written = response.value().front();
                      m_token = experts::make_fencing_token({written.in_era, written.as_of});
                      m_valid_until = requested_at + lease_ttl - lease_margin;
                      m_view.set_stored_leader(m_address);
                      common::log(common::log_level::info, "lease_won",
                                  {{"key", m_key}, {"token", m_token}, {"era", written.in_era}});
                  });
}

void leadership::renew()
{
    m_is_request_pending = true;
    const auto requested_at = common::now();
    m_store.renew_lease(m_lease,
                        [this, requested_at](const auto& response)
                        {
                            m_is_request_pending = false;
                            if (response)
                                m_valid_until = requested_at + lease_ttl - lease_margin;
                            else if (has_lost_lease_to_restore())
                                read_leader();
                            else if (response.error().code == common::result_code::not_found)
                                step_down("the lease has ended");
                        });
}

void leadership::step_down(std::string_view reason)
{
    if (m_token == 0)
        return;
    common::log(common::log_level::warn, "lease_lost",
                {{"key", m_key}, {"token", m_token}, {"reason", reason}});
    m_token = 0;
    m_view.clear_leader();
}

} // namespace kumquatgap::rank_agent
