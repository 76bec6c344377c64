#include "gateway_deployment.hpp"

#include "common/result_code.hpp"
#include "common/text.hpp"
#include "io/http_codec.hpp"

#include <criterion/criterion.h>

#include <fstream>
#include <string>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using common::result_code;
using stand_ins::scripted_target;

namespace
{

using reply = scripted_target::reply;

constexpr int last_event = 8;
/// The limit for the growth of a gateway's memory while one target sends without end: the largest
/// buffered response (16 MiB) twice, for the buffer and its copy for the caller, plus heap
/// overhead.
constexpr std::int64_t max_memory_growth_kb = 40'960;
constexpr common::milliseconds write_period{1};
constexpr std::size_t block_bytes = std::size_t{64} << 10;

/// Sends one text repeatedly until the connection is closed.
class endless_writer
{
public:
    endless_writer(io::event_loop& loop, std::string repeated, bool is_slow)
        : m_loop{loop}, m_repeated{std::move(repeated)}, m_is_slow{is_slow}
    {
    }

    /// Starts to write to a connection on which the prefix was sent.
    void start(const reply& out)
    {
        m_out = out;
        m_sent = 0;
        m_timer = m_loop.every(write_period, [this] { write(); });
    }

    /// True once the peer has closed the connection.
    bool is_closed() const { return m_timer == nullptr && m_sent != 0; }

private:
    void write()
    {
        if (!m_out.is_open())
            return m_timer.reset();
        if (m_is_slow)
        {
            m_sent += m_out.write_some(m_repeated.substr(m_sent % m_repeated.size(), 1));
            return;
        }
        std::size_t n = 0;
        std::string block;
        do
        {
            // Continues a partly sent repetition where it stopped.
            block = m_repeated.substr(m_sent % m_repeated.size());
            while (block.size() < block_bytes)
                block += m_repeated;
            n = m_out.write_some(block);
            m_sent += n;
        } while (n == block.size());
    }

