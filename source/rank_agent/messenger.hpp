#pragma once

#include "experts/agent_message.hpp"
#include "experts/byte_rate_limiter.hpp"
#include "io/datagram_socket.hpp"
#include "io/event_loop.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>

namespace kumquatgap::rank_agent
{

/// Sends and receives messages between the agents of a group, at the rate that the host's link
/// allows. A message to the own address is delivered without the network.
class messenger
{
public:
    using handler = std::function<void(const experts::agent_message&)>;

    messenger(io::event_loop& loop, std::string own_address, std::string token,
              const experts::link_budget& link, handler fn);

    /// Returns false if the own address can't be bound.
    bool listen() { return m_socket.listen(m_own_address); }
    void send(const std::string& address, const experts::agent_message& m);
    /// Forwards a directive to its other recipients at the rate that the link allows. A newer
    /// directive replaces those that are still queued.
    void forward(const experts::directive_message& m);
    /// Bytes sent and received since the start.
    std::uint64_t bytes() const { return m_socket.bytes(); }

private:
    void receive(std::string_view bytes);
    void send_queued(common::timestamp now);

    io::event_loop& m_loop;
    std::string m_own_address;
    std::string m_token;
    handler m_handler;
    io::datagram_socket m_socket;
    /// Directives to forward that wait for the link: destination address and encoded message.
    std::deque<std::pair<std::string, std::string>> m_forward_queue;
    experts::byte_rate_limiter m_rate_limiter;
    io::timer_handle m_timer;
};

} // namespace kumquatgap::rank_agent
