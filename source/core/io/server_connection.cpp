#include "io/server_connection.hpp"

#include "common/text.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>

namespace kumquatgap::io
{

namespace
{

/// How long a closing connection waits for its peer to read more of the last answer.
constexpr common::milliseconds linger_limit{1000};
/// Bytes that are read ahead of the request that is being answered.
constexpr std::size_t read_ahead_bytes = std::size_t{64} << 10;
constexpr std::string_view continue_head = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

server_connection::server_connection(http_server& server, int fd)
    : m_server{server}, m_bev{bufferevent_socket_new(server.m_loop.base(), fd,
                                                     BEV_OPT_CLOSE_ON_FREE)},
      m_reader{HTTP_REQUEST, *this}
{
    set_connection_options(fd);
    bufferevent_setcb(m_bev, &server_connection::readable, &server_connection::writable,
                      &server_connection::happened, this);
    bufferevent_setwatermark(m_bev, EV_READ, 0, read_ahead_bytes);
    bufferevent_enable(m_bev, EV_READ | EV_WRITE);
    m_timer = server.m_loop.after(server.m_limits.idle_timeout, [this] { time_out(); });
}

server_connection::~server_connection()
{
    bufferevent_free(m_bev);
}

void server_connection::write(std::string_view bytes)
{
    if (m_phase != phase::closed)
        bufferevent_write(m_bev, bytes.data(), bytes.size());
}

std::size_t server_connection::unsent_bytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_bev));
}

void server_connection::readable(bufferevent* /*bev*/, void* arg)
{
    const auto it = static_cast<server_connection*>(arg)->shared_from_this();
    it->read();
}

void server_connection::writable(bufferevent* /*bev*/, void* arg)
{
    const auto it = static_cast<server_connection*>(arg)->shared_from_this();
    if (const auto answer = it->m_answer.lock())
        answer->drained();
    if (it->m_phase == phase::lingering)
        ::shutdown(bufferevent_getfd(it->m_bev), SHUT_WR);
}

void server_connection::happened(bufferevent* /*bev*/, short /*what*/, void* arg)
{
    const auto it = static_cast<server_connection*>(arg)->shared_from_this();
    it->close();
}

void server_connection::read()
{
    auto* input = bufferevent_get_input(m_bev);
    if (m_phase == phase::lingering || m_phase == phase::closed)
    {
        evbuffer_drain(input, evbuffer_get_length(input));
        return;
    }
    while (m_phase == phase::idle || m_phase == phase::reading)
    {
        const auto n = evbuffer_get_contiguous_space(input);
        if (n == 0)
            return;
        const auto* data =
            reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(n)));
        const auto used = m_reader.feed({data, n});
        evbuffer_drain(input, used);
        if ((m_phase == phase::idle || m_phase == phase::reading) && m_reader.has_failed())
            return refuse(m_server.m_malformed_answer);
        if (m_phase == phase::reading && m_reader.head_bytes() > m_server.m_limits.header_bytes)
            return hand_over(true, false);
    }
}

bool server_connection::on_begin()
{
    m_phase = phase::reading;
    m_body.clear();
    m_timer = m_server.m_loop.after(m_server.m_limits.header_timeout, [this] { time_out(); });
    return true;
}

bool server_connection::on_head()
{
    const auto& limits = m_server.m_limits;
    if (m_reader.head_bytes() > limits.header_bytes)
    {
        hand_over(true, false);
        return false;
    }
    const auto length = m_reader.content_length();
    if (length != http_reader::no_length && length > limits.body_bytes)
    {
        hand_over(false, true);
        return false;
    }
    // The body has the idle time to arrive, counted anew with each part.
    m_timer = m_server.m_loop.after(limits.idle_timeout, [this] { time_out(); });
    if (common::equals_ignore_case(m_reader.headers().find("expect"), "100-continue"))
        write(continue_head);
    return true;
}

bool server_connection::on_body(std::string_view bytes)
{
    m_body += bytes;
    if (m_body.size() > m_server.m_limits.body_bytes)
    {
        hand_over(false, true);
        return false;
    }
    return true;
}

