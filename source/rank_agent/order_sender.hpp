#pragma once

#include "experts/rank_driver.hpp"
#include "rank_agent/rank_client.hpp"
#include "rank_agent/rank_protocol_adapter.hpp"

#include <functional>
#include <optional>
#include <string_view>

namespace kumquatgap::rank_agent
{

using common::milliseconds;
using common::timestamp;

/// Sends orders to a rank, one at a time, and reports how they ended.
class order_sender
{
public:
    /// `response_time` is set if the rank has responded, whatever the response was.
    using handler =
        std::function<void(experts::order_outcome end, std::optional<milliseconds> response_time)>;

    /// `event` is the name of the log event for sent orders.
    order_sender(rank_client& client, const rank_protocol_adapter& adapter, std::string_view event)
        : m_client{client}, m_adapter{adapter}, m_event{event}
    {
    }

    /// Sends an order; if there is no response within the timeout, its outcome is unknown. No other
    /// order may be in progress.
    void send(const experts::rank_order& order, milliseconds timeout, handler done);
    bool is_busy() const { return m_call != nullptr; }

private:
    void on_call_end(experts::order_kind kind, io::call_outcome how,
                     const io::http_response& response, timestamp sent_at, const handler& done);

    rank_client& m_client;
    const rank_protocol_adapter& m_adapter;
    std::string_view m_event;
    io::call_handle m_call;
};

} // namespace kumquatgap::rank_agent
