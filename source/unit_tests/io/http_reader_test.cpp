#include "io/http_codec.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

using namespace kumquatgap;
using namespace kumquatgap::io;

namespace
{

/// Reads responses and records their statuses and bodies.
class recorder : public message_handler
{
public:
    bool on_begin() override { return true; }
    bool on_head() override
    {
        statuses.push_back(reader.status());
        return true;
    }
    bool on_body(std::string_view bytes) override
    {
        body += bytes;
        return true;
    }
    bool on_complete() override
    {
        ++complete;
        return true;
    }

    /// Feeds a text in pieces of a size; 0 stands for all at once.
    void feed(std::string_view text, std::size_t piece)
    {
        while (!text.empty() && !reader.has_failed())
        {
            const auto n = piece == 0 ? text.size() : std::min(piece, text.size());
            reader.feed(text.substr(0, n));
            text.remove_prefix(n);
        }
    }

    http_reader reader{HTTP_RESPONSE, *this};
    std::vector<int> statuses;
    std::string body;
    int complete = 0;
};

constexpr auto s_framings = std::to_array<std::string_view>(
    {"Content-Length: 3\r\n\r\nodd", "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n",
     "\r\nodd"});
constexpr auto s_pieces = std::to_array<std::size_t>({0, 1, 11});

} // namespace

/// Guards against taking a status that the protocol does not have for an interim response, whose
/// body became the beginning of the next response's, or for an answer.
Test(http_reader, responses_with_impossible_status_lines_fail)
{
    for (const std::string_view line :
         {"HTTP/1.1 000 Odd", "HTTP/1.1 000", "HTTP/1.1 0 Odd", "HTTP/1.1 20 Odd",
          "HTTP/1.1 0200 Odd", "HTTP/1.1 2000 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 600 Odd",
          "HTTP/1.1 999 Odd", "HTTP/1.1 2x0 Odd", "HTTP/1.1 -20 Odd", "HTTP/1.1  200 Odd",
          "HTTP/1.1 200Odd", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/11.1 200 OK",
          "HTTP/1.1 101 Switching Protocols"})
    {
        for (const auto framing : s_framings)
        {
            for (const auto piece : s_pieces)
            {
                recorder it;
                it.feed(common::concat(line, "\r\n", framing), piece);
                cr_assert(it.reader.has_failed(), "%s", line.data());
                cr_assert(it.statuses.empty() && it.body.empty(), "%s", line.data());
            }
        }
    }
}

Test(http_reader, responses_of_the_protocol_are_read)
{
    for (const std::string_view text : {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes",
                                        "HTTP/1.0 200\r\nContent-Length: 3\r\n\r\nyes",
                                        "\r\nHTTP/1.1 599 X\r\nContent-Length: 3\r\n\r\nyes"})
    {
        for (const auto piece : s_pieces)
        {
            recorder it;
            it.feed(text, piece);
            cr_assert_not(it.reader.has_failed(), "%s: %s", text.data(),
                          it.reader.error_text().c_str());
            cr_assert_eq(it.complete, 1);
            cr_assert(it.body == "yes");
        }
    }
}

/// The status line after an interim response is checked like the first one.
Test(http_reader, status_line_after_interim_response_is_checked)
{
    for (const auto piece : s_pieces)
    {
        recorder sound;
        sound.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes",
                   piece);
        cr_assert_not(sound.reader.has_failed());
        cr_assert_eq(sound.statuses.size(), 2U);
        cr_assert(sound.body == "yes");
        recorder odd;
        odd.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\nContent-Length: 3\r\n\r\nyes",
                 piece);
        cr_assert(odd.reader.has_failed());
        cr_assert_eq(odd.statuses.size(), 1U);
    }
}

/// Guards against an interim response's body that became part of the final one.
Test(http_reader, body_where_the_status_allows_none_fails)
{
    for (const std::string_view line :
         {"HTTP/1.1 100 Continue", "HTTP/1.1 103 Early Hints", "HTTP/1.1 204 No Content"})
    {
        for (const std::size_t framing : {0U, 1U})
        {
            recorder it;
            it.feed(common::concat(line, "\r\n", s_framings.at(framing)), 0);
            cr_assert(it.reader.has_failed(), "%s", line.data());
            cr_assert(it.body.empty());
        }
    }
}

/// Guards against waiting for the body that a 304 only stands for.
Test(http_reader, not_modified_ends_with_its_head)
{
    recorder it;
    it.feed("HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n", 0);
    cr_assert_not(it.reader.has_failed());
    cr_assert_eq(it.complete, 1);
}
