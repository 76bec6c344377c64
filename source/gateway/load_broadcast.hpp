#pragma once

#include "common/metrics.hpp"
#include "gateway/peer_message.hpp"
#include "io/datagram_socket.hpp"
#include "io/event_loop.hpp"
#include "membership/gossip_node.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace kumquatgap::gateway
{

/// Sends this gateway's state to all other gateways, and receives theirs. An unchanged empty state
/// is not sent again, so an idle gateway sends nothing.
class load_broadcast
{
public:
    using handler = std::function<void(const std::string& gateway, peer_state)>;

    load_broadcast(io::event_loop& loop, std::string name, std::string token, handler fn);

    /// Binds the socket for sending and receiving to `ip:port`; false when that fails.
    bool start(const std::string& address);
    /// False while the last message to this many peers was sent just before.
    bool is_due(std::size_t peers, common::timestamp now) const;
    /// Sends the state if it has changed since the last message or the last message is old; false
    /// when it was not sent.
    bool send(const std::vector<membership::peer>& to, const peer_state& own,
              common::timestamp now);
    /// Exports the bytes sent and received, and the age of the last message of each gateway.
    void write_metrics(common::metrics& m, common::timestamp now) const;

private:
    void receive(std::string_view bytes);

    std::string m_name;
    std::string m_token;
    handler m_handler;
    io::datagram_socket m_socket;
    std::map<std::string, common::timestamp> m_received_at;
    peer_state m_last_sent;
    common::timestamp m_sent_at;
    /// The number of messages that receivers cut off.
    std::int64_t m_too_long = 0;
};

} // namespace kumquatgap::gateway
