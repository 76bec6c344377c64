#pragma once

#include "io/event_loop.hpp"
#include "io/http_message.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

struct evconnlistener;
struct sockaddr;

namespace kumquatgap::io
{

class server_connection;
class http_server;

/// Sends the response to one request, at once or as a stream. It may outlive its connection: data
/// that is written after the caller has disconnected is dropped.
class responder : public std::enable_shared_from_this<responder>
{
public:
    explicit responder(std::shared_ptr<server_connection> connection);
    responder(const responder&) = delete;
    responder& operator=(const responder&) = delete;

    /// Sends a complete response.
    void reply(const http_response& response);
    /// Starts a streamed response, chunked unless the caller speaks HTTP/1.0.
    void start_stream(int status, const header_list& headers);
    /// Sends a part of a started response.
    void write(std::string_view data);
    /// Completes a started response.
    void end();
    /// Closes the connection, so that the caller detects a truncated response.
    void cut();
    /// Truncates a started response once the data written so far has been sent, or the caller has
    /// read nothing for a second. A response that is not chunked is cut at once.
    void cut_after_sending();
    /// Closes the connection after the response, which says so in its Connection field.
    void close_after_reply() { m_close_after_reply = true; }
    /// True until the response has ended or the caller has disconnected.
    bool is_open() const { return m_connection != nullptr && !m_finished; }
    bool is_started() const { return m_started; }
    /// Bytes written but not yet accepted by the caller's socket.
    std::size_t unsent_bytes() const;
    /// Calls fn when the caller disconnects before the end of the response.
    void on_caller_gone(std::function<void()> fn) { m_on_caller_gone = std::move(fn); }
    /// Calls fn each time the socket has accepted all written data.
    void on_drained(std::function<void()> fn) { m_on_drained = std::move(fn); }

private:
    friend class server_connection;
    void send_head(int status, const header_list& headers, std::string_view framing);
    void finish();
    void connection_lost();
    void drained();

    std::shared_ptr<server_connection> m_connection;
    std::function<void()> m_on_caller_gone;
    std::function<void()> m_on_drained;
    bool m_started = false;
    bool m_finished = false;
    bool m_close_after_reply = false;
    bool m_is_chunked = true;
};

using responder_ptr = std::shared_ptr<responder>;

/// A received request and the limits that it exceeded.
struct received_request
{
    http_request request;
    bool body_too_large = false;
    bool headers_too_large = false;
    /// The request stopped arriving before its end.
    bool timed_out = false;
    /// Counts the request towards the memory budget as long as it is held.
    std::shared_ptr<memory_charge> charge = {};
};

/// Size limits of a request and time limits of a connection.
struct http_limits
{
    std::size_t body_bytes = std::size_t{1} << 20;
    std::size_t header_bytes = std::size_t{16} << 10;
    /// From the first byte of a request to the end of its head.
    common::milliseconds header_timeout{10'000};
    /// Between two requests, and from the end of a request's head to the end of its body.
    common::milliseconds idle_timeout{120'000};
};

/// An HTTP/1.1 server on libevent bufferevents.
class http_server
{
public:
    using handler = std::function<void(received_request, responder_ptr)>;

    http_server(event_loop& loop, http_limits limits, handler fn);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Sets the response to malformed requests, after which the connection is closed.
    void set_malformed_response(const http_response& response) { m_malformed_response = response; }
    /// Sets the response to requests that are refused because memory is short, after which the
    /// connection is closed.
    void set_memory_full_response(const http_response& response)
    {
        m_memory_full_response = response;
    }
    /// Lets connections use the reserve for the system's own callers (probes, metrics).
    void set_internal() { m_is_internal = true; }
    /// Changes the limits, also for open connections.
    void set_limits(const http_limits& limits) { m_limits = limits; }
    /// From now on closes each connection after its next response, which says so to the caller.
    void close_after_replies() { m_close_after_replies = true; }
    /// Listens on `ip:port`; returns false when the address is invalid or can't be bound.
    bool listen(std::string_view address);
    /// Closes the listening socket; open connections stay open.
    void stop_listening();
    /// Requests whose response has not been written completely.
    std::size_t open_requests() const { return m_open_requests; }
    std::size_t open_connections() const { return m_connections.size(); }
    /// True while a request is arriving or waits for its response, or a response has not been
    /// accepted completely by the caller's socket. A program that exits earlier loses data.
    bool is_busy() const;

private:
    friend class server_connection;
    friend class responder;
    static void accepted(evconnlistener* listener, int fd, sockaddr* address, int size, void* arg);

    event_loop& m_loop;
    http_limits m_limits;
    handler m_handler;
    http_response m_malformed_response{400, {}, {}};
    http_response m_memory_full_response{503, {}, {}};
    evconnlistener* m_listener = nullptr;
    std::map<const server_connection*, std::shared_ptr<server_connection>> m_connections;
    std::size_t m_open_requests = 0;
    bool m_close_after_replies = false;
    bool m_is_internal = false;
};

} // namespace kumquatgap::io
