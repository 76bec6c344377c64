#include "io/http_client.hpp"

#include "common/text.hpp"

#include "common/settings.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace kumquatgap::io
{

namespace
{

constexpr std::size_t max_idle_per_address = 64;

/// evhttp's own timer; silence is watched by http_call, which can tell it from other ends.
constexpr int evhttp_timeout_s = 24 * 3600;

struct method_name
{
    evhttp_cmd_type type;
    std::string_view name;
};

constexpr auto s_methods = std::to_array<method_name>({
    {EVHTTP_REQ_GET, "GET"},
    {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"},
    {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_PATCH, "PATCH"},
});

evhttp_cmd_type method_type(std::string_view name)
{
    const auto it = std::ranges::find(s_methods, name, &method_name::name);
    return it == s_methods.end() ? EVHTTP_REQ_GET : it->type;
}

/// Requests longer than one write would wait for the peer's delayed acknowledgement.
void send_without_delay(evhttp_connection* connection)
{
    const int on = 1;
    const auto fd = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    if (fd >= 0)
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string take_text(evbuffer* buf)
{
    std::string text(evbuffer_get_length(buf), '\0');
    evbuffer_remove(buf, text.data(), text.size());
    return text;
}

header_list copy_headers(evhttp_request* request)
{
    header_list out;
    const auto* fields = evhttp_request_get_input_headers(request);
    for (const auto* it = fields->tqh_first; it != nullptr; it = it->next.tqe_next)
        out.add(it->key, it->value);
    return out;
}

} // namespace

http_call::http_call(http_client& client, std::string address, const http_request& request,
                     call_events events, call_options options)
    : m_client{client}, m_address{std::move(address)}, m_events{std::move(events)},
      m_options{options}, m_connection{client.take(m_address, options.reuse_connection)}
{
    heard();
    m_connect_timer = m_client.m_loop.after(m_options.connect_timeout,
                                            [this]
                                            {
                                                if (!is_connected())
                                                    end(call_end::not_connected);
                                            });
    send(request);
}

http_call::~http_call()
{
    if (m_connection == nullptr)
        return;
    detach();
    m_client.close(m_connection);
}

/// Keeps evhttp from calling back until the connection, which owns the request, is freed.
void http_call::detach()
{
    if (m_request == nullptr)
        return;
    evhttp_request_set_header_cb(m_request, nullptr);
    evhttp_request_set_chunked_cb(m_request, nullptr);
    m_request->cb = [](evhttp_request*, void*) {};
    m_request->cb_arg = nullptr;
}

bool http_call::is_connected() const
{
    const auto fd = bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection));
    sockaddr_storage peer{};
    socklen_t size = sizeof peer;
    return fd >= 0 && ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
}

void http_call::send(const http_request& request)
{
    auto* out = evhttp_request_new(&http_call::finished, this);
    m_request = out;
    evhttp_request_set_header_cb(out, &http_call::head_received);
    evhttp_request_set_chunked_cb(out, &http_call::data_received);
    auto* headers = evhttp_request_get_output_headers(out);
    evhttp_add_header(headers, "Host", m_address.c_str());
    for (const auto& [name, value] : request.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(out), request.body.data(), request.body.size());
    const auto uri = request.query.empty() ? request.path : request.path + "?" + request.query;
    if (evhttp_make_request(m_connection, out, method_type(request.method), uri.c_str()) == 0)
        return send_without_delay(m_connection);
    // evhttp has freed the request and won't call back.
    m_request = nullptr;
    m_silence_timer =
        m_client.m_loop.after(common::milliseconds{0}, [this] { end(call_end::not_connected); });
}

int http_call::head_received(evhttp_request* request, void* arg)
{
    auto& call = *static_cast<http_call*>(arg);
    call.heard();
    call.m_answer.status = evhttp_request_get_response_code(request);
    call.m_answer.headers = copy_headers(request);
    if (call.m_events.on_head)
        call.m_events.on_head(call.m_answer);
    return 0;
}

void http_call::data_received(evhttp_request* request, void* arg)
{
    auto& call = *static_cast<http_call*>(arg);
    call.heard();
    const auto text = take_text(evhttp_request_get_input_buffer(request));
    if (call.m_events.on_data)
        call.m_events.on_data(text);
    else
        call.m_answer.body += text;
}

void http_call::finished(evhttp_request* request, void* arg)
{
    auto& call = *static_cast<http_call*>(arg);
    // evhttp gives a null request for a lost connection, and one without a status when it never
    // had a connection.
    call.m_request = nullptr;
    if (request == nullptr)
        return call.end(call_end::cut);
    if (evhttp_request_get_response_code(request) == 0)
        return call.end(call_end::not_connected);
    call.end(call.is_framed() ? call_end::complete : call_end::cut);
}

/// An answer that is ended only by the close of its connection can't be told from a cut one.
bool http_call::is_framed() const
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return m_answer.status == no_content || m_answer.status == not_modified ||
           !m_answer.headers.find("content-length").empty() ||
           !m_answer.headers.find("transfer-encoding").empty();
}

void http_call::heard()
{
    if (m_options.silence_timeout.count() == 0 || m_ended)
        return;
    m_silence_timer =
        m_client.m_loop.after(m_options.silence_timeout, [this] { end(call_end::silent); });
}

void http_call::end(call_end how)
{
    if (std::exchange(m_ended, true))
        return;
    m_silence_timer.reset();
    m_connect_timer.reset();
    detach();
    auto* connection = std::exchange(m_connection, nullptr);
    const bool keep = how == call_end::complete && m_options.reuse_connection &&
                      !common::equals_ignore_case(m_answer.headers.find("connection"), "close");
    if (keep)
        m_client.keep(m_address, connection);
    else
        m_client.close(connection);
    // The callback may destroy this call.
    const auto fn = std::move(m_events.on_end);
    const auto answer = std::move(m_answer);
    if (fn)
        fn(how, answer);
}

http_client::~http_client()
{
    for (auto& [address, connections] : m_idle)
        std::ranges::for_each(connections, evhttp_connection_free);
}

call_handle http_client::send(std::string address, const http_request& request, call_events events,
                              call_options options)
{
    return std::make_unique<http_call>(*this, std::move(address), request, std::move(events),
                                       options);
}

evhttp_connection* http_client::take(const std::string& address, bool reuse)
{
    auto& idle = m_idle[address];
    if (reuse && !idle.empty())
    {
        auto* connection = idle.back();
        idle.pop_back();
        return connection;
    }
    const auto it = common::parse_address(address);
    auto* connection = evhttp_connection_base_new(m_loop.base(), nullptr, it.ip.c_str(), it.port);
    evhttp_connection_set_timeout(connection, evhttp_timeout_s);
    return connection;
}

void http_client::keep(const std::string& address, evhttp_connection* connection)
{
    // evhttp is still inside the call that has just ended, so the connection joins the idle ones
    // after it.
    m_loop.defer(
        [this, address, connection]
        {
            auto& idle = m_idle[address];
            if (idle.size() < max_idle_per_address)
                idle.push_back(connection);
            else
                evhttp_connection_free(connection);
        });
}

void http_client::close(evhttp_connection* connection)
{
    m_loop.defer([connection] { evhttp_connection_free(connection); });
}

} // namespace kumquatgap::io
