#pragma once

#include "io/http_codec.hpp"
#include "io/http_server.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace kumquatgap::io
{

/// A caller's connection. It reads one request at a time and starts on the next one after the
/// response has been written.
class server_connection : public message_handler,
                          public buffer_owner,
                          public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(http_server& server, int fd);
    ~server_connection() override;

    void write(std::string_view bytes);
    std::size_t unsent_bytes() const;
    /// True unless the connection waits for a request and all written data has been sent.
    bool is_busy() const { return m_phase != phase::idle || unsent_bytes() != 0; }
    bool keeps_alive() const { return m_reader.should_keep_alive(); }
    bool is_http_1_0() const { return m_reader.is_http_1_0(); }
    bool is_head_request() const { return m_is_head_request; }
    bool server_closes_connections() const { return m_server.m_close_after_replies; }
    /// To be called when the response to the current request has been written; `close` is whether
    /// the connection ends after it.
    void response_done(bool close);
    /// Closes the connection at once.
    void close_now();
    /// Closes the connection once all written data has been sent.
    void close_when_sent();

    bool on_begin() override;
    bool on_head() override;
    bool on_body(std::string_view bytes) override;
    bool on_complete() override;

    void refresh_account() override;
    void release(shortage why) override;

private:
    enum class phase : std::uint8_t
    {
        /// No byte of a request has arrived.
        idle,
        reading,
        /// A request has been received, or rejected early, and its response is not complete yet.
        responding,
        /// The connection closes once all written data has been sent, or the peer has stopped
        /// reading.
        lingering,
        closed
    };

    static void on_readable(bufferevent* bev, void* arg);
    static void on_writable(bufferevent* bev, void* arg);
    static void on_event(bufferevent* bev, short what, void* arg);
    void read();
    void dispatch(bool headers_too_large, bool body_too_large);
    void reject(const http_response& response);
    void reject_for_memory();
    void read_input();
    bool may_read_next() const;
    void reserve_body(std::size_t more);
    void release_request();
    connection_state state() const;
    void time_out();
    void linger();
    void close_when_stalled(std::size_t unsent);
    void close();

    http_server& m_server;
    bufferevent* m_bev;
    http_reader m_reader;
    phase m_phase = phase::idle;
    std::string m_body;
    memory_account m_account;
    std::uint64_t m_bytes_read = 0;
    std::uint64_t m_bytes_written = 0;
    std::weak_ptr<responder> m_responder;
    timer_handle m_timer;
    bool m_is_head_request = false;
    bool m_is_counted_open = false;
};

} // namespace kumquatgap::io
