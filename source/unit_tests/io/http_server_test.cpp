#include "io/http_server.hpp"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace kumquatgap;
using common::milliseconds;

namespace
{

/// A loopback address with a port that is free at the moment.
std::string free_address()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof own;
    cr_assert_eq(::bind(fd, reinterpret_cast<const sockaddr*>(&own), size), 0);
    cr_assert_eq(::getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size), 0);
    ::close(fd);
    return "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
}

/// Opens a blocking connection to `ip:port` with a small receive buffer, so that a large response
/// stays in the server's buffer until it is read.
int connect_with_small_buffer(const std::string& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    constexpr int buffer_bytes = 4096;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    peer.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
    cr_assert_eq(::connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer), 0);
    return fd;
}

void run_loop_for(io::event_loop& loop, milliseconds d)
{
    const auto timer = loop.after(d, [&loop] { loop.stop(); });
    loop.run();
}

/// Reads and discards data while the loop runs, until 20 consecutive reads return nothing. Returns
/// the number of bytes.
std::size_t drain_socket(io::event_loop& loop, int fd)
{
    std::array<char, 65536> buf{};
    std::size_t total = 0;
    constexpr int max_empty_reads = 20;
    for (int empty_reads = 0; empty_reads < max_empty_reads;)
    {
        run_loop_for(loop, milliseconds{1});
        const auto n = ::recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
        empty_reads = n > 0 ? 0 : empty_reads + 1;
        total += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    return total;
}

constexpr std::size_t response_bytes = std::size_t{4} << 20;

/// Sends one request and asserts that the server is busy until the response has been read. A
/// program that stopped earlier would lose the end of the response.
void check_busy_until_read(const std::string& request)
{
    io::event_loop loop;
    const auto address = free_address();
    io::http_server server{
        loop, {}, [](const io::received_request& /*received*/, const io::responder_ptr& it) {
            it->reply({200, {}, std::string(response_bytes, 'x')});
        }};
    cr_assert(server.listen(address));
    const int fd = connect_with_small_buffer(address);
    cr_assert(!server.is_busy());
    cr_assert_eq(::send(fd, request.data(), request.size(), 0),
                 static_cast<ssize_t>(request.size()));
    run_loop_for(loop, milliseconds{50});
    cr_assert_eq(server.open_requests(), 0U);
    cr_assert(server.is_busy(), "the response is still in the server's buffer");
    cr_assert_geq(drain_socket(loop, fd), response_bytes);
    ::close(fd);
    run_loop_for(loop, milliseconds{50});
    cr_assert(!server.is_busy());
}

} // namespace

Test(http_server, busy_until_response_is_sent)
{
    check_busy_until_read("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
}

Test(http_server, busy_until_closing_connection_sends_response)
{
    check_busy_until_read("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
}

Test(http_server, busy_while_request_arrives)
{
    io::event_loop loop;
    const auto address = free_address();
    io::http_server server{
        loop, {}, [](const io::received_request& /*received*/, const io::responder_ptr& it) {
            it->reply({200, {}, "ok"});
        }};
    cr_assert(server.listen(address));
    const int fd = connect_with_small_buffer(address);
    const std::string partial_request = "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345";
    cr_assert_eq(::send(fd, partial_request.data(), partial_request.size(), 0),
                 static_cast<ssize_t>(partial_request.size()));
    run_loop_for(loop, milliseconds{50});
    cr_assert(server.is_busy());
    cr_assert_eq(::send(fd, partial_request.data(), 5, 0), 5);
    cr_assert_gt(drain_socket(loop, fd), 0U);
    cr_assert(!server.is_busy());
    ::close(fd);
}
