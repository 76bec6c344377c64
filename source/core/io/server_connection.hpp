#pragma once

#include "io/http_codec.hpp"
#include "io/http_server.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace kumquatgap::io
{

/// One caller's connection. It reads a request, waits for its answer, and then reads the next one.
class server_connection : public message_handler,
                          public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(http_server& server, int fd);
    ~server_connection() override;

    void write(std::string_view bytes);
    std::size_t unsent_bytes() const;
    /// True unless the connection waits for a request and all that was written has been sent.
    bool is_busy() const { return m_phase != phase::idle || unsent_bytes() != 0; }
    bool keeps_alive() const { return m_reader.should_keep_alive(); }
    bool is_http_1_0() const { return m_reader.is_http_1_0(); }
    bool is_head_request() const { return m_is_head_request; }
    bool server_is_closing() const { return m_server.m_closing; }
    /// The answer to the current request has been written.
    void answered(bool close);
    /// Ends the connection at once.
    void shut();
    /// Ends the connection once everything written has been sent.
    void shut_when_sent();

    bool on_begin() override;
    bool on_head() override;
    bool on_body(std::string_view bytes) override;
    bool on_complete() override;

private:
    enum class phase : std::uint8_t
    {
        /// No byte of a request has come.
        idle,
        reading,
        /// A request is complete and has no whole answer yet.
        answering,
        /// The connection ends once the peer has read what was written.
        lingering,
        closed
    };

    static void readable(bufferevent* bev, void* arg);
    static void writable(bufferevent* bev, void* arg);
    static void happened(bufferevent* bev, short what, void* arg);
    void read();
    void hand_over(bool headers_too_large, bool body_too_large);
    void refuse(const http_answer& answer);
    void time_out();
    void linger();
    void await_last_bytes(std::size_t unsent);
    void close();

    http_server& m_server;
    bufferevent* m_bev;
    http_reader m_reader;
    phase m_phase = phase::idle;
    std::string m_body;
    std::weak_ptr<responder> m_answer;
    timer_handle m_timer;
    bool m_is_head_request = false;
    bool m_counted = false;
};

} // namespace kumquatgap::io
