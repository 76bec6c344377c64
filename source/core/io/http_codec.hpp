#pragma once

#include "io/http_message.hpp"

#include <http_parser.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

struct bufferevent;

namespace kumquatgap::io
{

/// What an http_reader reports while it reads one message after the other. A handler that returns
/// false stops the reader for good.
class message_handler
{
public:
    message_handler() = default;
    message_handler(const message_handler&) = delete;
    message_handler& operator=(const message_handler&) = delete;
    virtual ~message_handler() = default;

    /// The first byte of a message has come.
    virtual bool on_begin() = 0;
    /// The head is complete.
    virtual bool on_head() = 0;
    virtual bool on_body(std::string_view bytes) = 0;
    /// The message is complete by its own framing.
    virtual bool on_complete() = 0;
};

/// Reads HTTP/1.1 messages from bytes, by http_parser, and keeps the head of the current one.
class http_reader
{
public:
    http_reader(http_parser_type type, message_handler& handler);

    /// Reads bytes; returns how many were used, fewer than given when paused or failed.
    std::size_t feed(std::string_view bytes);
    /// The peer has sent its last byte, which completes a message without a length.
    void feed_end();
    void pause(bool on) { http_parser_pause(&m_parser, on ? 1 : 0); }
    bool is_paused() const { return HTTP_PARSER_ERRNO(&m_parser) == HPE_PAUSED; }
    bool has_failed() const;
    /// A sentence that says what the parser objects to.
    std::string error_text() const;

    const header_list& headers() const { return m_headers; }
    header_list& headers() { return m_headers; }
    const std::string& url() const { return m_url; }
    std::string method() const;
    int status() const { return static_cast<int>(m_parser.status_code); }
    /// The length that the head announces; none when it announces none.
    std::uint64_t content_length() const { return m_content_length; }
    bool is_http_1_0() const { return m_parser.http_major == 1 && m_parser.http_minor == 0; }
    bool should_keep_alive() const { return m_keep_alive; }
    bool is_unframed() const { return m_unframed; }
    /// Bytes of the current head, without separators.
    std::size_t head_bytes() const { return m_head_bytes; }
    /// Set before a response's head is read whose request was a HEAD.
    void expect_no_body(bool on) { m_expect_no_body = on; }

    /// Marks that no length was announced.
    static constexpr std::uint64_t no_length = ~std::uint64_t{0};

private:
    static int begin(http_parser* p);
    static int url_part(http_parser* p, const char* at, std::size_t n);
    static int field_part(http_parser* p, const char* at, std::size_t n);
    static int value_part(http_parser* p, const char* at, std::size_t n);
    static int head_done(http_parser* p);
    static int body_part(http_parser* p, const char* at, std::size_t n);
    static int message_done(http_parser* p);
    static const http_parser_settings& settings();
    void end_field();

    http_parser m_parser{};
    message_handler& m_handler;
    header_list m_headers;
    std::string m_url;
    std::string m_field;
    std::string m_value;
    bool m_in_value = false;
    bool m_malformed_field = false;
    bool m_keep_alive = false;
    bool m_unframed = false;
    bool m_expect_no_body = false;
    std::size_t m_head_bytes = 0;
    std::uint64_t m_content_length = no_length;
};

/// Writes the fields of a head, and the blank line behind them.
void append_fields(std::string& out, const header_list& fields);
/// A chunk of a body in chunks.
std::string to_chunk(std::string_view data);
/// The last chunk of a body in chunks.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// Sets the options of a connection: no delay for small writes, and probes that notice a dead or
/// lost peer within a few seconds.
void set_connection_options(int fd);

} // namespace kumquatgap::io
