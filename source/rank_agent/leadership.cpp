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
/// Orders take this long to arrive, so the lead ends this much before the lease.
constexpr milliseconds lease_margin{600};
constexpr milliseconds step_period{500};
/// The first step is put off by up to this, so that the group's agents do not all campaign at once.
constexpr double first_step_spread_ms = 450;
/// The boot clock runs on while a machine sleeps and the steady clock does not.
constexpr std::int64_t most_clock_drift_ms = 200;

std::int64_t clock_ms(clockid_t id)
{
    constexpr std::int64_t ms_per_s = 1000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    timespec t{};
    ::clock_gettime(id, &t);
    return t.tv_sec * ms_per_s + t.tv_nsec / ns_per_ms;
}

/// From 0 to below 1, by the address alone.
double spread_of(const std::string& address)
{
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(common::hash64(address) % steps) / static_cast<double>(steps);
}

/// How far the boot clock is ahead of the steady one.
std::int64_t boot_offset_ms()
{
    return clock_ms(CLOCK_BOOTTIME) - clock_ms(CLOCK_MONOTONIC);
}

} // namespace

leadership::leadership(io::event_loop& loop, kv::store& store, std::string key, std::string address,
                       experts::group_view& view)
    : m_loop{loop}, m_store{store}, m_key{std::move(key)}, m_address{std::move(address)},
      m_view{view}, m_spread{spread_of(m_address)}
{
}

void leadership::start()
{
    const milliseconds delay{static_cast<std::int64_t>(m_spread * first_step_spread_ms)};
    m_timer = m_loop.after(delay,
                           [this]
                           {
                               m_timer = m_loop.every(step_period, [this] { step(); });
                               step();
                           });
}

void leadership::stop()
{
    lost("another group");
    m_timer.reset();
}

std::optional<experts::fencing_token> leadership::token(timestamp now) const
{
    const bool has_slept = boot_offset_ms() - m_boot_offset_ms > most_clock_drift_ms;
    if (m_token == 0 || now >= m_valid_until || has_slept)
        return std::nullopt;
    return m_token;
}

void leadership::step()
{
    if (m_token != 0 && !token(common::now()))
        lost("the lease may have ended");
    const bool is_silent = m_view.is_silent(common::now(), m_spread);
    if (!is_silent)
        m_doubts_old_reads = false;
    if (m_is_asking || (m_token == 0 && !is_silent))
        return;
    m_is_asking = true;
    if (m_token != 0)
        renew();
    else
        look();
}

/// Reads who leads. An old answer costs little once: a campaign that fails, or a moment in which a
/// leader is told that has gone. The next one may be as old, so it is not asked for.
void leadership::look()
{
    m_is_asking = true;
    const auto done = [this](const common::result<std::optional<kv::key_value>>& answer)
    {
        m_is_asking = false;
        if (answer)
            leader_read(answer.value());
    };
    if (std::exchange(m_doubts_old_reads, true))
        m_store.get(m_key, done);
    else
        m_store.get_any_age(m_key, done);
}

void leadership::leader_read(const std::optional<kv::key_value>& it)
{
    if (!it)
        return campaign(0);
    // The leader was an earlier run of this process, or this one, whose answer was lost. It leads
    // no more, so its lease need not run out.
    if (it->value == m_address)
        return campaign(it->modified);
    m_view.store_named(it->value);
}

void leadership::campaign(kv::revision replaced)
{
    m_is_asking = true;
    m_view.forget_leader();
    const auto asked_at = common::now();
    m_store.grant_lease(lease_ttl,
                        [this, asked_at, replaced](const auto& answer)
                        {
                            m_is_asking = false;
                            if (answer)
                                write_key(answer.value(), asked_at, replaced);
                        });
}

void leadership::write_key(kv::lease_id lease, timestamp asked_at, kv::revision replaced)
{
    m_is_asking = true;
    m_boot_offset_ms = boot_offset_ms();
    m_store.write(
        {{{{m_key, replaced}}, {{m_key, m_address, lease}}}},
        [this, lease, asked_at](const auto& answer)
        {
            m_is_asking = false;
            if (!answer)
                return;
            if (!answer.value().front().applied)
                return look();
            m_lease = lease;
            m_token = answer.value().front().as_of;
            m_valid_until = asked_at + lease_ttl - lease_margin;
            m_view.store_named(m_address);
            common::log(common::log_level::info, "lease_won", {{"key", m_key}, {"token", m_token}});
        });
}

void leadership::renew()
{
    const auto asked_at = common::now();
    m_store.renew_lease(m_lease,
                        [this, asked_at](const auto& answer)
                        {
                            m_is_asking = false;
                            if (answer)
                                m_valid_until = asked_at + lease_ttl - lease_margin;
                            else if (answer.error().code == common::result_code::not_found)
                                lost("the lease has ended");
                        });
}

void leadership::lost(std::string_view why)
{
    if (m_token == 0)
        return;
    common::log(common::log_level::warn, "lease_lost",
                {{"key", m_key}, {"token", m_token}, {"reason", why}});
    m_token = 0;
    m_view.forget_leader();
}

} // namespace kumquatgap::rank_agent