    io::event_loop& m_loop;
    std::string m_repeated;
    bool m_is_slow;
    reply m_out;
    std::size_t m_sent = 0;
    io::timer_handle m_timer;
};

/// A process's peak memory in kB.
std::int64_t peak_memory_kb(pid_t id)
{
    std::ifstream file{common::concat("/proc/", id, "/status")};
    std::string name;
    while (file >> name && name != "VmHWM:")
        file.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    std::int64_t out = 0;
    file >> out;
    return out;
}

/// An element of a response that the target sends without end.
struct endless_response_case
{
    const char* name;
    /// Bytes sent once before the repeated text; with the header of the request id where possible.
    std::function<std::string(const io::http_request&)> prefix;
    std::string repeated;
};

std::string id_headers(const io::http_request& request)
{
    return common::concat("X-Request-Id: ", request.headers.find("x-request-id"),
                          "\r\nX-Response-Signature: sig\r\n");
}

std::string chunked_head(const io::http_request& request)
{
    return common::concat("HTTP/1.1 200 OK\r\n", id_headers(request),
                          "Transfer-Encoding: chunked\r\n\r\n");
}

const std::vector<endless_response_case>& cases()
{
    static const std::vector<endless_response_case> s_cases{
        {"status line", [](const auto&) { return "HTTP/1.1 200 "; }, "so "},
        {"field name",
         [](const auto& request) { return "HTTP/1.1 200 OK\r\n" + id_headers(request) + "X-"; },
         "a"},
        {"field value",
         [](const auto& request) { return "HTTP/1.1 200 OK\r\n" + id_headers(request) + "X-A: "; },
         "a"},
        {"fields", [](const auto& request) { return "HTTP/1.1 200 OK\r\n" + id_headers(request); },
         "X-A: a\r\n"},
        {"interim answers", [](const auto&) { return ""; }, "HTTP/1.1 102 Wait\r\n\r\n"},
        {"size of a chunk", chunked_head, "0"},
        {"extension of a chunk", [](const auto& request) { return chunked_head(request) + "1;a="; },
         "a"},
        {"fields behind the body",
         [](const auto& request) { return chunked_head(request) + "1\r\na\r\n0\r\n"; },
         "X-A: a\r\n"},
        {"body in chunks", chunked_head, io::to_chunk(std::string(4096, 'a'))},
        {"body without a length",
         [](const auto& request) { return "HTTP/1.1 200 OK\r\n" + id_headers(request) + "\r\n"; },
         "body "},
        {"bytes that are no answer", [](const auto&) { return ""; }, "\x01\x02 nonsense "},
    };
    return s_cases;
}

/// Waits until the connection to an endless target is closed, and checks the gateway's memory.
void check_closed_within_limit(gateway_deployment& deployment, const endless_writer& writer,
                               std::int64_t before_kb, const char* name)
{
    cr_assert(deployment.wait_until([&] { return writer.is_closed(); }), "%s: not closed", name);
    const auto growth = peak_memory_kb(deployment.gateway().id()) - before_kb;
    cr_assert_leq(growth, max_memory_growth_kb, "%s: memory grew by %ld kB", name,
                  static_cast<long>(growth));
}

void complete_stream(const io::http_request& request, const reply& out)
{
    out.write(stream_head(request));
    for (int i = 1; i <= last_event; ++i)
        out.write(stream_event(i));
    out.write(io::last_chunk);
}

/// Runs one case at full speed, beside a stream of another service.
void run_case(const endless_response_case& it)
{
    gateway_deployment deployment;
    endless_writer writer{deployment.loop(), it.repeated, false};
    deployment.add_target("t-0", "plain",
                          [&](const io::http_request& request, const reply& out)
                          {
                              out.write(it.prefix(request));
                              writer.start(out);
                          });
    deployment.add_target("e-0", "engine", complete_stream);
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    const auto before_kb = peak_memory_kb(deployment.gateway().id());
    const auto endless = deployment.begin(deployment.request("/act/x", "r1", "{}"));
    const auto stream = deployment.call(deployment.request("/draft/x", "r2", "{}"));
    cr_assert_eq(stream.answer.body, events_text(1, last_event), "%s", it.name);
    cr_assert(deployment.wait_until([&] { return endless->result.ended; }), "%s: no end", it.name);
    cr_assert_eq(endless->result.answer.status / 100, 5, "%s: %d", it.name,
                 endless->result.answer.status);
    check_closed_within_limit(deployment, writer, before_kb, it.name);
    const bool is_malformed = std::string_view{it.name} == "bytes that are no answer";
    const auto code = is_malformed ? result_code::outcome_unknown : result_code::answer_too_long;
    const auto line = common::concat("code=", common::number(code));
    cr_assert(
        deployment.wait_until([&] { return deployment.log().find(line) != std::string::npos; }),
        "%s: no line with %s\n%s", it.name, line.c_str(), deployment.log().c_str());
}

} // namespace

Test(gateway_endless, endless_response_aborted_at_limit)
{
    for (const auto& it : cases())
        run_case(it);
}

Test(gateway_endless, endless_bytes_after_response_close_connection)
{
    gateway_deployment deployment;
    endless_writer writer{deployment.loop(), "more ", false};
    deployment.add_target("t-0", "plain",
                          [&](const io::http_request& request, const reply& out)
                          {
                              out.write(whole_answer(request, 200, "own"));
                              writer.start(out);
                          });
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    const auto before_kb = peak_memory_kb(deployment.gateway().id());
    const auto result = deployment.call(deployment.request("/act/x", "r1", "{}"));
    cr_assert_eq(result.answer.status, 200);
    cr_assert_eq(result.answer.body, "own");
    check_closed_within_limit(deployment, writer, before_kb, "behind an answer");
}

