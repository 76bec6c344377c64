#include "rank_agent/order_sender.hpp"

#include "common/log.hpp"

#include <utility>

namespace kumquatgap::rank_agent
{

void order_sender::send(const experts::rank_order& order, milliseconds timeout, handler done)
{
    common::log(common::log_level::info, m_event,
                {{"order", experts::name_of(order.kind)},
                 {"target", m_client.target()},
                 {"version", order.version},
                 {"pass", order.pass},
                 {"epoch", order.epoch},
                 {"fence", order.fence},
                 {"timeout_ms", timeout.count()}});
    m_call =
        m_client.send(m_adapter.order_request(order),
                      [this, kind = order.kind, done = std::move(done), sent_at = common::now()](
                          io::call_outcome how, const io::http_response& response)
                      { on_call_end(kind, how, response, sent_at, done); },
                      {.connect_timeout = timeout,
                       .silence_timeout = timeout,
                       .total_timeout = timeout,
                       .max_collected_bytes = max_rank_response_bytes});
}

void order_sender::on_call_end(experts::order_kind kind, io::call_outcome how,
                               const io::http_response& response, timestamp sent_at,
                               const handler& done)
{
    // Keeps both alive: they are owned by the call, which the callback may replace.
    const auto call = std::move(m_call);
    const auto callback = done;
    const bool is_answered = how == io::call_outcome::complete;
    // Without a connection, no byte of the order was sent.
    const auto outcome_if_lost = how == io::call_outcome::not_connected
                                     ? experts::order_outcome::conflict
                                     : experts::order_outcome::unknown;
    const auto end = is_answered ? m_adapter.read_order_outcome(response) : outcome_if_lost;
    if (end != experts::order_outcome::accepted)
        common::log(common::log_level::info, "order_not_accepted",
                    {{"order", experts::name_of(kind)},
                     {"target", m_client.target()},
                     {"status", response.status},
                     {"end", static_cast<int>(end)}});
    callback(end, is_answered ? std::optional{common::now() - sent_at} : std::nullopt);
}

} // namespace kumquatgap::rank_agent
