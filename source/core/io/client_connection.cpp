#include "io/client_connection.hpp"

#include "common/settings.hpp"
#include "common/text.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>

namespace kumquatgap::io
{

using common::milliseconds;

namespace
{

constexpr int first_final_status = 200;
/// An idle connection is discarded this long before the peer's announced keep-alive timeout, so
/// that a request doesn't race with the peer's close.
constexpr milliseconds idle_margin{700};
/// Idle limit for a connection whose peer announces no keep-alive timeout.
constexpr milliseconds default_idle_limit{4000};

/// The longest head of a response, trailer fields included.
constexpr std::size_t max_head_bytes = std::size_t{64} << 10;
/// Limit for the bytes that are not part of the response body: heads, chunk sizes and extensions,
/// skipped responses to other requests. A response may have this many, plus
/// framing_bytes_per_body_byte for each byte of its body, since a chunk of one byte takes six.
constexpr std::size_t max_framing_bytes = std::size_t{256} << 10;
constexpr std::size_t framing_bytes_per_body_byte = 8;

/// The timeout in a Keep-Alive header field (`timeout=N`, in seconds); none when it is missing.
std::optional<milliseconds> keep_alive_limit(std::string_view field)
{
    constexpr std::string_view name = "timeout=";
    constexpr std::int64_t ms_per_s = 1000;
    const auto at = field.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    field.remove_prefix(at + name.size());
    const auto text = field.substr(0, field.find_first_not_of("0123456789"));
    std::int64_t n = 0;
    if (!common::parse_number(text, n))
        return std::nullopt;
    return milliseconds{n * ms_per_s};
}

} // namespace

client_connection::client_connection(http_client& client, connection_number number)
    : m_client{client}, m_number{number}, m_reader{HTTP_RESPONSE, *this}
{
}

client_connection::~client_connection()
{
    if (m_bev != nullptr)
        bufferevent_free(m_bev);
}

bool client_connection::connect(const std::string& address)
{
    const auto to = common::parse_address(address);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(to.port);
    if (inet_pton(AF_INET, to.ip.c_str(), &peer.sin_addr) != 1)
        return false;
    m_bev = bufferevent_socket_new(m_client.m_loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (m_bev == nullptr)
        return false;
    bufferevent_setcb(m_bev, &client_connection::on_readable, nullptr, &client_connection::on_event,
                      this);
    if (bufferevent_socket_connect(m_bev, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) !=
        0)
        return false;
    set_connection_options(bufferevent_getfd(m_bev));
    bufferevent_enable(m_bev, EV_READ | EV_WRITE);
    return true;
}

void client_connection::start(http_call& call, const std::string& address,
                              const http_request& request)
{
    m_call = &call;
    m_complete = false;
    m_keep_alive = false;
    m_body_too_long = false;
    m_read_bytes = 0;
    m_body_bytes = 0;
    m_reader.expect_no_body(request.method == "HEAD");
    std::string head = request.method + " " + request.path;
    if (!request.query.empty())
        head += "?" + request.query;
    head += " HTTP/1.1\r\n";
    if (request.headers.find("host").empty())
        head += "Host: " + address + "\r\n";
    const bool has_body = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT" || request.method == "PATCH";
    if (has_body)
        head += common::concat("Content-Length: ", request.body.size(), "\r\n");
    append_fields(head, request.headers);
    // One write for a small request; a large body is not copied once more.
    if (request.body.size() <= small_holder_bytes)
    {
        head += request.body;
        bufferevent_write(m_bev, head.data(), head.size());
        return;
    }
    bufferevent_write(m_bev, head.data(), head.size());
    bufferevent_write(m_bev, request.body.data(), request.body.size());
}

void client_connection::abandon()
{
    m_call = nullptr;
    m_connection_lost = true;
    // A reset informs the peer at once that its response is no longer wanted.
    if (m_bev != nullptr)
        bufferevent_disable(m_bev, EV_READ | EV_WRITE);
}

void client_connection::pause_reading(bool on)
{
    if (on)
        bufferevent_disable(m_bev, EV_READ);
    else
        bufferevent_enable(m_bev, EV_READ);
}

bool client_connection::is_reusable(common::timestamp now) const
{
    const auto it = idle_state(now);
    return !m_connection_lost && it.idle_for < it.idle_limit;
}

idle_connection client_connection::idle_state(common::timestamp now) const
{
    return {m_number, now - m_idle_since, m_idle_limit.value_or(default_idle_limit)};
}

void client_connection::on_readable(bufferevent* /*bev*/, void* arg)
{
    auto& it = *static_cast<client_connection*>(arg);
    const auto self = it.shared_from_this();
    it.read();
}

void client_connection::on_event(bufferevent* /*bev*/, short what, void* arg)
{
    auto& it = *static_cast<client_connection*>(arg);
    const auto self = it.shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0)
    {
        it.m_connected = true;
        return;
    }
    it.read();
    it.connection_closed((what & BEV_EVENT_EOF) != 0);
}

void client_connection::read()
{
    auto* input = bufferevent_get_input(m_bev);
    while (const auto n = evbuffer_get_length(input))
    {
        if (m_call == nullptr)
        {
            // Unsolicited bytes: responses could no longer be matched to requests.
            m_connection_lost = true;
            m_client.remove_idle(this);
            return;
        }
        const auto chunk = evbuffer_get_contiguous_space(input);
        const auto* data =
            reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(chunk)));
        m_call->restart_silence_timer();
        const auto used = m_reader.feed({data, std::min(chunk, n)});
        evbuffer_drain(input, used);
        m_read_bytes += used;
        if (m_call != nullptr && is_oversized())
            return finish(call_outcome::oversized);
        if (m_call != nullptr && m_reader.has_failed())
            return finish(call_outcome::malformed);
        if (m_complete)
            return finish(call_outcome::complete);
    }
}

