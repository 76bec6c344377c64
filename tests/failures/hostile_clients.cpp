#include "hostile_clients.hpp"

#include "common/settings.hpp"
#include "common/text.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace kumquatgap::failures
{

namespace
{

constexpr std::size_t read_buffer_bytes = std::size_t{64} << 10;

/// With a small buffer, little of a response that is not read leaves the peer.
int connect_to(const std::string& address, bool has_small_buffer)
{
    const auto at = common::parse_address(address);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &peer.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (fd < 0)
        throw std::runtime_error{"no socket"};
    constexpr int small_buffer_bytes = 4096;
    if (has_small_buffer)
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes, sizeof small_buffer_bytes);
    const bool is_ok = ::connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0;
    if (!is_ok && errno != EINPROGRESS)
    {
        ::close(fd);
        throw std::runtime_error{"no connection"};
    }
    return fd;
}

} // namespace

hostile_clients::hostile_clients(const std::string& address, std::size_t count,
                                 client_script script)
    : m_script{std::move(script)}, m_clients(count)
{
    std::ranges::for_each(m_clients,
                          [&](client& it) { it.fd = connect_to(address, !m_script.reads); });
}

hostile_clients::~hostile_clients()
{
    for (const auto& it : m_clients)
    {
        if (it.fd >= 0)
            ::close(it.fd);
    }
}

std::size_t hostile_clients::bytes_to_send() const
{
    return m_script.repeat_from == std::string::npos ? m_script.bytes->size()
                                                     : m_script.total_bytes;
}

void hostile_clients::step()
{
    for (auto& it : m_clients)
    {
        if (it.fd >= 0 && m_script.reads)
            read_responses(it);
        if (it.fd >= 0 && it.sent < bytes_to_send())
            send_piece(it);
    }
}

void hostile_clients::send_piece(client& it) const
{
    const auto& text = *m_script.bytes;
    auto at = it.sent;
    if (at >= text.size())
        at = m_script.repeat_from + (at - text.size()) % (text.size() - m_script.repeat_from);
    auto n = text.size() - at;
    if (m_script.piece_bytes != 0)
        n = std::min(n, m_script.piece_bytes);
    const auto sent = ::send(it.fd, text.data() + at, n, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0)
    {
        it.sent += static_cast<std::size_t>(sent);
        it.stalled_steps = 0;
        return;
    }
    if (errno == EAGAIN || errno == ENOTCONN || errno == EINPROGRESS)
    {
        ++it.stalled_steps;
        return;
    }
    ::close(std::exchange(it.fd, -1));
}

void hostile_clients::read_responses(client& it) const
{
    std::array<char, read_buffer_bytes> buf{};
    const auto n = ::recv(it.fd, buf.data(), buf.size(), MSG_DONTWAIT);
    const bool is_waiting = n < 0 && (errno == EAGAIN || errno == ENOTCONN);
    // A peer that has closed takes no more bytes; the connection is closed on this side too.
    if (n == 0 || (n < 0 && !is_waiting))
        ::close(std::exchange(it.fd, -1));
}

bool hostile_clients::is_done() const
{
    return std::ranges::all_of(
        m_clients, [this](const client& it)
        { return it.fd < 0 || it.sent >= bytes_to_send() || it.stalled_steps >= stall_steps; });
}

std::shared_ptr<const std::string> to_text(const body_plan& plan)
{
    auto text = common::concat("POST ", plan.path, " HTTP/1.1\r\n", plan.fields);
    if (plan.chunk_bytes == 0)
    {
        text += common::concat("Content-Length: ", plan.length, "\r\n\r\n");
        text.append(plan.length - plan.missing, 'x');
        return shared_text(std::move(text));
    }
    text += "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t sent = 0; sent < plan.length; sent += plan.chunk_bytes)
    {
        const auto n = std::min(plan.chunk_bytes, plan.length - sent);
        text += fmt::format("{:x}\r\n", n);
        text.append(n, 'x');
        text += "\r\n";
    }
    text += "0\r\n\r\n";
    text.resize(text.size() - plan.missing);
    return shared_text(std::move(text));
}

std::shared_ptr<const std::string> shared_text(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

std::int64_t peak_memory_kb(pid_t id)
{
    std::ifstream file{common::concat("/proc/", static_cast<int>(id), "/status")};
    std::string word;
    std::int64_t out = 0;
    while (file >> word)
    {
        if (word == "VmHWM:")
            file >> out;
    }
    return out;
}

std::size_t open_descriptors(pid_t id)
{
    std::error_code ec;
    const std::filesystem::directory_iterator list{
        common::concat("/proc/", static_cast<int>(id), "/fd"), ec};
    return static_cast<std::size_t>(std::distance(begin(list), end(list)));
}

} // namespace kumquatgap::failures
