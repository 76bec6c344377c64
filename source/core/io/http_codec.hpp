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

/// Callbacks of an http_reader for each message it parses. When one returns false, the reader fails
/// and can't be used again.
class message_handler
{
public:
    message_handler() = default;
    message_handler(const message_handler&) = delete;
    message_handler& operator=(const message_handler&) = delete;
    virtual ~message_handler() = default;

    /// The first byte of a message has arrived.
    virtual bool on_begin() = 0;
    /// The start line and all header fields have been parsed.
    virtual bool on_head() = 0;
    virtual bool on_body(std::string_view bytes) = 0;
    /// The end of the message, as given by its framing, has been reached.
    virtual bool on_complete() = 0;
};

/// Incremental HTTP/1.1 parser on top of http_parser. Keeps the head of the current message.
class http_reader
{
public:
    http_reader(http_parser_type type, message_handler& handler);

    /// Parses bytes; returns how many were consumed, which is fewer than given when paused or
    /// failed. Responses fail that the protocol does not have: a status line that is not of version
    /// 1 or whose status is not three digits from 100 to 599, the status 101, which no request asks
    /// for, and a body where the status allows none.
    std::size_t feed(std::string_view bytes);
    /// Reports the end of the connection's input, which completes a close-delimited message.
    void feed_eof();
    void pause(bool on)
    {
        m_is_paused = on;
        http_parser_pause(&m_parser, on ? 1 : 0);
    }
    bool is_paused() const { return HTTP_PARSER_ERRNO(&m_parser) == HPE_PAUSED; }
    bool has_failed() const;
    /// The parser's description of its error.
    std::string error_text() const;

    const header_list& headers() const { return m_headers; }
    header_list& headers() { return m_headers; }
    const std::string& url() const { return m_url; }
    std::string method() const;
    int status() const { return static_cast<int>(m_parser.status_code); }
    /// The value of Content-Length; no_length when the head has none.
    std::uint64_t content_length() const { return m_content_length; }
    bool is_http_1_0() const { return m_parser.http_major == 1 && m_parser.http_minor == 0; }
    bool should_keep_alive() const { return m_keep_alive; }
    /// True for a response without Content-Length or chunks, whose body ends with the connection.
    bool is_close_delimited() const { return m_is_close_delimited; }
    /// Bytes of the current head's URL, field names and values, without separators.
    std::size_t head_bytes() const { return m_head_bytes; }
    /// The memory that the current head takes. A short field takes many times its bytes.
    std::size_t memory_bytes() const
    {
        return m_url.capacity() + m_head_bytes + m_headers.capacity_bytes();
    }
    /// Frees the memory of a head that is no longer needed.
    void release_head();
    /// To be set before the head of a response to a HEAD request is read.
    void expect_no_body(bool on) { m_expect_no_body = on; }

    /// Value of content_length() when the head has no Content-Length.
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
    bool take_status_line(std::string_view bytes);
    bool is_possible_response() const;

    http_parser m_parser{};
    message_handler& m_handler;
    header_list m_headers;
    std::string m_url;
    std::string m_field;
    std::string m_value;
    bool m_in_value = false;
    bool m_has_malformed_field = false;
    bool m_keep_alive = false;
    bool m_is_close_delimited = false;
    bool m_expect_no_body = false;
    /// The owner of the reader has paused it.
    bool m_is_paused = false;
    /// The beginning of the current response's status line, up to the end of its status.
    std::string m_status_line;
    bool m_has_bad_status_line = false;
    std::size_t m_head_bytes = 0;
    std::uint64_t m_content_length = no_length;
};

/// Appends header fields and the blank line that ends the head.
void append_fields(std::string& out, const header_list& fields);
/// Encodes data as one chunk of the chunked transfer coding.
std::string to_chunk(std::string_view data);
/// The chunk that ends a body in the chunked transfer coding.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

/// Sets the TCP options of a connection: TCP_NODELAY, and keepalive probes and a user timeout that
/// detect an unreachable peer within a few seconds.
void set_connection_options(int fd);

} // namespace kumquatgap::io
