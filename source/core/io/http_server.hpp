#pragma once

#include "io/event_loop.hpp"
#include "io/http_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct evhtp;
struct evhtp_connection;
struct evhtp_request;

namespace kumquatgap::io
{

/// The answer to one request, whole or as a stream. It outlives its connection: what is written
/// after the caller has gone is dropped.
class responder : public std::enable_shared_from_this<responder>
{
public:
    explicit responder(evhtp_request* request);
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
    /// Closes the connection once what was written has been sent, or after a second.
    void cut_after_sending();
    /// True until the answer was ended or the caller has gone.
    bool is_open() const { return m_request != nullptr && !m_finished; }
    bool is_started() const { return m_started; }
    /// Bytes written but not yet taken by the caller's connection.
    std::size_t unsent_bytes() const;
    /// Calls fn when the caller goes away before the answer's end.
    void on_caller_gone(std::function<void()> fn) { m_on_gone = std::move(fn); }

private:
    friend class http_server;
    void request_freed();
    void add_headers(const header_list& headers);
    void shut_connection();
    void shut_when_sent(int checks_left);

    evhtp_request* m_request;
    std::function<void()> m_on_gone;
    bool m_started = false;
    bool m_finished = false;
};

using responder_ptr = std::shared_ptr<responder>;

/// A received request with the limits it broke.
struct received_request
{
    http_request request;
    bool body_too_large = false;
    bool headers_too_large = false;
};

/// How much of a request is read.
struct http_limits
{
    std::size_t body_bytes = std::size_t{1} << 20;
    std::size_t header_bytes = std::size_t{16} << 10;
};

/// An HTTP/1.1 server by libevhtp.
class http_server
{
public:
    using handler = std::function<void(received_request, responder_ptr)>;

    http_server(event_loop& loop, http_limits limits, handler fn);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// Sets the answer to requests that can't be read, after which the connection is closed.
    void set_malformed_answer(const http_answer& answer);
    /// Listens on `ip:port`; false when the address can't be had.
    bool listen(std::string_view address);
    /// Closes the listening socket; open connections go on.
    void stop_listening();
    /// Requests whose answer has not ended.
    std::size_t open_requests() const { return m_open_requests; }

private:
    struct connection_state;
    static std::uint16_t accept(evhtp_connection* connection, void* arg);
    static void handle(evhtp_request* request, void* arg);

    http_limits m_limits;
    handler m_handler;
    evhtp* m_server;
    std::string m_malformed_answer;
    bool m_listening = false;
    std::size_t m_open_requests = 0;
};

} // namespace kumquatgap::io
