#include "io/http_codec.hpp"

#include "common/text.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace kumquatgap::io
{

namespace
{

/// TCP keepalive: the first probe after one second without traffic, then one per second; three
/// unacknowledged probes close the connection.
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 3;
/// Sent data that stays unacknowledged for this long closes the connection.
constexpr int user_timeout_ms = 4000;
/// The parser's own limit is effectively off; the owner of a reader enforces its own.
constexpr std::uint32_t max_parser_head_bytes = 0x7fffffff;

constexpr std::string_view name_symbols = "!#$%&'*+-.^_`|~";

bool is_name_byte(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           name_symbols.find(c) != std::string_view::npos;
}

/// Control characters are not allowed in a field value; bytes above ASCII are accepted unchecked.
bool is_value_byte(char c)
{
    constexpr unsigned char del = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= ' ' && byte != del);
}

/// True for a response whose body ends with the connection.
bool has_close_delimited_body(const http_parser& p)
{
    constexpr int first_final_status = 200;
    const auto status = static_cast<int>(p.status_code);
    const bool has_body = status >= first_final_status && status != HTTP_STATUS_NO_CONTENT &&
                          status != HTTP_STATUS_NOT_MODIFIED;
    return has_body && (p.flags & (F_CONTENTLENGTH | F_CHUNKED)) == 0;
}

http_reader& reader_of(http_parser* p)
{
    return *static_cast<http_reader*>(p->data);
}

/// The pattern of a status line up to the byte after the status; `0` stands for a digit, and the
/// last byte for a space or the end of the line.
constexpr std::string_view status_line_pattern = "HTTP/1.0 000 ";

bool matches_status_line(char c, std::size_t at)
{
    if (at + 1 == status_line_pattern.size())
        return c == ' ' || c == '\r' || c == '\n';
    const auto expected = status_line_pattern[at];
    return expected == '0' ? c >= '0' && c <= '9' : c == expected;
}

} // namespace

const http_parser_settings& http_reader::settings()
{
    static const http_parser_settings s_settings = []
    {
        http_parser_set_max_header_size(max_parser_head_bytes);
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_message_begin = &http_reader::begin;
        s.on_url = &http_reader::url_part;
        s.on_header_field = &http_reader::field_part;
        s.on_header_value = &http_reader::value_part;
        s.on_headers_complete = &http_reader::head_done;
        s.on_body = &http_reader::body_part;
        s.on_message_complete = &http_reader::message_done;
        return s;
    }();
    return s_settings;
}

http_reader::http_reader(http_parser_type type, message_handler& handler) : m_handler{handler}
{
    http_parser_init(&m_parser, type);
    m_parser.data = this;
}

std::size_t http_reader::feed(std::string_view bytes)
{
    std::size_t used = 0;
    const auto execute = [&]
    {
        const auto rest = bytes.substr(used);
        used += http_parser_execute(&m_parser, &settings(), rest.data(), rest.size());
    };
    if (m_parser.type != HTTP_RESPONSE)
    {
        execute();
        return used;
    }
    // The parser stops after each response, so that the next status line is checked before it is
    // parsed.
    while (used < bytes.size() && !m_is_paused && !has_failed())
    {
        if (!take_status_line(bytes.substr(used)))
        {
            m_has_bad_status_line = true;
            break;
        }
        execute();
        if (is_paused() && !m_is_paused)
            http_parser_pause(&m_parser, 0);
    }
    return used;
}

/// The parser accepts any version, and any number of digits as the status.
bool http_reader::take_status_line(std::string_view bytes)
{
    for (const char c : bytes)
    {
        if (m_status_line.size() == status_line_pattern.size())
            return true;
        // Empty lines before a message are allowed.
        if (m_status_line.empty() && (c == '\r' || c == '\n'))
            continue;
        if (!matches_status_line(c, m_status_line.size()))
            return false;
        m_status_line += c;
    }
    return true;
}

bool http_reader::is_possible_response() const
{
    const bool is_interim = status() >= HTTP_STATUS_CONTINUE && status() < HTTP_STATUS_OK;
    if (!is_final_status(status()) && (!is_interim || status() == HTTP_STATUS_SWITCHING_PROTOCOLS))
        return false;
    const bool has_no_body = is_interim || status() == HTTP_STATUS_NO_CONTENT;
    const bool announces_body = (m_parser.flags & F_CHUNKED) != 0 ||
                                (m_content_length != no_length && m_content_length > 0);
    return !has_no_body || !announces_body;
}

void http_reader::feed_eof()
{
    http_parser_execute(&m_parser, &settings(), nullptr, 0);
}

