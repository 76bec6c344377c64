#include "gateway_site.hpp"

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
/// What a gateway's memory may grow by while one target sends without end: the longest answer that
/// is collected (16 MiB) twice, as it is kept and as it is passed on, and the heap's slack.
constexpr std::int64_t most_growth_kb = 40'960;
constexpr common::milliseconds write_period{1};
constexpr std::size_t block_bytes = std::size_t{64} << 10;

/// Sends a beginning, and then one text again and again until the connection goes.
class endless_writer
{
public:
    endless_writer(io::event_loop& loop, std::string part, bool is_slow)
        : m_loop{loop}, m_part{std::move(part)}, m_is_slow{is_slow}
    {
    }

    /// Goes on with a connection that has its beginning.
    void go_on(const reply& out)
    {
        m_out = out;
        m_sent = 0;
        m_timer = m_loop.every(write_period, [this] { write(); });
    }

    /// True once the peer has closed the connection.
    bool was_left() const { return m_timer == nullptr && m_sent != 0; }

private:
    void write()
    {
        if (!m_out.is_open())
            return m_timer.reset();
        if (m_is_slow)
        {
            m_sent += m_out.write_some(m_part.substr(m_sent % m_part.size(), 1));
            return;
        }
        std::size_t n = 0;
        std::string block;
        do
        {
            // A part of which some was sent goes on where it stopped.
            block = m_part.substr(m_sent % m_part.size());
            while (block.size() < block_bytes)
                block += m_part;
            n = m_out.write_some(block);
            m_sent += n;
        } while (n == block.size());
    }

    io::event_loop& m_loop;
    std::string m_part;
    bool m_is_slow;
    reply m_out;
    std::size_t m_sent = 0;
    io::timer_handle m_timer;
};

/// The most memory that a process has had, in kB.
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

/// A way in which a target's bytes have no end.
struct endless_case
{
    const char* name;
    /// What is sent first, behind the id's field where there is one.
    std::function<std::string(const io::http_request&)> beginning;
    std::string part;
};

std::string id_field(const io::http_request& request)
{
    return common::concat("X-Request-Id: ", request.headers.find("x-request-id"),
                          "\r\nX-Response-Signature: sig\r\n");
}

std::string chunked_head(const io::http_request& request)
{
    return common::concat("HTTP/1.1 200 OK\r\n", id_field(request),
                          "Transfer-Encoding: chunked\r\n\r\n");
}

const std::vector<endless_case>& cases()
{
    static const std::vector<endless_case> s_cases{
        {"status line", [](const auto&) { return "HTTP/1.1 200 "; }, "so "},
        {"field name",
         [](const auto& request) { return "HTTP/1.1 200 OK\r\n" + id_field(request) + "X-"; }, "a"},
        {"field value",
         [](const auto& request) { return "HTTP/1.1 200 OK\r\n" + id_field(request) + "X-A: "; },
         "a"},
        {"fields", [](const auto& request) { return "HTTP/1.1 200 OK\r\n" + id_field(request); },
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
         [](const auto& request) { return "HTTP/1.1 200 OK\r\n" + id_field(request) + "\r\n"; },
         "body "},
        {"bytes that are no answer", [](const auto&) { return ""; }, "\x01\x02 nonsense "},
    };
    return s_cases;
}

/// Waits until an endless target was left, and looks at the gateway's memory.
void check_left(gateway_site& site, const endless_writer& writer, std::int64_t before_kb,
                const char* name)
{
    cr_assert(site.wait_until([&] { return writer.was_left(); }), "%s: not closed", name);
    const auto growth = peak_memory_kb(site.gateway().id()) - before_kb;
    cr_assert_leq(growth, most_growth_kb, "%s: memory grew by %ld kB", name,
                  static_cast<long>(growth));
}

void whole_stream(const io::http_request& request, const reply& out)
{
    out.write(stream_head(request));
    for (int i = 1; i <= last_event; ++i)
        out.write(stream_event(i));
    out.write(io::last_chunk);
}

/// Plays one way at full speed, beside a stream of another service.
void play(const endless_case& it)
{
    gateway_site site;
    endless_writer writer{site.loop(), it.part, false};
    site.add_target("t-0", "plain",
                    [&](const io::http_request& request, const reply& out)
                    {
                        out.write(it.beginning(request));
                        writer.go_on(out);
                    });
    site.add_target("e-0", "engine", whole_stream);
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    const auto before_kb = peak_memory_kb(site.gateway().id());
    const auto endless = site.begin(site.request("/act/x", "r1", "{}"));
    const auto stream = site.call(site.request("/draft/x", "r2", "{}"));
    cr_assert_eq(stream.answer.body, events_text(1, last_event), "%s", it.name);
    cr_assert(site.wait_until([&] { return endless->result.ended; }), "%s: no end", it.name);
    cr_assert_eq(endless->result.answer.status / 100, 5, "%s: %d", it.name,
                 endless->result.answer.status);
    check_left(site, writer, before_kb, it.name);
    const bool is_malformed = std::string_view{it.name} == "bytes that are no answer";
    const auto code = is_malformed ? result_code::outcome_unknown : result_code::answer_too_long;
    const auto line = common::concat("code=", common::number(code));
    cr_assert(site.wait_until([&] { return site.log().find(line) != std::string::npos; }),
              "%s: no line with %s\n%s", it.name, line.c_str(), site.log().c_str());
}

} // namespace

