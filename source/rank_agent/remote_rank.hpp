#pragma once

#include "experts/rank_driver.hpp"
#include "io/event_loop.hpp"
#include "io/http_client.hpp"
#include "rank_agent/order_sender.hpp"
#include "rank_agent/rank_wire.hpp"

#include <functional>
#include <string>

namespace kumquatgap::rank_agent
{

using common::milliseconds;
using common::timestamp;

/// Drives a rank, which must check fences, from the controller's host while the rank's own agent is
/// silent, so that a frozen or killed agent does not keep its whole group held. Reports from afar
/// are old, so one counts only when it was asked for long enough after the last order.
class remote_rank
{
public:
    using status_handler = std::function<void(const experts::rank_status&)>;

    remote_rank(io::http_client& client, const rank_wire& names, std::string target,
                status_handler fn);
    remote_rank(const remote_rank&) = delete;
    remote_rank& operator=(const remote_rank&) = delete;

    void take(const experts::directive& d) { m_driver.take(d); }
    /// Asks for a report or sends an order, where one is due.
    void tick(timestamp now);

private:
    void ask(timestamp now);
    void send(const experts::rank_order& order);

    io::http_client& m_client;
    const rank_wire& m_wire;
    std::string m_target;
    status_handler m_handler;
    experts::rank_driver m_driver;
    order_sender m_orders;
    timestamp m_asked_at;
    timestamp m_order_ended_at;
    io::call_handle m_report_call;
};

} // namespace kumquatgap::rank_agent
