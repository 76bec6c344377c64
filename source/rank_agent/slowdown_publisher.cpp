#include "rank_agent/slowdown_publisher.hpp"

#include "common/log.hpp"
#include "common/text.hpp"
#include "fleet/target_slowdown.hpp"

#include <cmath>

namespace kumquatgap::rank_agent
{

namespace
{

/// A smaller slowdown changes no decision.
constexpr double min_slowdown = 1.15;
/// A slowdown is published again if it has changed by at least this fraction of itself.
constexpr double min_relative_change = 0.15;
constexpr common::milliseconds lease_ttl{5000};
/// A lease is renewed twice in its lifetime; a failed call is retried after the same time.
constexpr common::milliseconds request_interval{2000};

} // namespace

slowdown_publisher::slowdown_publisher(kv::store& store, const std::string& target)
    : m_store{store}, m_key{common::concat(fleet::slowdown_prefix, target)}
{
}

void slowdown_publisher::update(double slowdown, common::timestamp now)
{
    const double wanted = slowdown < min_slowdown ? 1 : slowdown;
    const bool has_changed = std::abs(wanted - m_published) >= min_relative_change * m_published;
    const bool has_key = static_cast<bool>(m_lease);
    if (m_is_request_pending || (!has_changed && !has_key) ||
        now - m_requested_at < request_interval)
        return;
    m_requested_at = now;
    m_is_request_pending = true;
    if (!has_changed)
        return renew();
    if (wanted == 1)
        return remove();
    write(wanted);
}

void slowdown_publisher::write(double slowdown)
{
    const auto put = [this, slowdown](kv::lease lease)
    {
        m_store.write(
            {{{}, {{m_key, fleet::slowdown_to_text(slowdown), lease}}}},
            [this, slowdown, lease](const auto& response)
            {
                m_is_request_pending = false;
                if (!response)
                    return common::log(common::log_level::warn, "pace_not_told",
                                       {{"key", m_key}, {"detail", response.error().detail}});
                m_lease = lease;
                m_published = slowdown;
                common::log(
                    common::log_level::info, "pace_told",
                    {{"key", m_key}, {"pace_thousandths", fleet::slowdown_to_text(slowdown)}});
            });
    };
    if (m_lease)
        return put(m_lease);
    m_store.grant_lease(lease_ttl,
                        [this, put](const auto& response)
                        {
                            if (response)
                                return put(response.value());
                            m_is_request_pending = false;
                            common::log(common::log_level::warn, "pace_not_told",
                                        {{"key", m_key}, {"detail", response.error().detail}});
                        });
}

void slowdown_publisher::renew()
{
    m_store.renew_lease(m_lease,
                        [this](const auto& response)
                        {
                            m_is_request_pending = false;
                            if (response || response.error().code != common::result_code::not_found)
                                return;
                            m_lease = {};
                            m_published = 1;
                            m_requested_at = {};
                        });
}

void slowdown_publisher::remove()
{
    m_store.write({{{}, {{m_key, std::nullopt}}}},
                  [this](const auto& response)
                  {
                      m_is_request_pending = false;
                      if (!response)
                          return common::log(common::log_level::warn, "pace_not_told",
                                             {{"key", m_key}, {"detail", response.error().detail}});
                      m_lease = {};
                      m_published = 1;
                      common::log(
                          common::log_level::info, "pace_told",
                          {{"key", m_key}, {"pace_thousandths", fleet::slowdown_to_text(1)}});
                  });
}

} // namespace kumquatgap::rank_agent
