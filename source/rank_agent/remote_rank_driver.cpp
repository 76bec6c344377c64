#include "rank_agent/remote_rank_driver.hpp"

#include "common/log.hpp"
#include "rank_agent/instance_id.hpp"

namespace kumquatgap::rank_agent
{

namespace
{

/// Reports read from another host may be this old: three times the lag with which engines publish.
constexpr milliseconds max_report_age{600};
constexpr milliseconds report_period{120};
constexpr milliseconds response_timeout{400};

io::call_options rank_call_options()
{
    return {.connect_timeout = response_timeout,
            .silence_timeout = response_timeout,
            .total_timeout = response_timeout};
}

} // namespace

remote_rank_driver::remote_rank_driver(io::http_client& client,
                                       const rank_protocol_adapter& adapter, std::string target,
                                       status_handler fn)
    : m_client{client, adapter, std::move(target)}, m_adapter{adapter}, m_handler{std::move(fn)},
      m_driver{random_instance_id(), common::now()}, m_orders{m_client, adapter,
                                                              "order_sent_from_afar"}
{
    m_driver.share_rank();
}

void remote_rank_driver::tick(timestamp now)
{
    if (m_orders.is_busy() || m_report_call)
        return;
    if (const auto order = m_driver.next_order(now))
        return send(*order);
    if (now - m_report_requested_at >= report_period && now - m_order_ended_at >= max_report_age)
        request_report(now);
}

void remote_rank_driver::request_report(timestamp now)
{
    m_report_requested_at = now;
    m_report_call = m_client.send(
        m_adapter.report_request(),
        [this](io::call_outcome end, const io::http_response& response)
        {
            const auto call = std::move(m_report_call);
            const auto report =
                end == io::call_outcome::complete ? m_adapter.read_report(response) : std::nullopt;
            if (!report)
                return common::log(common::log_level::warn, "report_lost",
                                   {{"target", m_client.target()},
                                    {"end", static_cast<int>(end)},
                                    {"status", response.status}});
            m_driver.handle(*report);
            m_handler(m_driver.status(common::now()));
        },
        rank_call_options());
}

void remote_rank_driver::send(const experts::rank_order& order)
{
    m_orders.send(order, response_timeout,
                  [this](experts::order_outcome end, std::optional<milliseconds> /*response_time*/)
                  {
                      const auto now = common::now();
                      m_order_ended_at = now;
                      m_driver.order_ended(end, now);
                      m_handler(m_driver.status(now));
                  });
}

} // namespace kumquatgap::rank_agent
