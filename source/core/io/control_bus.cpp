#include "io/control_bus.hpp"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <array>
#include <stdexcept>

namespace kumquatgap::io
{

namespace
{

constexpr std::size_t max_message_bytes = std::size_t{4} << 20;
constexpr std::size_t max_peer_sockets = 256;

} // namespace

control_bus::control_bus(event_loop& loop, handler fn) : m_loop{loop}, m_handler{std::move(fn)}
{
    if (nng_pull0_open(&m_in) != 0)
        throw std::runtime_error{"nng failed to open a socket"};
    nng_socket_set_size(m_in, NNG_OPT_RECVMAXSZ, max_message_bytes);
}

control_bus::~control_bus()
{
    for (auto& [address, socket] : m_out)
        nng_close(socket);
    nng_close(m_in);
}

bool control_bus::listen(const std::string& address)
{
    if (nng_listen(m_in, ("tcp://" + address).c_str(), nullptr, 0) != 0)
        return false;
    int fd = -1;
    if (nng_socket_get_int(m_in, NNG_OPT_RECVFD, &fd) != 0)
        return false;
    m_loop.on_readable(fd, [this] { receive(); });
    return true;
}

void control_bus::send(const std::string& address, std::string_view message)
{
    auto it = m_out.find(address);
    if (it == m_out.end())
    {
        if (m_out.size() >= max_peer_sockets)
        {
            nng_close(m_out.begin()->second);
            m_out.erase(m_out.begin());
        }
        nng_socket socket{};
        if (nng_push0_open(&socket) != 0)
            return;
        constexpr int queued_messages = 16;
        nng_socket_set_int(socket, NNG_OPT_SENDBUF, queued_messages);
        nng_dial(socket, ("tcp://" + address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
        it = m_out.emplace(address, socket).first;
    }
    std::string copy{message};
    if (nng_send(it->second, copy.data(), copy.size(), NNG_FLAG_NONBLOCK) == 0)
        m_bytes += message.size();
}

void control_bus::receive()
{
    void* data = nullptr;
    std::size_t size = 0;
    while (nng_recv(m_in, &data, &size, NNG_FLAG_ALLOC | NNG_FLAG_NONBLOCK) == 0)
    {
        const std::string message{static_cast<const char*>(data), size};
        nng_free(data, size);
        m_bytes += size;
        m_handler(message);
    }
}

} // namespace kumquatgap::io
