#include "rank_agent/order_sender.hpp"

#include "common/log.hpp"

#include <utility>

namespace kumquatgap::rank_agent
{

void order_sender::send(const experts::rank_order& order, milliseconds timeout, handler done)
{
    common::log(common::log_level::info, m_event,
                {{"order", experts::name_of(order.kind)},
                 {"target", m_target},
                 {"version", order.version},
                 {"pass", order.pass},
                 {"epoch", order.epoch},
                 {"fence", order.fence},
                 {"timeout_ms", timeout.count()}});
    m_call = m_client.send(
        m_target, m_wire.order_request(order),
        {.on_end = [this, kind = order.kind, done = std::move(done),
                    sent_at = common::now()](io::call_end how, const io::http_answer& answer)
         { ended(kind, how, answer, sent_at, done); }},
        {.connect_timeout = timeout,
         .silence_timeout = timeout,
         .whole_timeout = timeout,
         .most_body_bytes = most_rank_answer_bytes});
}

void order_sender::ended(experts::order_kind kind, io::call_end how, const io::http_answer& answer,
                         timestamp sent_at, const handler& done)
{
    // Both may go with the call.
    const auto call = std::move(m_call);
    const auto tell = done;
    const bool is_answered = how == io::call_end::complete;
    // Without a connection no byte of it was sent.
    const auto if_lost = how == io::call_end::not_connected ? experts::order_end::conflict
                                                            : experts::order_end::unknown;
    const auto end = is_answered ? m_wire.read_order_end(answer) : if_lost;
    if (end != experts::order_end::accepted)
        common::log(common::log_level::info, "order_not_accepted",
                    {{"order", experts::name_of(kind)},
                     {"target", m_target},
                     {"status", answer.status},
                     {"end", static_cast<int>(end)}});
    tell(end, is_answered ? std::optional{common::now() - sent_at} : std::nullopt);
}

} // namespace kumquatgap::rank_agent
