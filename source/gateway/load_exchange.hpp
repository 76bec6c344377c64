#pragma once

#include "common/metrics.hpp"
#include "fleet/target_notices.hpp"
#include "io/datagram_socket.hpp"
#include "io/event_loop.hpp"
#include "membership/spreader.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace kumquatgap::gateway
{

/// Tells the other gateways how much work this one has at each target and which targets leave, and
/// hears it from them. Only changes are worth a message, so an idle gateway sends none.
class load_exchange
{
public:
    using loads = std::map<std::string, double>;
    /// What one gateway tells the others.
    struct news
    {
        loads work;
        fleet::leaving_targets leaving;

        bool operator==(const news&) const = default;
        bool empty() const { return work.empty() && leaving.empty(); }
    };
    using handler = std::function<void(const std::string& gateway, news)>;

    load_exchange(io::event_loop& loop, std::string name, std::string token, handler fn);

    /// Receives on `ip:port`, and sends by it; false when the address can't be had.
    bool start(const std::string& address);
    /// Sends the news when they have changed since the last message, or when that is long ago.
    void send(const std::vector<membership::peer>& to, const news& own, common::timestamp now);
    /// Bytes sent and received, and how long ago the other gateways were heard.
    void write_metrics(common::metrics& m, common::timestamp now) const;

private:
    void receive(std::string_view bytes);

    std::string m_name;
    std::string m_token;
    handler m_handler;
    io::datagram_socket m_socket;
    std::map<std::string, common::timestamp> m_heard_at;
    news m_last_sent;
    common::timestamp m_sent_at;
};

} // namespace kumquatgap::gateway