Test(gateway_endless, no_part_of_an_answer_is_read_without_end)
{
    for (const auto& it : cases())
        play(it);
}

Test(gateway_endless, bytes_behind_an_answer_are_not_read)
{
    gateway_site site;
    endless_writer writer{site.loop(), "more ", false};
    site.add_target("t-0", "plain",
                    [&](const io::http_request& request, const reply& out)
                    {
                        out.write(whole_answer(request, 200, "own"));
                        writer.go_on(out);
                    });
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    const auto before_kb = peak_memory_kb(site.gateway().id());
    const auto result = site.call(site.request("/act/x", "r1", "{}"));
    cr_assert_eq(result.answer.status, 200);
    cr_assert_eq(result.answer.body, "own");
    check_left(site, writer, before_kb, "behind an answer");
}

Test(gateway_endless, an_event_without_an_end_is_given_up_and_the_stream_goes_on_elsewhere)
{
    gateway_site site;
    endless_writer writer{site.loop(), "5\r\nabcde\r\n", false};
    site.add_target("e-0", "engine",
                    [&](const io::http_request& request, const reply& out)
                    {
                        out.write(stream_head(request) + stream_event(1) + "6\r\ndata: \r\n");
                        writer.go_on(out);
                    });
    site.add_target("e-1", "engine",
                    [&](const io::http_request& request, const reply& out)
                    {
                        int first = 0;
                        common::parse_number(request.headers.find("last-event-id"), first);
                        out.write(stream_head(request));
                        for (int i = first + 1; i <= last_event; ++i)
                            out.write(stream_event(i));
                        out.write(io::last_chunk);
                    });
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    const auto before_kb = peak_memory_kb(site.gateway().id());
    // Which target comes first is drawn.
    constexpr int enough_calls = 60;
    for (int i = 0; i < enough_calls && !writer.was_left(); ++i)
    {
        const auto result = site.call(site.request("/draft/x", common::concat("r", i), "{}"));
        cr_assert_eq(result.how, io::call_end::complete);
        cr_assert_eq(result.answer.body, events_text(1, last_event));
        site.run_for(common::milliseconds{20});
    }
    check_left(site, writer, before_kb, "event");
}

Test(gateway_endless, byte_by_byte_is_no_sign_of_life)
{
    // Each way ends with its route's time, and the target's connection with it.
    for (const auto& it : cases())
    {
        gateway_site site;
        endless_writer writer{site.loop(), it.part, true};
        site.add_target("t-0", "plain",
                        [&](const io::http_request& request, const reply& out)
                        {
                            out.write(it.beginning(request));
                            writer.go_on(out);
                        });
        site.put_config(site.config(5));
        cr_assert(site.wait_ready());
        const auto result = site.call(site.request("/act/x", "r1", "{}"));
        cr_assert_eq(result.answer.status / 100, 5, "%s: %d", it.name, result.answer.status);
        cr_assert(site.wait_until([&] { return writer.was_left(); }), "%s: not closed", it.name);
    }
}

Test(gateway_endless, a_stream_whose_event_grows_byte_by_byte_goes_on_elsewhere)
{
    gateway_site site;
    endless_writer writer{site.loop(), "1\r\na\r\n", true};
    io::timer_handle going;
    std::vector<reply> steady;
    site.add_target("e-0", "engine",
                    [&](const io::http_request& request, const reply& out)
                    {
                        out.write(stream_head(request) + stream_event(1) + "6\r\ndata: \r\n");
                        if (request.headers.find("x-request-id") != "steady")
                            writer.go_on(out);
                    });
    // Another stream of the service goes on all the while, so that its group is not taken as lost.
    int n = 0;
    site.add_target("e-1", "engine",
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
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    // Which target a call gets is drawn; one that the other target has is left, so that its place
    // there and, after its stall, here is free.
    std::shared_ptr<open_call> open;
    constexpr int enough_calls = 40;
    for (int i = 0; i < enough_calls && steady.empty(); ++i)
    {
        open = site.begin(site.request("/draft/x", "steady", "{}"));
        site.run_for(common::milliseconds{20});
    }
    cr_assert(!steady.empty());
    constexpr common::milliseconds event_period{40};
    going = site.loop().every(event_period, [&] { steady.front().write(stream_event(++n)); });
    const bool was_left = site.wait_until(
        [&]
        {
            const auto call = site.call(site.request("/draft/x", "r1", "{}"));
            cr_assert_eq(call.answer.body, events_text(1, last_event));
            return writer.was_left();
        });
    cr_assert(was_left);
}
