#include "gateway/gateway.hpp"

#include "common/log.hpp"
#include "gateway/exchange.hpp"

/// The part of a gateway that ends it in order.
namespace kumquatgap::gateway
{

namespace
{

/// New connections arrive until two readiness probes of the load balancer have failed; after that
/// callers reuse open connections. Calls after this fraction of the grace period are refused, since
/// too little of it would remain for a long stream.
constexpr double accepting_fraction_of_grace = 0.35;
/// Calls that are still open after this fraction of the grace period are ended with an answer.
constexpr double last_answer_fraction_of_grace = 0.95;
/// The process exits after this fraction of the grace period, even if callers have not read all.
constexpr double exit_fraction_of_grace = 0.975;
/// New connections may still arrive for this long after SIGTERM.
constexpr milliseconds settle_time{2500};
constexpr milliseconds idle_check_period{50};

milliseconds fraction_of(milliseconds d, double fraction)
{
    return milliseconds{static_cast<std::int64_t>(static_cast<double>(d.count()) * fraction)};
}

} // namespace

void gateway::begin_shutdown()
{
    if (std::exchange(m_is_shutting_down, true))
        return;
    m_shutdown_started_at = common::now();
    common::log(common::log_level::info, "shutdown_begun",
                {{"open_calls", static_cast<std::int64_t>(m_exchanges.size())}});
    m_server.close_after_replies();
    m_idle_timer = m_loop.every(idle_check_period, [this] { stop_when_idle(); });
}

void gateway::stop_when_idle()
{
    const auto now = common::now();
    const auto passed = now - m_shutdown_started_at;
    m_refuses_calls = passed > fraction_of(m_settings.grace, accepting_fraction_of_grace);
    refuse_unfinishable_calls(now);
    if (passed > fraction_of(m_settings.grace, last_answer_fraction_of_grace))
        end_open_calls();
    // Callers keep idle connections open until the process exits, so these are not waited for.
    const bool is_idle = m_exchanges.empty() && !m_server.is_busy();
    const bool has_settled = m_refuses_calls && passed > settle_time;
    if ((is_idle && has_settled) || passed > fraction_of(m_settings.grace, exit_fraction_of_grace))
        m_loop.stop();
}

/// Refuses the queued calls that can't be served before the process exits: another gateway may
/// still serve them.
void gateway::refuse_unfinishable_calls(timestamp now)
{
    const auto at = [this](double fraction)
    { return m_shutdown_started_at + fraction_of(m_settings.grace, fraction); };
    for (auto& [name, state] : m_services)
    {
        const policy::remaining_time left{at(last_answer_fraction_of_grace),
                                          at(accepting_fraction_of_grace),
                                          state.picker.mean_response_time()};
        for (const auto id : state.queue.take_unfinishable(left, now))
        {
            if (const auto it = m_exchanges.find(id); it != m_exchanges.end())
                it->second->handle_not_started(common::result_code::router_draining);
        }
    }
}

/// Gives each call that is still open its last answer. A started stream can only be cut.
void gateway::end_open_calls()
{
    const auto open = m_exchanges;
    for (const auto& [id, it] : open)
        it->end_unanswered(common::result_code::router_draining);
}

} // namespace kumquatgap::gateway
