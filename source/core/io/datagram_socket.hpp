#pragma once

#include "io/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace kumquatgap::io
{

/// Sends and receives small UDP messages between the system's own processes. Delivery is not
/// guaranteed. There is no connection that could stall, so it suits periodic updates, each of
/// which replaces the previous one.
class datagram_socket
{
public:
    using handler = std::function<void(std::string_view message)>;
    /// Longer messages are cut off on receipt.
    static constexpr std::size_t max_message_bytes = std::size_t{16} << 10;

    datagram_socket(event_loop& loop, handler fn);
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    ~datagram_socket();

    /// Binds to `ip:port` and starts to receive; returns false when the address is invalid or the
    /// bind fails.
    bool listen(const std::string& address);
    /// Sends a message to an address without blocking; drops it when it can't be sent at once.
    void send(const std::string& address, std::string_view message);
    /// Payload bytes received and sent since the start.
    std::uint64_t bytes() const { return m_bytes; }

private:
    void receive();

    event_loop& m_loop;
    handler m_handler;
    int m_fd = -1;
    std::uint64_t m_bytes = 0;
};

} // namespace kumquatgap::io
