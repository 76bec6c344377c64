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

/// A port of the loopback address that nobody listens on at the moment.
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

/// A blocking connection to `ip:port` that holds few unread bytes.
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

void run_for(io::event_loop& loop, milliseconds d)
{
    const auto timer = loop.after(d, [&loop] { loop.stop(); });
    loop.run();
}

/// Reads without blocking while the loop runs, until the connection gives nothing more.
std::size_t read_all(io::event_loop& loop, int fd)
{
    std::array<char, 65536> buf{};
    std::size_t total = 0;
    constexpr int quiet_rounds = 20;
    for (int quiet = 0; quiet < quiet_rounds;)
    {
        run_for(loop, milliseconds{1});
        const auto n = ::recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
        quiet = n > 0 ? 0 : quiet + 1;
        total += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    return total;
}

constexpr std::size_t answer_bytes = std::size_t{4} << 20;

/// Sends one request and asserts that the server counts as busy until its answer was read.
void check_busy_until_read(const std::string& request)
{
    io::event_loop loop;
    const auto address = free_address();
    io::http_server server{
        loop, {}, [](const io::received_request& /*received*/, const io::responder_ptr& it) {
            it->reply({200, {}, std::string(answer_bytes, 'x')});
        }};
    cr_assert(server.listen(address));
    const int fd = connect_with_small_buffer(address);
    cr_assert(!server.is_busy());
    cr_assert_eq(::send(fd, request.data(), request.size(), 0),
                 static_cast<ssize_t>(request.size()));
    run_for(loop, milliseconds{50});
    cr_assert_eq(server.open_requests(), 0U);
    cr_assert(server.is_busy(), "the answer is still in the server's buffer");
    cr_assert_geq(read_all(loop, fd), answer_bytes);
    ::close(fd);
    run_for(loop, milliseconds{50});
    cr_assert(!server.is_busy());
}

} // namespace

Test(http_server, is_busy_until_an_answer_has_left_its_buffer)
{
    check_busy_until_read("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
}

Test(http_server, is_busy_until_a_closing_connection_has_sent_its_answer)
{
    check_busy_until_read("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
}

Test(http_server, is_busy_while_a_request_arrives)
{
    io::event_loop loop;
    const auto address = free_address();
    io::http_server server{
        loop, {}, [](const io::received_request& /*received*/, const io::responder_ptr& it) {
            it->reply({200, {}, "ok"});
        }};
    cr_assert(server.listen(address));
    const int fd = connect_with_small_buffer(address);
    const std::string part = "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n12345";
    cr_assert_eq(::send(fd, part.data(), part.size(), 0), static_cast<ssize_t>(part.size()));
    run_for(loop, milliseconds{50});
    cr_assert(server.is_busy());
    cr_assert_eq(::send(fd, part.data(), 5, 0), 5);
    cr_assert_gt(read_all(loop, fd), 0U);
    cr_assert(!server.is_busy());
    ::close(fd);
}
