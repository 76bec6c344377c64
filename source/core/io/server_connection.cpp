#include "io/server_connection.hpp"

#include "common/text.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace kumquatgap::io
{

namespace
{

/// How long a closing connection waits for its peer to read more of the last response.
constexpr common::milliseconds linger_limit{1000};
/// Bytes of later requests that are read while a response is pending.
constexpr std::size_t read_ahead_bytes = std::size_t{64} << 10;
/// The next request on a connection waits until no more than this is unsent, so that a caller who
/// sends requests without reading their responses makes them pile up on its own side.
constexpr std::size_t max_unsent_before_next_request = std::size_t{64} << 10;
/// Memory of a connection without any data: the objects of the connection, its buffers and timers.
constexpr std::size_t connection_bytes = 2048;
/// The first allocation for a body.
constexpr std::size_t min_body_allocation = 4096;
constexpr std::string_view continue_head = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

server_connection::server_connection(http_server& server, int fd)
    : m_server{server}, m_bev{bufferevent_socket_new(server.m_loop.base(), fd,
                                                     BEV_OPT_CLOSE_ON_FREE)},
      m_reader{HTTP_REQUEST, *this}, m_account{server.m_loop.memory(), *this}
{
    set_connection_options(fd);
    bufferevent_setcb(m_bev, &server_connection::on_readable, &server_connection::on_writable,
                      &server_connection::on_event, this);
    bufferevent_setwatermark(m_bev, EV_READ, 0, read_ahead_bytes);
    bufferevent_enable(m_bev, EV_READ | EV_WRITE);
    m_timer = server.m_loop.after(server.m_limits.idle_timeout, [this] { time_out(); });
    refresh_account();
}

server_connection::~server_connection()
{
    bufferevent_free(m_bev);
}

void server_connection::write(std::string_view bytes)
{
    if (m_phase == phase::closed)
        return;
    bufferevent_write(m_bev, bytes.data(), bytes.size());
    m_bytes_written += bytes.size();
    refresh_account();
}

std::size_t server_connection::unsent_bytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_bev));
}

void server_connection::on_readable(bufferevent* /*bev*/, void* arg)
{
    const auto it = static_cast<server_connection*>(arg)->shared_from_this();
    it->read();
    it->refresh_account();
    auto& memory = it->m_server.m_loop.memory();
    if (memory.is_short())
        memory.reclaim(common::now());
}

void server_connection::on_writable(bufferevent* /*bev*/, void* arg)
{
    const auto it = static_cast<server_connection*>(arg)->shared_from_this();
    if (const auto reply_to = it->m_responder.lock())
        reply_to->drained();
    if (it->m_phase == phase::lingering)
        ::shutdown(bufferevent_getfd(it->m_bev), SHUT_WR);
    it->refresh_account();
    it->read_input();
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
    while (may_read_next())
    {
        const auto n = evbuffer_get_contiguous_space(input);
        if (n == 0)
            return;
        const auto* data =
            reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(n)));
        // Paused at the end of the last request, so that its response decides when to read on.
        if (m_phase == phase::idle)
            m_reader.pause(false);
        const auto used = m_reader.feed({data, n});
        evbuffer_drain(input, used);
        m_bytes_read += used;
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
    if (length != http_reader::no_length && !m_server.m_loop.memory().can_hold_body(length))
    {
        reject_for_memory();
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
    if (m_body.size() + bytes.size() > m_server.m_limits.body_bytes)
    {
        dispatch(false, true);
        return false;
    }
    reserve_body(bytes.size());
    m_body += bytes;
    return true;
}

/// Allocates memory for more bytes of the body: twice the last size, or all that the body can have
/// once that is at most four times the last size. The string rounds a smaller step up to twice its
/// size. What is only announced takes no memory.
void server_connection::reserve_body(std::size_t more)
{
    const auto needed = m_body.size() + more;
    if (needed <= m_body.capacity())
        return;
    const auto length = m_reader.content_length();
    const auto most = length == http_reader::no_length ? m_server.m_limits.body_bytes
                                                       : static_cast<std::size_t>(length);
    const auto doubled = std::max(2 * m_body.capacity(), min_body_allocation);
    m_body.reserve(std::max(needed, most <= 2 * doubled ? most : doubled));
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
    const auto head_memory = m_reader.memory_bytes();
    request.headers = std::move(m_reader.headers());
    // The body of a request over the limits is not needed for its refusal.
    if (!headers_too_large && !body_too_large)
        request.body = std::move(m_body);
    release_request();
    received.charge = std::make_shared<memory_charge>(
        m_server.m_loop.memory(), charge_kind::request, head_memory + request.body.capacity());
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
    refresh_account();
    m_timer = m_server.m_loop.after(m_server.m_limits.idle_timeout, [this] { time_out(); });
    read_input();
}

/// Reads a request that has arrived meanwhile after the current event handler.
void server_connection::read_input()
{
    if (may_read_next() && evbuffer_get_length(bufferevent_get_input(m_bev)) != 0)
        bufferevent_trigger(m_bev, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

bool server_connection::may_read_next() const
{
    return m_phase == phase::reading ||
           (m_phase == phase::idle && unsent_bytes() <= max_unsent_before_next_request);
}

connection_state server_connection::state() const
{
    if (m_phase == phase::lingering)
        return connection_state::lingering;
    if (m_phase == phase::reading)
        return connection_state::receiving;
    const auto unsent = unsent_bytes();
    if (m_phase == phase::responding)
        return unsent > small_holder_bytes ? connection_state::sending : connection_state::serving;
    return unsent > 0 ? connection_state::sending : connection_state::idle;
}

void server_connection::refresh_account()
{
    const auto unsent = unsent_bytes();
    m_account.set(connection_bytes + m_body.capacity() + m_reader.memory_bytes() + unsent +
                      evbuffer_get_length(bufferevent_get_input(m_bev)),
                  state());
    m_account.record_progress(m_bytes_read + m_bytes_written - unsent, common::now());
}

/// Frees the memory of the request, which has been passed on or is refused.
void server_connection::release_request()
{
    // An assignment would keep the capacity.
    std::string{}.swap(m_body);
    m_reader.release_head();
}

void server_connection::release(shortage why)
{
    const auto self = shared_from_this();
    if (why == shortage::memory && m_phase == phase::reading)
        return reject_for_memory();
    close();
}

/// Refuses a request that has not arrived completely, and keeps none of its bytes.
void server_connection::reject_for_memory()
{
    m_server.m_loop.memory().count_refusal(common::now());
    release_request();
    reject(m_server.m_memory_full_response);
}

/// Responds to a malformed request and closes the connection.
void server_connection::reject(const http_response& response)
{
    m_phase = phase::responding;
    m_timer.reset();
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
    release_request();
    refresh_account();
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
    m_account.close();
    const auto reply_to = m_responder.lock();
    m_responder.reset();
    if (reply_to)
        reply_to->connection_lost();
    // The descriptor is free for a new connection at once; the buffers are freed with the last
    // reference. The timer is reset after this event, since its
    // callback may be running now; it must not fire again.
    m_server.m_loop.defer([self = shared_from_this()] { self->m_timer.reset(); });
    ::close(bufferevent_getfd(m_bev));
    bufferevent_setfd(m_bev, -1);
    m_server.m_connections.erase(this);
}

} // namespace kumquatgap::io
