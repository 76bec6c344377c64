#include "io/http_server.hpp"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <utility>
#include <vector>

using namespace kumquatgap;
using common::milliseconds;

namespace
{

constexpr std::size_t mb = std::size_t{1} << 20;
/// Large enough that the kernel does not take all of it for a caller who doesn't read.
constexpr std::size_t large_response_bytes = 8 * mb;
constexpr std::size_t body_bytes = 900'000;

/// A server with a budget of 3 MB, of which large requests get 1 MB.
class small_server
{
public:
    small_server()
        : m_server{m_loop, {}, [this](io::received_request received, io::responder_ptr it) {
                       handle(std::move(received), std::move(it));
                   }}
    {
        m_loop.memory().set_limits({3 * mb, 100});
        m_server.set_memory_full_response({503, {{"X-Code", "2017"}}, "full"});
        // A port that is free at the moment.
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        m_address.sin_family = AF_INET;
        m_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof m_address;
        cr_assert_eq(::bind(fd, reinterpret_cast<const sockaddr*>(&m_address), size), 0);
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&m_address), &size);
        ::close(fd);
        cr_assert(m_server.listen("127.0.0.1:" + std::to_string(ntohs(m_address.sin_port))));
    }

    io::memory_budget& memory() { return m_loop.memory(); }
    std::size_t requests() const { return m_requests; }
    std::size_t waiting() const { return m_waiting.size(); }
    void run(milliseconds d = milliseconds{30})
    {
        const auto timer = m_loop.after(d, [this] { m_loop.stop(); });
        m_loop.run();
    }
    /// Opens a connection whose receive buffer is small.
    int connect() const
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        constexpr int buffer_bytes = 4096;
        ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
        cr_assert_eq(::connect(fd, reinterpret_cast<const sockaddr*>(&m_address), sizeof m_address),
                     0);
        return fd;
    }
    /// Sends a text while the loop runs; stops when the server has closed the connection.
    void send(int fd, std::string_view text)
    {
        while (!text.empty())
        {
            const auto n = ::send(fd, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            if (n < 0 && errno != EAGAIN)
                return;
            text.remove_prefix(n > 0 ? static_cast<std::size_t>(n) : 0);
            run(milliseconds{1});
        }
        run();
    }
    static std::string read_some(int fd)
    {
        std::array<char, 4096> buf{};
        const auto n = ::recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
        return {buf.data(), n > 0 ? static_cast<std::size_t>(n) : 0};
    }

private:
    void handle(io::received_request received, io::responder_ptr it)
    {
        ++m_requests;
        if (received.request.path == "/wait")
        {
            m_waiting.emplace_back(std::move(received), std::move(it));
            return;
        }
        it->reply({200,
                   {},
                   received.request.path == "/large" ? std::string(large_response_bytes, 'x')
                                                     : std::string{"ok"}});
    }

    io::event_loop m_loop;
    std::vector<std::pair<io::received_request, io::responder_ptr>> m_waiting;
    std::size_t m_requests = 0;
    io::http_server m_server;
    sockaddr_in m_address{};
};

std::string short_body(std::size_t length = body_bytes)
{
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
           std::string(length - 1, 'x');
}

} // namespace

/// Guards against a refusal that the caller can't tell from a lost connection, and against bytes
/// that a refused request keeps.
Test(http_server_memory, incomplete_body_is_refused_and_freed)
{
    small_server server;
    const int first = server.connect();
    server.send(first, short_body());
    const auto held = server.memory().bytes();
    cr_expect_gt(held, body_bytes);
    const int second = server.connect();
    server.send(second, short_body());
    cr_expect_lt(server.memory().bytes(), mb);
    const auto answer = server.read_some(first) + server.read_some(second);
    cr_expect(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
    cr_expect(answer.find("Connection: close") != std::string::npos);
    cr_expect(answer.find("X-Code: 2017") != std::string::npos);
    cr_expect_eq(server.requests(), 0);
    ::close(first);
    ::close(second);
}

/// Guards against reading a body that has no room because of calls that may be running.
Test(http_server_memory, announced_body_without_room_is_refused)
{
    small_server server;
    const int first = server.connect();
    auto text = short_body() + "x";
    server.send(first, text.replace(text.find(" / "), 3, " /wait "));
    cr_assert_eq(server.waiting(), 1);
    const int second = server.connect();
    server.send(second,
                "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 900000\r\n\r\n");
    const auto answer = server.read_some(second);
    cr_expect(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
    const int third = server.connect();
    server.send(third, "GET / HTTP/1.1\r\n\r\n");
    cr_expect(server.read_some(third).starts_with("HTTP/1.1 200"));
    for (const int fd : {first, second, third})
        ::close(fd);
}

/// Guards against responses that pile up for a caller who sends requests and reads nothing.
Test(http_server_memory, next_request_waits_until_the_response_is_read)
{
    small_server server;
    server.memory().set_limits({100 * mb, 100});
    const int fd = server.connect();
    server.send(fd, "GET /large HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    cr_expect_eq(server.requests(), 1, "%zu", server.requests());
    std::size_t read = 0;
    for (int empty = 0; empty < 50;)
    {
        const auto n = server.read_some(fd).size();
        empty = n == 0 ? empty + 1 : 0;
        read += n;
        if (n == 0)
            server.run(milliseconds{1});
    }
    cr_expect_gt(read, large_response_bytes);
    cr_expect_eq(server.requests(), 2);
    ::close(fd);
}
