#pragma once

#include "experts/rank_driver.hpp"
#include "io/event_loop.hpp"
#include "io/http_client.hpp"
#include "rank_agent/order_sender.hpp"
#include "rank_agent/rank_client.hpp"
#include "rank_agent/rank_protocol_adapter.hpp"

#include <functional>
#include <string>

namespace kumquatgap::rank_agent
{

using common::milliseconds;
using common::timestamp;

/// Drives a rank from the controller's host while the rank's own agent is silent, so that a frozen
/// or killed agent does not keep its whole group held. The rank must check fences. Reports read
/// from another host may be old, so one is used only if it was requested long enough after the last
/// order.
class remote_rank_driver
{
public:
    using status_handler = std::function<void(const experts::rank_status&)>;

    remote_rank_driver(io::http_client& client, const rank_protocol_adapter& adapter,
                       std::string target, status_handler fn);
    remote_rank_driver(const remote_rank_driver&) = delete;
    remote_rank_driver& operator=(const remote_rank_driver&) = delete;

    void handle(const experts::directive& d) { m_driver.handle(d); }
    /// Requests a report or sends an order, if either is due.
    void tick(timestamp now);

private:
    void request_report(timestamp now);
    void send(const experts::rank_order& order);

    rank_client m_client;
    const rank_protocol_adapter& m_adapter;
    status_handler m_handler;
    experts::rank_driver m_driver;
    order_sender m_orders;
    timestamp m_report_requested_at;
    timestamp m_order_ended_at;
    io::call_handle m_report_call;
};

} // namespace kumquatgap::rank_agent
