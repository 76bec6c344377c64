#include "io/datagram_socket.hpp"

#include "common/settings.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace kumquatgap::io
{

namespace
{

bool to_socket_address(const std::string& address, sockaddr_in& out)
{
    const auto it = common::parse_address(address);
    out.sin_family = AF_INET;
    out.sin_port = htons(it.port);
    return it.port != 0 && inet_pton(AF_INET, it.ip.c_str(), &out.sin_addr) == 1;
}

} // namespace

datagram_socket::datagram_socket(event_loop& loop, handler fn)
    : m_loop{loop}, m_handler{std::move(fn)}
{
}

datagram_socket::~datagram_socket()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

bool datagram_socket::listen(const std::string& address)
{
    sockaddr_in own{};
    if (!to_socket_address(address, own))
        return false;
    m_fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_fd < 0 || ::bind(m_fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0)
        return false;
    m_loop.on_readable(m_fd, [this] { receive(); });
    return true;
}

void datagram_socket::send(const std::string& address, std::string_view message)
{
    sockaddr_in peer{};
    if (m_fd < 0 || !to_socket_address(address, peer))
        return;
    const auto n = ::sendto(m_fd, message.data(), message.size(), MSG_DONTWAIT,
                            reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
    if (n > 0)
        m_bytes += static_cast<std::uint64_t>(n);
}

void datagram_socket::receive()
{
    std::array<char, max_message_bytes> buf{};
    for (auto n = ::recv(m_fd, buf.data(), buf.size(), 0); n >= 0;
         n = ::recv(m_fd, buf.data(), buf.size(), 0))
    {
        m_bytes += static_cast<std::uint64_t>(n);
        m_handler({buf.data(), static_cast<std::size_t>(n)});
    }
}

} // namespace kumquatgap::io