bool server_connection::on_complete()
{
    m_reader.pause(true);
    hand_over(false, false);
    return true;
}

/// Gives the request to the server's handler, which answers now or later.
void server_connection::hand_over(bool headers_too_large, bool body_too_large)
{
    m_phase = phase::answering;
    m_timer.reset();
    received_request received;
    auto& request = received.request;
    request.method = m_reader.method();
    m_is_head_request = request.method == "HEAD";
    const std::string_view url = m_reader.url();
    const auto mark = url.find('?');
    request.path = url.substr(0, mark);
    if (mark != std::string_view::npos)
        request.query = url.substr(mark + 1);
    request.headers = std::move(m_reader.headers());
    request.body = std::move(m_body);
    m_body.clear();
    received.headers_too_large = headers_too_large;
    received.body_too_large = body_too_large;
    const auto answer = std::make_shared<responder>(shared_from_this());
    if (headers_too_large || body_too_large)
        answer->close_after_reply();
    m_answer = answer;
    ++m_server.m_open_requests;
    m_counted = true;
    m_server.m_handler(std::move(received), answer);
}

void server_connection::answered(bool close)
{
    if (std::exchange(m_counted, false))
        --m_server.m_open_requests;
    m_answer.reset();
    if (m_phase != phase::answering)
        return;
    if (close)
        return linger();
    m_phase = phase::idle;
    m_reader.pause(false);
    m_timer = m_server.m_loop.after(m_server.m_limits.idle_timeout, [this] { time_out(); });
    // A request that came meanwhile is read once the current event is done.
    if (evbuffer_get_length(bufferevent_get_input(m_bev)) != 0)
        bufferevent_trigger(m_bev, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

/// Answers a request that can't be read, and ends the connection.
void server_connection::refuse(const http_answer& answer)
{
    m_phase = phase::answering;
    const auto it = std::make_shared<responder>(shared_from_this());
    it->close_after_reply();
    it->reply(answer);
}

void server_connection::time_out()
{
    const auto self = shared_from_this();
    if (m_phase != phase::reading)
        return close();
    m_phase = phase::answering;
    m_timer.reset();
    const auto answer = std::make_shared<responder>(self);
    answer->close_after_reply();
    m_answer = answer;
    ++m_server.m_open_requests;
    m_counted = true;
    received_request received;
    received.timed_out = true;
    m_server.m_handler(std::move(received), answer);
}

void server_connection::linger()
{
    m_phase = phase::lingering;
    await_last_bytes(unsent_bytes());
    if (unsent_bytes() == 0)
        ::shutdown(bufferevent_getfd(m_bev), SHUT_WR);
    auto* input = bufferevent_get_input(m_bev);
    evbuffer_drain(input, evbuffer_get_length(input));
}

/// Closes the connection once its peer has read nothing for the limit; `unsent` bytes are left now.
void server_connection::await_last_bytes(std::size_t unsent)
{
    m_timer = m_server.m_loop.after(linger_limit,
                                    [this, unsent]
                                    {
                                        const auto left = unsent_bytes();
                                        if (left == 0 || left == unsent)
                                            return close();
                                        await_last_bytes(left);
                                    });
}

void server_connection::shut()
{
    if (std::exchange(m_counted, false))
        --m_server.m_open_requests;
    m_answer.reset();
    close();
}

void server_connection::shut_when_sent()
{
    answered(true);
}

void server_connection::close()
{
    if (m_phase == phase::closed)
        return;
    m_phase = phase::closed;
    if (std::exchange(m_counted, false))
        --m_server.m_open_requests;
    bufferevent_disable(m_bev, EV_READ | EV_WRITE);
    const auto answer = m_answer.lock();
    m_answer.reset();
    if (answer)
        answer->caller_gone();
    // The socket closes with the last reference; the timer must not outlive this event.
    m_server.m_loop.defer([self = shared_from_this()] { self->m_timer.reset(); });
    m_server.m_connections.erase(this);
}

} // namespace kumquatgap::io
