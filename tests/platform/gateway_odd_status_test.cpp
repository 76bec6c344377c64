#include "gateway_deployment.hpp"

#include "common/text.hpp"
#include "io/http_codec.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <vector>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;

namespace
{

using reply = scripted_target::reply;

/// Status lines that the protocol does not have.
constexpr auto s_lines = std::to_array<std::string_view>(
    {"HTTP/1.1 000 Odd", "HTTP/1.1 20 Odd", "HTTP/1.1 0200 Odd", "HTTP/1.1 101 Odd",
     "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/2.0 200 OK"});
constexpr auto s_framings = std::to_array<std::string_view>(
    {"Content-Length: 3\r\n\r\nodd", "Transfer-Encoding: chunked\r\n\r\n3\r\nodd\r\n0\r\n\r\n",
     "\r\nodd"});

/// A response with an odd status line that otherwise looks like the target's own.
std::string odd_response(const io::http_request& request, std::string_view line,
                         std::string_view framing)
{
    return common::concat(line, "\r\nX-Request-Id: ", request.headers.find("x-request-id"),
                          "\r\nX-Response-Signature: s\r\n", framing);
}

/// A gateway with targets of one service, which count their requests and answer them as a test
/// says.
class odd_targets
{
public:
    explicit odd_targets(const std::string& service, int targets)
        : m_answers_streams{service == "engine"}
    {
        for (int i = 0; i < targets; ++i)
            m_targets.push_back(&m_deployment.add_target(
                common::concat("t-", i), service,
                [this](const auto& request, const auto& out) { answer(request, out); }));
        m_deployment.put_config(m_deployment.config(5));
        cr_assert(m_deployment.wait_ready());
    }

    /// Makes a call whose first arrival is answered by `fn`; others get a sound answer.
    outcome call(const std::string& path, scripted_target::script fn)
    {
        m_first = std::move(fn);
        m_arrivals = 0;
        const auto request = m_deployment.request(path, common::concat("r", ++m_calls), "{}");
        return m_deployment.call(request);
    }

    int arrivals() const { return m_arrivals; }
    std::size_t connections() const
    {
        std::size_t n = 0;
        for (const auto* it : m_targets)
            n += it->connections_accepted();
        return n;
    }

private:
    void answer(const io::http_request& request, const reply& out)
    {
        if (++m_arrivals == 1 && m_first)
            return m_first(request, out);
        if (m_answers_streams)
            out.write(stream_head(request) + stream_event(1) + std::string{io::last_chunk});
        else
            out.write(whole_answer(request, 200, "sound"));
    }

    gateway_deployment m_deployment;
    std::vector<scripted_target*> m_targets;
    scripted_target::script m_first;
    bool m_answers_streams;
    int m_arrivals = 0;
    int m_calls = 0;
};

/// True for the refusal of a call whose outcome is unknown, which comes at once; a call that waited
/// until its deadline ends with 3007.
bool has_unknown_outcome(const outcome& it)
{
    return it.answer.status == 504 && it.answer.body.find("\"code\":3001") != std::string::npos;
}

template <class F>
void for_each_odd_response(F&& fn)
{
    for (const auto line : s_lines)
    {
        for (const auto framing : s_framings)
            fn(line, framing);
    }
}

} // namespace

/// Guards against a failure that no protocol has and that callers get as an answer, or wait for
/// until their deadline. An unsafe call may have been executed, so it goes nowhere else.
Test(gateway_odd_status, unsafe_call_ends_at_once, .timeout = 60)
{
    odd_targets it{"plain", 2};
    for_each_odd_response(
        [&](std::string_view line, std::string_view framing)
        {
            const auto result = it.call("/act/x", [=](const auto& request, const reply& out)
                                        { out.write(odd_response(request, line, framing)); });
            cr_assert(has_unknown_outcome(result), "%s: %s", line.data(),
                      result.answer.body.c_str());
            cr_assert_eq(it.arrivals(), 1, "%s", line.data());
            cr_assert(result.field("x-response-signature").empty());
        });
}

