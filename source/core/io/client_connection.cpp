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
/// A kept connection is given up this long before the peer says that it closes it, so that no
/// request crosses the close.
constexpr milliseconds idle_margin{700};
/// How long a connection is kept when the peer says nothing of its limit.
constexpr milliseconds default_idle_limit{4000};

/// The longest head of an answer, with the fields behind its body.
constexpr std::size_t most_head_bytes = std::size_t{64} << 10;
/// Bytes around a body that carry nothing of it: heads, sizes of chunks and their extensions,
/// answers of somebody else. An answer may have this many, and some for each byte of its body,
/// since a chunk of one byte takes six.
constexpr std::size_t most_framing_bytes = std::size_t{256} << 10;
constexpr std::size_t framing_bytes_per_body_byte = 8;

/// The number of seconds in `timeout=N` of a Keep-Alive field.
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

client_connection::client_connection(http_client& client)
    : m_client{client}, m_reader{HTTP_RESPONSE, *this}
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
    bufferevent_setcb(m_bev, &client_connection::readable, nullptr, &client_connection::happened,
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
    m_done = false;
    m_can_be_kept = false;
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
    head += request.body;
    bufferevent_write(m_bev, head.data(), head.size());
}

void client_connection::abandon()
{
    m_call = nullptr;
    m_connection_lost = true;
    // A reset tells the peer at once that nobody waits for the answer.
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

bool client_connection::can_be_used(common::timestamp now, milliseconds longest_idle) const
{
    if (m_connection_lost)
        return false;
    const auto limit = std::min(longest_idle, m_idle_limit.value_or(default_idle_limit));
    return now - m_idle_since < limit;
}

void client_connection::readable(bufferevent* /*bev*/, void* arg)
{
    auto& it = *static_cast<client_connection*>(arg);
    const auto self = it.shared_from_this();
    it.read();
}

void client_connection::happened(bufferevent* /*bev*/, short what, void* arg)
{
    auto& it = *static_cast<client_connection*>(arg);
    const auto self = it.shared_from_this();
    if ((what & BEV_EVENT_CONNECTED) != 0)
    {
        it.m_connected = true;
        return;
    }
    it.read();
    it.closed((what & BEV_EVENT_EOF) != 0);
}

void client_connection::read()
{
    auto* input = bufferevent_get_input(m_bev);
    while (const auto n = evbuffer_get_length(input))
    {
        if (m_call == nullptr)
        {
            // Bytes that no call asked for: the connection is out of step.
            m_connection_lost = true;
            m_client.forget(this);
            return;
        }
        const auto chunk = evbuffer_get_contiguous_space(input);
        const auto* data =
            reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(chunk)));
        m_call->heard();
        const auto used = m_reader.feed({data, std::min(chunk, n)});
        evbuffer_drain(input, used);
        m_read_bytes += used;
        if (m_call != nullptr && is_oversized())
            return finish(call_end::oversized);
        if (m_call != nullptr && m_reader.has_failed())
            return finish(call_end::malformed);
        if (m_done)
            return finish(call_end::complete);
    }
}

/// True when the peer has sent more than an answer may have, so that it may never end.
bool client_connection::is_oversized() const
{
    const auto framing = m_read_bytes - m_body_bytes;
    return m_body_too_long || m_reader.head_bytes() > most_head_bytes ||
           framing > most_framing_bytes + m_body_bytes * framing_bytes_per_body_byte;
}

void client_connection::closed(bool in_order)
{
    m_connection_lost = true;
    if (m_call == nullptr)
        return m_client.forget(this);
    if (!m_connected)
        return finish(call_end::not_connected);
    const bool ends_answer = in_order && m_reader.is_unframed() && !m_skipping &&
                             m_call->m_answer.status != 0 && m_call->m_options.accept_unframed;
    finish(ends_answer ? call_end::complete : call_end::cut);
}

bool client_connection::on_head()
{
    m_interim = m_reader.status() < first_final_status;
    if (m_call == nullptr || m_interim)
        return m_call != nullptr;
    const http_answer head{m_reader.status(), m_reader.headers(), {}};
    m_skipping = m_call->m_events.is_own && !m_call->m_events.is_own(head);
    if (m_skipping)
    {
        m_connection_lost = true;
        // An answer of somebody else that has no end would swallow the own one.
        return !m_reader.is_unframed();
    }
    m_can_be_kept = m_reader.should_keep_alive();
    note_idle_limit();
    m_call->take_head(m_reader.status(), std::move(m_reader.headers()));
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
    if (m_skipping)
        return true;
    m_body_bytes += bytes.size();
    m_body_too_long = !m_call->take_body(bytes);
    return !m_body_too_long && m_call != nullptr;
}

bool client_connection::on_complete()
{
    if (m_call == nullptr)
        return false;
    if (m_interim || std::exchange(m_skipping, false))
        return true;
    m_done = true;
    // What comes behind the answer is not read as one.
    m_reader.pause(true);
    return true;
}

/// Ends the call. The connection is kept only when the peer has read the whole request and sent
/// nothing behind its answer.
void client_connection::finish(call_end how)
{
    auto* call = std::exchange(m_call, nullptr);
    const bool has_surplus = evbuffer_get_length(bufferevent_get_input(m_bev)) != 0;
    const bool has_unsent = evbuffer_get_length(bufferevent_get_output(m_bev)) != 0;
    const bool keep = how == call_end::complete && m_can_be_kept && !m_connection_lost &&
                      !has_surplus && !has_unsent && call->m_options.reuse_connection;
    if (keep)
    {
        m_reader.pause(false);
        m_idle_since = common::now();
        m_client.keep(call->m_address, shared_from_this());
    }
    else
    {
        m_connection_lost = true;
        bufferevent_disable(m_bev, EV_READ | EV_WRITE);
    }
    call->end(how);
}

} // namespace kumquatgap::io