bool http_reader::has_failed() const
{
    const auto ec = HTTP_PARSER_ERRNO(&m_parser);
    return (ec != HPE_OK && ec != HPE_PAUSED) || m_parser.upgrade != 0 || m_has_bad_status_line;
}

std::string http_reader::error_text() const
{
    if (m_has_bad_status_line)
        return "the status line is malformed";
    return http_errno_description(HTTP_PARSER_ERRNO(&m_parser));
}

std::string http_reader::method() const
{
    return http_method_str(static_cast<http_method>(m_parser.method));
}

int http_reader::begin(http_parser* p)
{
    auto& it = reader_of(p);
    it.m_headers = {};
    it.m_url.clear();
    it.m_field.clear();
    it.m_value.clear();
    it.m_in_value = false;
    it.m_has_malformed_field = false;
    it.m_head_bytes = 0;
    it.m_content_length = no_length;
    return it.m_handler.on_begin() ? 0 : 1;
}

void http_reader::release_head()
{
    m_headers = {};
    // An assignment would keep the capacity.
    for (auto* it : {&m_url, &m_field, &m_value})
        std::string{}.swap(*it);
    m_head_bytes = 0;
}

int http_reader::url_part(http_parser* p, const char* at, std::size_t n)
{
    auto& it = reader_of(p);
    it.m_url.append(at, n);
    it.m_head_bytes += n;
    return 0;
}

int http_reader::field_part(http_parser* p, const char* at, std::size_t n)
{
    auto& it = reader_of(p);
    if (it.m_in_value)
        it.end_field();
    it.m_field.append(at, n);
    it.m_head_bytes += n;
    return 0;
}

int http_reader::value_part(http_parser* p, const char* at, std::size_t n)
{
    auto& it = reader_of(p);
    it.m_in_value = true;
    it.m_value.append(at, n);
    it.m_head_bytes += n;
    return 0;
}

void http_reader::end_field()
{
    // The packaged http_parser is built in lenient mode and accepts field names and values that
    // RFC 9110 forbids.
    m_has_malformed_field = m_has_malformed_field || !std::ranges::all_of(m_field, is_name_byte) ||
                            !std::ranges::all_of(m_value, is_value_byte);
    if (!m_field.empty())
        m_headers.add(std::move(m_field), std::move(m_value));
    m_field.clear();
    m_value.clear();
    m_in_value = false;
}

int http_reader::head_done(http_parser* p)
{
    constexpr int stop = -1;
    constexpr int skip_body = 1;
    auto& it = reader_of(p);
    it.end_field();
    it.m_content_length = (p->flags & F_CONTENTLENGTH) != 0 ? p->content_length : no_length;
    it.m_keep_alive = http_should_keep_alive(p) != 0;
    it.m_is_close_delimited = p->type == HTTP_RESPONSE && has_close_delimited_body(*p);
    const bool is_bad_url = !std::ranges::all_of(
        it.m_url, [](char c) { return c != ' ' && c != '\t' && is_value_byte(c); });
    const bool is_response = p->type == HTTP_RESPONSE;
    if (it.m_has_malformed_field || is_bad_url || (is_response && !it.is_possible_response()) ||
        !it.m_handler.on_head())
        return stop;
    // A 304 may name the length of the body that it stands for.
    const bool has_no_body = is_response && it.status() == HTTP_STATUS_NOT_MODIFIED;
    return it.m_expect_no_body || has_no_body ? skip_body : 0;
}

int http_reader::body_part(http_parser* p, const char* at, std::size_t n)
{
    return reader_of(p).m_handler.on_body({at, n}) ? 0 : 1;
}

int http_reader::message_done(http_parser* p)
{
    auto& it = reader_of(p);
    // Trailer fields of a chunked body belong to the message's framing and are dropped.
    it.m_field.clear();
    it.m_value.clear();
    it.m_in_value = false;
    if (!it.m_handler.on_complete())
        return 1;
    it.m_status_line.clear();
    if (p->type == HTTP_RESPONSE)
        http_parser_pause(p, 1);
    return 0;
}

void append_fields(std::string& out, const header_list& fields)
{
    for (const auto& [name, value] : fields)
    {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    out += "\r\n";
}

std::string to_chunk(std::string_view data)
{
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

void set_connection_options(int fd)
{
    const auto set = [fd](int level, int name, int value)
    { ::setsockopt(fd, level, name, &value, sizeof value); };
    set(IPPROTO_TCP, TCP_NODELAY, 1);
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set(IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set(IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms);
}

} // namespace kumquatgap::io
