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
      m_driver{draw_agent_number(), common::now()}
{
    m_driver.share_rank();
}

void remote_rank::tick(timestamp now)
{
    if (m_order_call || m_report_call)
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
    common::log(common::log_level::info, "order_sent_from_afar",
                {{"order", experts::name_of(order.kind)},
                 {"target", m_target},
                 {"version", order.version},
                 {"pass", order.pass},
                 {"epoch", order.epoch},
                 {"fence", order.fence}});
    m_order_call = m_client.send(
        m_target, m_wire.order_request(order),
        {.on_end =
             [this](io::call_end end, const io::http_answer& answer)
         {
             const auto call = std::move(m_order_call);
             const auto now = common::now();
             m_order_ended_at = now;
             const bool has_answer = end == io::call_end::complete;
             m_driver.order_ended(
                 has_answer ? m_wire.read_order_end(answer) : experts::order_end::unknown, now);
             m_handler(m_driver.status(now));
         }},
        how());
}

} // namespace kumquatgap::rank_agent
