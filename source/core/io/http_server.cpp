#include "io/http_server.hpp"

#include "io/server_connection.hpp"

#include "common/settings.hpp"
#include "common/text.hpp"

#include <event2/listener.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <algorithm>

namespace kumquatgap::io
{

namespace
{

constexpr int listen_backlog = 1024;

std::string status_line(int status)
{
    return common::concat("HTTP/1.1 ", status, " ",
                          http_status_str(static_cast<http_status>(status)), "\r\n");
}

} // namespace

responder::responder(std::shared_ptr<server_connection> connection)
    : m_connection{std::move(connection)}
{
}

void responder::send_head(int status, const header_list& headers, std::string_view framing)
{
    m_close_after_reply = m_close_after_reply || !m_connection->keeps_alive() ||
                          m_connection->server_closes_connections();
    auto head = status_line(status);
    head += framing;
    if (m_close_after_reply)
        head += "Connection: close\r\n";
    append_fields(head, headers);
    m_connection->write(head);
}

void responder::reply(const http_response& response)
{
    if (!is_open() || m_started)
        return;
    m_started = true;
    const bool has_no_body =
        response.status == HTTP_STATUS_NO_CONTENT || response.status == HTTP_STATUS_NOT_MODIFIED;
    send_head(response.status, response.headers,
              has_no_body ? "" : common::concat("Content-Length: ", response.body.size(), "\r\n"));
    if (!m_connection->is_head_request() && !has_no_body)
        m_connection->write(response.body);
    finish();
}

void responder::start_stream(int status, const header_list& headers)
{
    if (!is_open() || m_started)
        return;
    m_started = true;
    // HTTP/1.0 has no chunked coding: the end of the connection ends the response.
    m_is_chunked = !m_connection->is_http_1_0();
    m_close_after_reply = m_close_after_reply || !m_is_chunked;
    send_head(status, headers, m_is_chunked ? "Transfer-Encoding: chunked\r\n" : "");
}

void responder::write(std::string_view data)
{
    if (!is_open() || !m_started || data.empty())
        return;
    if (m_is_chunked)
        m_connection->write(to_chunk(data));
    else
        m_connection->write(data);
}

void responder::end()
{
    if (!is_open() || !m_started)
        return;
    if (m_is_chunked)
        m_connection->write(last_chunk);
    finish();
}

void responder::finish()
{
    m_finished = true;
    const auto connection = std::move(m_connection);
    connection->response_done(m_close_after_reply);
}

void responder::cut()
{
    if (!is_open())
        return;
    m_finished = true;
    const auto connection = std::move(m_connection);
    connection->close_now();
}

void responder::cut_after_sending()
{
    if (!is_open())
        return;
    // Without chunks, the caller would take an orderly close for the end of the response.
    if (!m_is_chunked)
        return cut();
    m_finished = true;
    const auto connection = std::move(m_connection);
    connection->close_when_sent();
}

std::size_t responder::unsent_bytes() const
{
    return m_connection ? m_connection->unsent_bytes() : 0;
}

void responder::connection_lost()
{
    m_connection.reset();
    const auto fn = std::exchange(m_on_caller_gone, nullptr);
    if (fn && !m_finished)
        fn();
}

void responder::drained()
{
    if (is_open() && m_on_drained)
        m_on_drained();
}

http_server::http_server(event_loop& loop, http_limits limits, handler fn)
    : m_loop{loop}, m_limits{limits}, m_handler{std::move(fn)}
{
}

http_server::~http_server()
{
    stop_listening();
}

bool http_server::listen(std::string_view address)
{
    const auto it = common::parse_address(address);
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_port = htons(it.port);
    if (it.port == 0 || inet_pton(AF_INET, it.ip.c_str(), &own.sin_addr) != 1)
        return false;
    m_listener = evconnlistener_new_bind(m_loop.base(), &http_server::accepted, this,
                                         LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, listen_backlog,
                                         reinterpret_cast<const sockaddr*>(&own), sizeof own);
    return m_listener != nullptr;
}

void http_server::stop_listening()
{
    if (m_listener != nullptr)
        evconnlistener_free(std::exchange(m_listener, nullptr));
}

bool http_server::is_busy() const
{
    return std::ranges::any_of(m_connections, [](const auto& it) { return it.second->is_busy(); });
}

void http_server::accepted(evconnlistener* /*listener*/, int fd, sockaddr* /*address*/,
                           int /*size*/, void* arg)
{
    auto& server = *static_cast<http_server*>(arg);
    if (!server.m_loop.memory().admit_connection(server.m_is_internal, common::now()))
    {
        ::close(fd);
        return;
    }
    auto it = std::make_shared<server_connection>(server, fd);
    server.m_connections.emplace(it.get(), std::move(it));
}

} // namespace kumquatgap::io