/// The retries of one deployment stay within its budget.
Test(gateway_odd_status, idempotent_call_is_served_elsewhere, .timeout = 60)
{
    for (const auto framing : s_framings)
    {
        odd_targets it{"plain", 2};
        for (const auto line : s_lines)
        {
            const auto result = it.call("/read/x", [=](const auto& request, const reply& out)
                                        { out.write(odd_response(request, line, framing)); });
            cr_assert_eq(result.answer.status, 200, "%s: %s", line.data(),
                         result.answer.body.c_str());
            cr_assert(result.answer.body == "sound");
            cr_assert_eq(it.arrivals(), 2);
        }
    }
}

/// Guards against the body of an odd response that became the beginning of the next one's.
Test(gateway_odd_status, answer_behind_an_odd_one_is_not_taken, .timeout = 60)
{
    odd_targets it{"plain", 1};
    for (const std::string_view line : {"HTTP/1.1 000 Odd", "HTTP/1.1 100 Odd"})
    {
        const auto result = it.call("/act/x",
                                    [=](const io::http_request& request, const reply& out) {
                                        out.write(odd_response(request, line, s_framings[0]) +
                                                  whole_answer(request, 200, "sound"));
                                    });
        cr_assert(has_unknown_outcome(result), "%s: %s", line.data(), result.answer.body.c_str());
    }
}

/// Such an answer says nothing about whether the call was executed, whatever its fields say.
Test(gateway_odd_status, odd_answer_is_no_refusal)
{
    odd_targets it{"plain", 2};
    const auto result = it.call("/act/x",
                                [](const io::http_request& request, const reply& out)
                                {
                                    out.write(odd_response(request, "HTTP/1.1 000 Odd",
                                                           "X-Not-Executed: 1\r\n"
                                                           "Content-Length: 0\r\n\r\n"));
                                });
    cr_assert(has_unknown_outcome(result));
    cr_assert_eq(it.arrivals(), 1);
}

Test(gateway_odd_status, connection_is_not_used_again)
{
    odd_targets it{"plain", 1};
    it.call("/act/x", {});
    const auto before = it.connections();
    it.call("/act/x", [](const auto& request, const reply& out)
            { out.write(odd_response(request, "HTTP/1.1 000 Odd", s_framings[0])); });
    cr_assert_eq(it.connections(), before);
    cr_assert_eq(it.call("/act/x", {}).answer.status, 200);
    cr_assert_eq(it.connections(), before + 1);
}

/// A stream that has not begun is started at another target.
Test(gateway_odd_status, stream_is_started_elsewhere)
{
    odd_targets it{"engine", 2};
    const auto result =
        it.call("/draft/x", [](const auto& request, const reply& out)
                { out.write(odd_response(request, "HTTP/1.1 000 Odd", s_framings[0])); });
    cr_assert_eq(result.answer.status, 200);
    cr_assert_eq(result.answer.body, events_text(1, 1));
    cr_assert_eq(it.arrivals(), 2);
}

/// A 204 has no body, and a 304 may name the length of the one that it stands for.
Test(gateway_odd_status, answers_without_a_body_are_not_waited_for)
{
    odd_targets it{"plain", 1};
    const auto unmodified = it.call(
        "/act/x", [](const auto& request, const reply& out)
        { out.write(odd_response(request, "HTTP/1.1 304 Odd", "Content-Length: 3\r\n\r\n")); });
    cr_assert_eq(unmodified.answer.status, 304);
    const auto with_body =
        it.call("/act/x", [](const auto& request, const reply& out)
                { out.write(odd_response(request, "HTTP/1.1 204 Odd", s_framings[0])); });
    cr_assert(has_unknown_outcome(with_body));
    const auto empty = it.call("/act/x", [](const auto& request, const reply& out)
                               { out.write(odd_response(request, "HTTP/1.1 204 Odd", "\r\n")); });
    cr_assert_eq(empty.answer.status, 204);
}
