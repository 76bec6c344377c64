#pragma once

#include "experts/rank_driver.hpp"
#include "io/http_client.hpp"
#include "rank_agent/rank_wire.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::rank_agent
{

using common::milliseconds;
using common::timestamp;

/// Sends a rank its orders, one at a time, and tells how they ended.
class order_sender
{
public:
    /// `answered_after` is set when the rank has answered, whatever it said.
    using handler =
        std::function<void(experts::order_end end, std::optional<milliseconds> answered_after)>;

    /// `event` names the log lines of orders sent.
    order_sender(io::http_client& client, const rank_wire& names, std::string target,
                 std::string_view event)
        : m_client{client}, m_wire{names}, m_target{std::move(target)}, m_event{event}
    {
    }

    /// Sends an order; without an answer in time its end is unknown. None may be under way.
    void send(const experts::rank_order& order, milliseconds timeout, handler done);
    bool is_busy() const { return m_call != nullptr; }

private:
    void ended(experts::order_kind kind, io::call_end how, const io::http_answer& answer,
               timestamp sent_at, const handler& done);

    io::http_client& m_client;
    const rank_wire& m_wire;
    std::string m_target;
    std::string_view m_event;
    io::call_handle m_call;
};

} // namespace kumquatgap::rank_agent
