#pragma once

#include "experts/agent_message.hpp"
#include "experts/byte_allowance.hpp"
#include "io/datagram_socket.hpp"
#include "io/event_loop.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>

namespace kumquatgap::rank_agent
{

/// Carries messages between the agents of a group, within what the host's link allows. A message to
/// the own address does not take the network.
class messenger
{
public:
    using handler = std::function<void(const experts::agent_message&)>;

    messenger(io::event_loop& loop, std::string own_address, std::string token,
              const experts::link_budget& link, handler fn);

    /// False when the own address can't be had.
    bool listen() { return m_socket.listen(m_own_address); }
    void send(const std::string& address, const experts::agent_message& m);
    /// Sends a directive to those that it names, as the link has room. A newer one makes those that
    /// still wait needless.
    void pass_on(const experts::directive_message& m);
    /// Bytes sent and received since the start.
    std::uint64_t bytes() const { return m_socket.bytes(); }

private:
    void receive(std::string_view bytes);
    void send_waiting(common::timestamp now);

    io::event_loop& m_loop;
    std::string m_own_address;
    std::string m_token;
    handler m_handler;
    io::datagram_socket m_socket;
    /// Directives for others that wait for the link: where they go, and their bytes.
    std::deque<std::pair<std::string, std::string>> m_waiting;
    experts::byte_allowance m_allowance;
    io::timer_handle m_timer;
};

} // namespace kumquatgap::rank_agent
