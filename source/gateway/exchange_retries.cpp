#include "gateway/exchange.hpp"

#include <cmath>

/// The part of an exchange that decides whether the call is sent to another target.
namespace kumquatgap::gateway
{

using fleet::attempt_outcome;

namespace
{

/// A call with less time left than this is not retried.
constexpr milliseconds min_time_for_retry{60};

} // namespace

bool exchange::has_retry_target(attempt_outcome last)
{
    const auto eligible = m_gateway.eligibility().eligible(m_service, m_regions, common::now());
    if (eligible.empty() && placement_refusal())
        return false;
    auto next = fleet::next_target_after(last, eligible, m_tried);
    if (next == fleet::next_target::none && !m_left.empty())
    {
        std::erase_if(m_tried, [this](const auto& it) { return m_left.contains(it); });
        m_left.clear();
        next = fleet::next_target_after(last, eligible, m_tried);
    }
    if (next == fleet::next_target::any)
        m_tried.clear();
    return next != fleet::next_target::none;
}

std::optional<common::result_code> exchange::placement_refusal() const
{
    return m_gateway.eligibility().refusal(m_service, m_regions, common::now());
}

bool exchange::claim_retry(attempt_outcome last)
{
    const auto now = common::now();
    if (m_deadline - now < min_time_for_retry || !m_attempts.may_retry())
        return false;
    // A call that was not sent put no load on the target, so it needs no retry from the budget.
    if (last == attempt_outcome::not_sent)
        return true;
    const bool is_granted = m_gateway.retry_budget().take(m_service, now);
    // A stalled call asks again at each check of its timeouts.
    if (is_granted || !m_retry_refused)
        log_retry_decision(is_granted, last, now);
    m_retry_refused = !is_granted;
    return is_granted;
}

void exchange::log_retry_decision(bool is_granted, attempt_outcome last, timestamp now) const
{
    const auto budget = m_gateway.retry_budget().state(m_service, now);
    m_gateway.failure_log().write(common::log_level::info,
                                  is_granted ? "retry_granted" : "retry_refused",
                                  {{"id", m_caller.id},
                                   {"service", m_service},
                                   {"after", fleet::name_of(last)},
                                   {"own_retries", budget.own_retries},
                                   {"own_calls", budget.own_calls},
                                   {"retries", budget.retries},
                                   {"calls", budget.calls},
                                   {"unreported", std::llround(budget.unreported)},
                                   {"allowed", std::llround(budget.allowed)},
                                   {"gateways", budget.gateways},
                                   {"heard", budget.heard},
                                   {"known_ms", budget.known.count()}},
                                  now);
}

} // namespace kumquatgap::gateway