Test(gateway_endless, endless_event_aborted_and_stream_resumed_elsewhere)
{
    gateway_deployment deployment;
    endless_writer writer{deployment.loop(), "5\r\nabcde\r\n", false};
    deployment.add_target("e-0", "engine",
                          [&](const io::http_request& request, const reply& out)
                          {
                              out.write(stream_head(request) + stream_event(1) + "6\r\ndata: \r\n");
                              writer.start(out);
                          });
    deployment.add_target("e-1", "engine",
                          [&](const io::http_request& request, const reply& out)
                          {
                              int first = 0;
                              common::parse_number(request.headers.find("last-event-id"), first);
                              out.write(stream_head(request));
                              for (int i = first + 1; i <= last_event; ++i)
                                  out.write(stream_event(i));
                              out.write(io::last_chunk);
                          });
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    const auto before_kb = peak_memory_kb(deployment.gateway().id());
    // The first target of a call is random.
    constexpr int enough_calls = 60;
    for (int i = 0; i < enough_calls && !writer.is_closed(); ++i)
    {
        const auto result =
            deployment.call(deployment.request("/draft/x", common::concat("r", i), "{}"));
        cr_assert_eq(result.how, io::call_outcome::complete);
        cr_assert_eq(result.answer.body, events_text(1, last_event));
        deployment.run_for(common::milliseconds{20});
    }
    check_closed_within_limit(deployment, writer, before_kb, "event");
}

Test(gateway_endless, endless_response_byte_by_byte_times_out)
{
    // Slow bytes don't extend the call: it ends at its route's timeout, and so does the connection
    // to the target.
    for (const auto& it : cases())
    {
        gateway_deployment deployment;
        endless_writer writer{deployment.loop(), it.repeated, true};
        deployment.add_target("t-0", "plain",
                              [&](const io::http_request& request, const reply& out)
                              {
                                  out.write(it.prefix(request));
                                  writer.start(out);
                              });
        deployment.put_config(deployment.config(5));
        cr_assert(deployment.wait_ready());
        const auto result = deployment.call(deployment.request("/act/x", "r1", "{}"));
        cr_assert_eq(result.answer.status / 100, 5, "%s: %d", it.name, result.answer.status);
        cr_assert(deployment.wait_until([&] { return writer.is_closed(); }), "%s: not closed",
                  it.name);
    }
}

Test(gateway_endless, endless_event_byte_by_byte_resumed_elsewhere)
{
    gateway_deployment deployment;
    endless_writer writer{deployment.loop(), "1\r\na\r\n", true};
    io::timer_handle going;
    std::vector<reply> steady;
    deployment.add_target("e-0", "engine",
                          [&](const io::http_request& request, const reply& out)
                          {
                              out.write(stream_head(request) + stream_event(1) + "6\r\ndata: \r\n");
                              if (request.headers.find("x-request-id") != "steady")
                                  writer.start(out);
                          });
    // Another stream of the service progresses meanwhile, so that the service does not count as
    // stalled.
    int n = 0;
    deployment.add_target("e-1", "engine",
                          [&](const io::http_request& request, const reply& out)
                          {
                              if (request.headers.find("x-request-id") == "steady")
                              {
                                  out.write(stream_head(request));
                                  steady.push_back(out);
                                  return;
                              }
                              int first = 0;
                              common::parse_number(request.headers.find("last-event-id"), first);
                              out.write(stream_head(request));
                              for (int i = first + 1; i <= last_event; ++i)
                                  out.write(stream_event(i));
                              out.write(io::last_chunk);
                          });
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    // The target of a call is random. A call that reached the other target is abandoned, which
    // frees its slot.
    std::shared_ptr<open_call> open;
    constexpr int enough_calls = 40;
    for (int i = 0; i < enough_calls && steady.empty(); ++i)
    {
        open = deployment.begin(deployment.request("/draft/x", "steady", "{}"));
        deployment.run_for(common::milliseconds{20});
    }
    cr_assert(!steady.empty());
    constexpr common::milliseconds event_period{40};
    going = deployment.loop().every(event_period, [&] { steady.front().write(stream_event(++n)); });
    const bool is_closed = deployment.wait_until(
        [&]
        {
            const auto call = deployment.call(deployment.request("/draft/x", "r1", "{}"));
            cr_assert_eq(call.answer.body, events_text(1, last_event));
            return writer.is_closed();
        });
    cr_assert(is_closed);
}
