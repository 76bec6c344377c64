#include "rank_agent/pace_notice.hpp"

#include "common/log.hpp"
#include "common/text.hpp"
#include "fleet/target_pace.hpp"

#include <cmath>

namespace kumquatgap::rank_agent
{

namespace
{

/// A pace below this changes no decision.
constexpr double least_pace = 1.15;
/// A pace is told again when it has changed by this part of itself.
constexpr double least_change = 0.15;
constexpr common::milliseconds lease_ttl{5000};
/// A lease is renewed twice in its time; a call that failed is tried again as late.
constexpr common::milliseconds call_period{2000};

} // namespace

pace_notice::pace_notice(kv::store& store, const std::string& target)
    : m_store{store}, m_key{common::concat(fleet::pace_prefix, target)}
{
}

void pace_notice::update(double pace, common::timestamp now)
{
    const double wanted = pace < least_pace ? 1 : pace;
    const bool is_news = std::abs(wanted - m_told) >= least_change * m_told;
    const bool has_key = m_lease != 0;
    if (m_is_asking || (!is_news && !has_key) || now - m_asked_at < call_period)
        return;
    m_asked_at = now;
    m_is_asking = true;
    if (!is_news)
        return renew();
    if (wanted == 1)
        return remove();
    write(wanted);
}

void pace_notice::write(double pace)
{
    const auto put = [this, pace](kv::lease_id lease)
    {
        m_store.write(
            {{{}, {{m_key, fleet::pace_to_text(pace), lease}}}},
            [this, pace, lease](const auto& answer)
            {
                m_is_asking = false;
                if (!answer)
                    return common::log(common::log_level::warn, "pace_not_told",
                                       {{"key", m_key}, {"detail", answer.error().detail}});
                m_lease = lease;
                m_told = pace;
                common::log(common::log_level::info, "pace_told",
                            {{"key", m_key}, {"pace_thousandths", fleet::pace_to_text(pace)}});
            });
    };
    if (m_lease != 0)
        return put(m_lease);
    m_store.grant_lease(lease_ttl,
                        [this, put](const auto& answer)
                        {
                            if (answer)
                                return put(answer.value());
                            m_is_asking = false;
                            common::log(common::log_level::warn, "pace_not_told",
                                        {{"key", m_key}, {"detail", answer.error().detail}});
                        });
}

void pace_notice::renew()
{
    m_store.renew_lease(m_lease,
                        [this](const auto& answer)
                        {
                            m_is_asking = false;
                            if (answer || answer.error().code != common::result_code::not_found)
                                return;
                            m_lease = 0;
                            m_told = 1;
                        });
}

void pace_notice::remove()
{
    m_store.write({{{}, {{m_key, std::nullopt, 0}}}},
                  [this](const auto& answer)
                  {
                      m_is_asking = false;
                      if (!answer)
                          return common::log(common::log_level::warn, "pace_not_told",
                                             {{"key", m_key}, {"detail", answer.error().detail}});
                      m_lease = 0;
                      m_told = 1;
                      common::log(common::log_level::info, "pace_told",
                                  {{"key", m_key}, {"pace_thousandths", fleet::pace_to_text(1)}});
                  });
}

} // namespace kumquatgap::rank_agent
