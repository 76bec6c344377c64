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

/// How long a closing connection waits for its peer to read more of the last response.
constexpr common::milliseconds linger_limit{1000};
/// Bytes of later requests that are read while a response is pending.
constexpr std::size_t read_ahead_bytes = std::size_t{64} << 10;
constexpr std::string_view continue_head = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

server_connection::server_connection(http_server& server, int fd)
    : m_server{server}, m_bev{bufferevent_socket_new(server.m_loop.base(), fd,
                                                     BEV_OPT_CLOSE_ON_FREE)},
      m_reader{HTTP_REQUEST, *this}
{
    set_connection_options(fd);
    bufferevent_setcb(m_bev, &server_connection::on_readable, &server_connection::on_writable,
                      &server_connection::on_event, this);
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

void server_connection::on_readable(bufferevent* /*bev*/, void* arg)
{
    const auto it = static_cast<server_connection*>(arg)->shared_from_this();
    it->read();
}

void server_connection::on_writable(bufferevent* /*bev*/, void* arg)
{
    const auto it = static_cast<server_connection*>(arg)->shared_from_this();
    if (const auto reply_to = it->m_responder.lock())
        reply_to->drained();
    if (it->m_phase == phase::lingering)
        ::shutdown(bufferevent_getfd(it->m_bev), SHUT_WR);
}

void server_connection::on_event(bufferevent* /*bev*/, short /*what*/, void* arg)
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
            return reject(m_server.m_malformed_response);
        if (m_phase == phase::reading && m_reader.head_bytes() > m_server.m_limits.header_bytes)
            return dispatch(true, false);
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
        dispatch(true, false);
        return false;
    }
    const auto length = m_reader.content_length();
    if (length != http_reader::no_length && length > limits.body_bytes)
    {
        dispatch(false, true);
        return false;
    }
    // The body must arrive within the idle timeout.
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
        dispatch(false, true);
        return false;
    }
    return true;
}

bool server_connection::on_complete()
{
    m_reader.pause(true);
    dispatch(false, false);
    return true;
}

/// Passes the request to the server's handler, which may respond now or later.
void server_connection::dispatch(bool headers_too_large, bool body_too_large)
{
    m_phase = phase::responding;
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
    const auto reply_to = std::make_shared<responder>(shared_from_this());
    if (headers_too_large || body_too_large)
        reply_to->close_after_reply();
    m_responder = reply_to;
    ++m_server.m_open_requests;
    m_is_counted_open = true;
    m_server.m_handler(std::move(received), reply_to);
}

void server_connection::response_done(bool close)
{
    if (std::exchange(m_is_counted_open, false))
        --m_server.m_open_requests;
    m_responder.reset();
    if (m_phase != phase::responding)
        return;
    if (close)
        return linger();
    m_phase = phase::idle;
    m_reader.pause(false);
    m_timer = m_server.m_loop.after(m_server.m_limits.idle_timeout, [this] { time_out(); });
    // A request that has arrived meanwhile is read after the current event handler.
    if (evbuffer_get_length(bufferevent_get_input(m_bev)) != 0)
        bufferevent_trigger(m_bev, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

/// Responds to a malformed request and closes the connection.
void server_connection::reject(const http_response& response)
{
    m_phase = phase::responding;
    const auto it = std::make_shared<responder>(shared_from_this());
    it->close_after_reply();
    it->reply(response);
}

void server_connection::time_out()
{
    const auto self = shared_from_this();
    if (m_phase != phase::reading)
        return close();
    m_phase = phase::responding;
    m_timer.reset();
    const auto reply_to = std::make_shared<responder>(self);
    reply_to->close_after_reply();
    m_responder = reply_to;
    ++m_server.m_open_requests;
    m_is_counted_open = true;
    received_request received;
    received.timed_out = true;
    m_server.m_handler(std::move(received), reply_to);
}

void server_connection::linger()
{
    m_phase = phase::lingering;
    close_when_stalled(unsent_bytes());
    if (unsent_bytes() == 0)
        ::shutdown(bufferevent_getfd(m_bev), SHUT_WR);
    auto* input = bufferevent_get_input(m_bev);
    evbuffer_drain(input, evbuffer_get_length(input));
}

/// Checks once per linger_limit and closes the connection when all data has been sent or the peer
/// has read nothing since the last check. `unsent` is the number of bytes that are left now.
void server_connection::close_when_stalled(std::size_t unsent)
{
    m_timer = m_server.m_loop.after(linger_limit,
                                    [this, unsent]
                                    {
                                        const auto left = unsent_bytes();
                                        if (left == 0 || left == unsent)
                                            return close();
                                        close_when_stalled(left);
                                    });
}

void server_connection::close_now()
{
    if (std::exchange(m_is_counted_open, false))
        --m_server.m_open_requests;
    m_responder.reset();
    close();
}

void server_connection::close_when_sent()
{
    response_done(true);
}

void server_connection::close()
{
    if (m_phase == phase::closed)
        return;
    m_phase = phase::closed;
    if (std::exchange(m_is_counted_open, false))
        --m_server.m_open_requests;
    bufferevent_disable(m_bev, EV_READ | EV_WRITE);
    const auto reply_to = m_responder.lock();
    m_responder.reset();
    if (reply_to)
        reply_to->connection_lost();
    // The socket is closed with the last reference. The timer is reset after this event, since its
    // callback may be running now; it must not fire again.
    m_server.m_loop.defer([self = shared_from_this()] { self->m_timer.reset(); });
    m_server.m_connections.erase(this);
}

} // namespace kumquatgap::io
