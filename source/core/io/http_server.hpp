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

/// The answer to one request, whole or as a stream. It outlives its connection: what is written
/// after the caller has gone is dropped.
class responder : public std::enable_shared_from_this<responder>
{
public:
    explicit responder(std::shared_ptr<server_connection> connection);
    responder(const responder&) = delete;
    responder& operator=(const responder&) = delete;

    /// Sends a whole answer.
    void reply(const http_answer& answer);
    /// Starts an answer in chunks.
    void start_stream(int status, const header_list& headers);
    /// Sends a chunk of a started answer.
    void write(std::string_view data);
    /// Ends a started answer in the normal way.
    void end();
    /// Closes the connection, so that the caller sees that the answer is not whole.
    void cut();
    /// Cuts a started answer short once what was written has been sent, or its caller has stopped
    /// reading for a second. An answer without chunks is cut at once.
    void cut_after_sending();
    /// Tells the caller not to use the connection again.
    void close_after_reply() { m_close = true; }
    /// True until the answer was ended or the caller has gone.
    bool is_open() const { return m_connection != nullptr && !m_finished; }
    bool is_started() const { return m_started; }
    /// Bytes written but not yet taken by the caller's connection.
    std::size_t unsent_bytes() const;
    /// Calls fn when the caller goes away before the answer's end.
    void on_caller_gone(std::function<void()> fn) { m_on_gone = std::move(fn); }
    /// Calls fn each time all that was written has been taken.
    void on_drained(std::function<void()> fn) { m_on_drained = std::move(fn); }

private:
    friend class server_connection;
    void send_head(int status, const header_list& headers, std::string_view framing);
    void finish();
    void caller_gone();
    void drained();

    std::shared_ptr<server_connection> m_connection;
    std::function<void()> m_on_gone;
    std::function<void()> m_on_drained;
    bool m_started = false;
    bool m_finished = false;
    bool m_close = false;
    bool m_in_chunks = true;
};

using responder_ptr = std::shared_ptr<responder>;

/// A received request with the limits it broke.
struct received_request
{
    http_request request;
    bool body_too_large = false;
    bool headers_too_large = false;
    /// The request stopped arriving before its end.
    bool timed_out = false;
};

/// How much of a request is read, and how long a connection may take for it.
struct http_limits
{
    std::size_t body_bytes = std::size_t{1} << 20;
    std::size_t header_bytes = std::size_t{16} << 10;
    /// From the first byte of a request to the end of its head.
    common::milliseconds header_timeout{10'000};
    /// Between two requests.
    common::milliseconds idle_timeout{120'000};
};

/// An HTTP/1.1 server on libevent's buffered connections.
class http_server
{
public:
    using handler = std::function<void(received_request, responder_ptr)>;

    http_server(event_loop& loop, http_limits limits, handler fn);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Sets the answer to requests that can't be read, after which the connection is closed.
    void set_malformed_answer(const http_answer& answer) { m_malformed_answer = answer; }
    /// Changes the limits, also those of open connections.
    void set_limits(const http_limits& limits) { m_limits = limits; }
    /// From now on every answer tells the caller not to use its connection again.
    void close_after_replies() { m_closing = true; }
    /// Listens on `ip:port`; false when the address can't be had.
    bool listen(std::string_view address);
    /// Closes the listening socket; open connections go on.
    void stop_listening();
    /// Requests whose answer has not been written to its end.
    std::size_t open_requests() const { return m_open_requests; }
    std::size_t open_connections() const { return m_connections.size(); }
    /// True while a request is arriving, waits for its answer, or has an answer that its caller's
    /// connection hasn't taken whole. A program that stops before loses bytes.
    bool is_busy() const;

private:
    friend class server_connection;
    friend class responder;
    static void accepted(evconnlistener* listener, int fd, sockaddr* address, int size, void* arg);

    event_loop& m_loop;
    http_limits m_limits;
    handler m_handler;
    http_answer m_malformed_answer{400, {}, {}};
    evconnlistener* m_listener = nullptr;
    std::map<const server_connection*, std::shared_ptr<server_connection>> m_connections;
    std::size_t m_open_requests = 0;
    bool m_closing = false;
};

} // namespace kumquatgap::io
