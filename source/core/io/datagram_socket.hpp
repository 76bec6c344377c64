#pragma once

#include "io/event_loop.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace kumquatgap::io
{

/// Small messages between the system's own processes that may be lost, by UDP. It holds no
/// connection that could fall silent, so it suits news that the next message replaces.
class datagram_socket
{
public:
    using handler = std::function<void(std::string_view message)>;

    datagram_socket(event_loop& loop, handler fn);
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    ~datagram_socket();

    /// Receives on `ip:port`; false when the address can't be had.
    bool listen(const std::string& address);
    /// Sends to an address; the message is dropped when it can't be sent at once.
    void send(const std::string& address, std::string_view message);
    /// Bytes received and sent since the start.
    std::uint64_t bytes() const { return m_bytes; }

private:
    void receive();

    event_loop& m_loop;
    handler m_handler;
    int m_fd = -1;
    std::uint64_t m_bytes = 0;
};

} // namespace kumquatgap::io
