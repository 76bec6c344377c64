#include "rank_agent/remote_rank.hpp"

#include "common/log.hpp"
#include "rank_agent/agent_number.hpp"

namespace kumquatgap::rank_agent
{

namespace
{

/// Reports asked for from another host may be this old: three times the lag that engines publish.
constexpr milliseconds report_age{600};
constexpr milliseconds ask_period{120};
constexpr milliseconds answer_timeout{400};

io::call_options how()
{
    return {.connect_timeout = answer_timeout,
            .silence_timeout = answer_timeout,
            .whole_timeout = answer_timeout};
}

} // namespace

remote_rank::remote_rank(io::http_client& client, const rank_wire& names, std::string target,
                         status_handler fn)
    : m_client{client}, m_wire{names}, m_target{std::move(target)}, m_handler{std::move(fn)},
      m_driver{draw_agent_number(), common::now()}, m_orders{client, names, m_target,
                                                             "order_sent_from_afar"}
{
    m_driver.share_rank();
}

void remote_rank::tick(timestamp now)
{
    if (m_orders.is_busy() || m_report_call)
        return;
    if (const auto order = m_driver.next_order(now))
        return send(*order);
    if (now - m_asked_at >= ask_period && now - m_order_ended_at >= report_age)
        ask(now);
}

void remote_rank::ask(timestamp now)
{
    m_asked_at = now;
    m_report_call =
        m_client.send(m_target, m_wire.report_request(),
                      {.on_end =
                           [this](io::call_end end, const io::http_answer& answer)
                       {
                           const auto call = std::move(m_report_call);
                           const auto report = end == io::call_end::complete
                                                   ? m_wire.read_report(answer)
                                                   : std::nullopt;
                           if (!report)
                               return common::log(common::log_level::warn, "report_lost",
                                                  {{"target", m_target},
                                                   {"end", static_cast<int>(end)},
                                                   {"status", answer.status}});
                           m_driver.take(*report);
                           m_handler(m_driver.status(common::now()));
                       }},
                      how());
}

void remote_rank::send(const experts::rank_order& order)
{
    m_orders.send(order, answer_timeout,
                  [this](experts::order_end end, std::optional<milliseconds> /*answered_after*/)
                  {
                      const auto now = common::now();
                      m_order_ended_at = now;
                      m_driver.order_ended(end, now);
                      m_handler(m_driver.status(now));
                  });
}

} // namespace kumquatgap::rank_agent