/// True when the peer has sent more than a response may have. Without this limit, a response could
/// go on without end.
bool client_connection::is_oversized() const
{
    const auto framing = m_read_bytes - m_body_bytes;
    return m_body_too_long || m_reader.head_bytes() > max_head_bytes ||
           framing > max_framing_bytes + m_body_bytes * framing_bytes_per_body_byte;
}

void client_connection::connection_closed(bool orderly)
{
    m_connection_lost = true;
    if (m_call == nullptr)
        return m_client.remove_idle(this);
    if (!m_connected)
        return finish(call_outcome::not_connected);
    const bool ends_response = orderly && m_reader.is_close_delimited() && !m_skip_response &&
                               m_call->m_response.status != 0 &&
                               m_call->m_options.accept_close_delimited;
    finish(ends_response ? call_outcome::complete : call_outcome::cut);
}

bool client_connection::on_head()
{
    m_is_interim = m_reader.status() < first_final_status;
    if (m_call == nullptr || m_is_interim)
        return m_call != nullptr;
    const http_response head{m_reader.status(), m_reader.headers(), {}};
    m_skip_response = m_call->m_events.matches_call && !m_call->m_events.matches_call(head);
    if (m_skip_response)
    {
        m_connection_lost = true;
        // A close-delimited response to another request would swallow the response of this call.
        return !m_reader.is_close_delimited();
    }
    m_keep_alive = m_reader.should_keep_alive();
    note_idle_limit();
    m_call->receive_head(m_reader.status(), std::move(m_reader.headers()));
    return m_call != nullptr;
}

void client_connection::note_idle_limit()
{
    m_idle_limit = keep_alive_limit(m_reader.headers().find("keep-alive"));
    if (!m_idle_limit)
        return;
    *m_idle_limit -= std::min(idle_margin, *m_idle_limit / 2);
}

bool client_connection::on_body(std::string_view bytes)
{
    if (m_call == nullptr)
        return false;
    if (m_skip_response)
        return true;
    m_body_bytes += bytes.size();
    m_body_too_long = !m_call->receive_body(bytes);
    return !m_body_too_long && m_call != nullptr;
}

bool client_connection::on_complete()
{
    if (m_call == nullptr)
        return false;
    if (m_is_interim || std::exchange(m_skip_response, false))
        return true;
    m_complete = true;
    // Bytes after the response must not be parsed as another response.
    m_reader.pause(true);
    return true;
}

/// Ends the call. The connection is kept for reuse only when the whole request has been sent and
/// the peer has sent nothing after its response.
void client_connection::finish(call_outcome outcome)
{
    auto* call = std::exchange(m_call, nullptr);
    const bool has_surplus = evbuffer_get_length(bufferevent_get_input(m_bev)) != 0;
    const bool has_unsent = evbuffer_get_length(bufferevent_get_output(m_bev)) != 0;
    const bool is_kept = outcome == call_outcome::complete && m_keep_alive && !m_connection_lost &&
                         !has_surplus && !has_unsent && call->m_options.reuse_connection;
    if (is_kept)
    {
        m_reader.pause(false);
        m_idle_since = common::now();
        m_client.keep_idle(call->m_address, shared_from_this());
    }
    else
    {
        m_connection_lost = true;
        bufferevent_disable(m_bev, EV_READ | EV_WRITE);
    }
    call->end(outcome);
}

} // namespace kumquatgap::io
