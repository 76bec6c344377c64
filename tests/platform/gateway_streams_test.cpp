#include "gateway_site.hpp"

#include "common/text.hpp"
#include "io/http_codec.hpp"

#include <criterion/criterion.h>

#include <csignal>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;

namespace
{

using reply = scripted_target::reply;
constexpr int last_event = 8;

/// Sends the events behind the one that the request names, up to one of them.
void send_events(const io::http_request& request, const reply& out, int up_to)
{
    int first = 0;
    const auto text = request.headers.find("last-event-id");
    if (!text.empty())
        common::parse_number(text, first);
    out.write(stream_head(request));
    for (int i = first + 1; i <= up_to; ++i)
        out.write(stream_event(i));
}

void whole_stream(const io::http_request& request, const reply& out)
{
    send_events(request, out, last_event);
    out.write(io::last_chunk);
}

} // namespace

Test(gateway_streams, a_whole_stream_is_passed_on_byte_for_byte)
{
    gateway_site site;
    site.add_target("e-0", "engine", whole_stream);
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    const auto result = site.call(site.request("/draft/x", "r1", "{}"));
    cr_assert_eq(result.how, io::call_end::complete);
    cr_assert_eq(result.answer.body, events_text(1, last_event));
    cr_assert_eq(result.field("x-response-signature"), "sig");
}

Test(gateway_streams, a_stream_cut_in_an_event_goes_on_at_another_target)
{
    gateway_site site;
    const auto cut = [](const io::http_request& request, const reply& out)
    {
        send_events(request, out, 3);
        out.write("10\r\nid: 4\ndata: pie");
        out.reset();
    };
    site.add_target("e-0", "engine", cut);
    auto& second = site.add_target("e-1", "engine", whole_stream);
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    const auto was_resumed = [&]
    {
        return std::ranges::any_of(second.requests(), [](const auto& it)
                                   { return it.headers.find("last-event-id") == "3"; });
    };
    // Which target comes first is drawn, so it takes a few calls until the first one does.
    constexpr int enough_calls = 60;
    for (int i = 0; i < enough_calls && !was_resumed(); ++i)
    {
        const auto result = site.call(site.request("/draft/x", common::concat("r", i), "{}"));
        cr_assert_eq(result.how, io::call_end::complete);
        cr_assert_eq(result.answer.body, events_text(1, last_event));
    }
    cr_assert(was_resumed());
}

Test(gateway_streams, a_stream_that_can_t_go_on_does_not_look_whole)
{
    gateway_site site;
    site.add_target("e-0", "engine",
                    [](const io::http_request& request, const reply& out)
                    {
                        send_events(request, out, 3);
                        out.reset();
                    });
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    const auto result = site.call(site.request("/draft/x", "r1", "{}"));
    cr_assert_eq(result.how, io::call_end::cut);
    cr_assert_eq(result.answer.body, events_text(1, 3));
}

Test(gateway_streams, a_caller_that_leaves_ends_the_work_at_once)
{
    gateway_site site;
    std::vector<reply> open;
    site.add_target("e-0", "engine",
                    [&](const io::http_request& request, const reply& out)
                    {
                        send_events(request, out, 2);
                        open.push_back(out);
                    });
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    auto call = site.begin(site.request("/draft/x", "r1", "{}"));
    cr_assert(site.wait_until([&] { return call->so_far == events_text(1, 2); }));
    cr_assert(open.front().is_open());
    call.reset();
    cr_assert(site.wait_until([&] { return !open.front().is_open(); }));
    cr_assert(
        site.wait_until([&] { return site.log().find("caller_gone id=r1") != std::string::npos; }));
}

Test(gateway_streams, what_waits_for_a_place_is_served_when_one_is_free)
{
    gateway_site site;
    std::vector<std::pair<io::http_request, reply>> open;
    site.add_target("e-0", "engine",
                    [&](const io::http_request& request, const reply& out)
                    { open.emplace_back(request, out); });
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    std::vector<std::shared_ptr<open_call>> calls;
    calls.reserve(4);
    for (int i = 0; i < 4; ++i)
        calls.push_back(site.begin(site.request("/draft/x", common::concat("r", i), "{}")));
    // The target has two slots; the other calls wait here and not there.
    cr_assert(site.wait_until([&] { return open.size() == 2; }));
    site.run_for(common::milliseconds{150});
    cr_assert_eq(open.size(), 2U);
    for (std::size_t i = 0; i < 4; ++i)
    {
        cr_assert(site.wait_until([&] { return open.size() > i; }));
        whole_stream(open[i].first, open[i].second);
    }
    for (const auto& it : calls)
    {
        cr_assert(site.wait_until([&] { return it->result.ended; }));
        cr_assert_eq(it->so_far, events_text(1, last_event));
    }
}

Test(gateway_streams, sigterm_ends_no_open_stream)
{
    gateway_site site;
    std::vector<std::pair<io::http_request, reply>> open;
    site.add_target("e-0", "engine",
                    [&](const io::http_request& request, const reply& out)
                    {
                        send_events(request, out, 2);
                        open.emplace_back(request, out);
                    });
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    const auto call = site.begin(site.request("/draft/x", "r1", "{}"));
    cr_assert(site.wait_until([&] { return call->so_far == events_text(1, 2); }));
    site.gateway().signal(SIGHUP);
    site.gateway().signal(SIGTERM);
    cr_assert(site.wait_until([&] { return !site.is_ready(); }));
    site.run_for(common::milliseconds{300});
    for (int i = 3; i <= last_event; ++i)
        open.front().second.write(stream_event(i));
    open.front().second.write(io::last_chunk);
    cr_assert(site.wait_until([&] { return call->result.ended; }));
    cr_assert_eq(call->so_far, events_text(1, last_event));
    cr_assert_eq(call->result.how, io::call_end::complete);
    cr_assert_eq(site.gateway().wait(), 0);
}

Test(gateway_streams, a_stream_that_falls_silent_while_others_go_on_is_resumed_elsewhere)
{
    gateway_site site;
    constexpr int before_silence = 3;
    constexpr common::milliseconds gap{40};
    std::vector<io::timer_handle> timers;
    // The first call that comes falls silent; all others send an event every 40 ms.
    int calls = 0;
    const auto paced = [&](const io::http_request& request, const reply& out)
    {
        if (calls++ == 0)
            return send_events(request, out, before_silence);
        const auto text = request.headers.find("last-event-id");
        if (!text.empty())
            return whole_stream(request, out);
        out.write(stream_head(request));
        constexpr int many = 75;
        for (int i = 1; i <= many; ++i)
            timers.push_back(site.loop().after(gap * i,
                                               [out, i]
                                               {
                                                   out.write(stream_event(i));
                                                   if (i == many)
                                                       out.write(io::last_chunk);
                                               }));
    };
    site.add_target("e-0", "engine", paced);
    site.add_target("e-1", "engine", paced);
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    const auto silent = site.begin(site.request("/draft/x", "r1", "{}"));
    cr_assert(site.wait_until([&] { return !silent->so_far.empty(); }));
    const auto other = site.begin(site.request("/draft/x", "r2", "{}"));
    cr_assert(site.wait_until([&] { return silent->result.ended; }));
    cr_assert_eq(silent->result.how, io::call_end::complete);
    cr_assert_eq(silent->so_far, events_text(1, last_event));
    cr_assert(site.wait_until([&] { return other->result.ended; }));
    cr_assert_eq(other->so_far, events_text(1, 75));
}

Test(gateway_streams, a_failure_before_a_stream_is_not_its_end)
{
    gateway_site site;
    // Whichever is asked first fails; the other begins a stream, which can't go on.
    int calls = 0;
    const auto script = [&](const io::http_request& request, const reply& out)
    {
        if (calls++ == 0)
            return out.write(whole_answer(request, 500, "broken"));
        send_events(request, out, 3);
        out.close();
    };
    site.add_target("e-0", "engine", script);
    site.add_target("e-1", "engine", script);
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    const auto result = site.call(site.request("/draft/x", "r1", "{}"));
    cr_assert(result.ended, "the caller got no end");
    cr_assert_neq(result.how, io::call_end::complete);
    cr_assert_eq(result.answer.body, events_text(1, 3));
}

/// All members of a group were restarted; until it has formed, each refuses calls and names one
/// that is missing.
Test(gateway_streams, calls_wait_for_a_group_that_forms_anew)
{
    gateway_site site;
    bool has_formed = false;
    const auto member = [&](const io::http_request& request, const reply& out)
    {
        if (has_formed)
            return whole_stream(request, out);
        out.write(
            whole_answer(request, 503, "", "X-Not-Executed: 1\r\nAt-Server: 127.0.0.1:1\r\n"));
    };
    for (const auto* id : {"e-0", "e-1", "e-2", "e-3", "e-4", "e-5"})
        site.add_target(id, "engine", member);
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    std::vector<std::shared_ptr<open_call>> calls;
    constexpr int callers = 10;
    calls.reserve(callers);
    for (int i = 0; i < callers; ++i)
    {
        calls.push_back(site.begin(site.request("/draft/x", common::concat("r", i), "{}")));
        site.run_for(common::milliseconds{60});
    }
    has_formed = true;
    for (const auto& it : calls)
    {
        cr_assert(site.wait_until([&] { return it->result.ended; }));
        cr_assert_eq(it->result.answer.status, 200);
    }
}

/// A service may have several groups. Two streams run on in one of them, while the members of the
/// other refuse calls for want of one that is gone.
Test(gateway_streams, a_broken_group_does_not_hold_up_the_others_of_its_service)
{
    gateway_site site;
    std::vector<io::timer_handle> running;
    const auto broken = [](const io::http_request& request, const reply& out) {
        out.write(
            whole_answer(request, 503, "", "X-Not-Executed: 1\r\nAt-Server: 127.0.0.1:1\r\n"));
    };
    const auto whole = [&](const io::http_request& request, const reply& out)
    {
        if (!request.headers.find("x-request-id").starts_with("long"))
            return whole_stream(request, out);
        out.write(stream_head(request));
        running.push_back(site.loop().every(common::milliseconds{50}, [out, n = 0]() mutable
                                            { out.write(stream_event(++n)); }));
    };
    for (const auto* id : {"a-0", "a-1", "a-2"})
        site.add_target(id, "engine", broken);
    for (const auto* id : {"b-0", "b-1", "b-2"})
        site.add_target(id, "engine", whole);
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    const auto first = site.begin(site.request("/draft/x", "long-1", "{}"));
    const auto second = site.begin(site.request("/draft/x", "long-2", "{}"));
    cr_assert(site.wait_until([&] { return !first->so_far.empty() && !second->so_far.empty(); }));
    for (int i = 0; i < 12; ++i)
    {
        const auto result = site.call(site.request("/draft/x", common::concat("r", i), "{}"));
        cr_assert_eq(result.answer.status, 200, "call %d got %d", i, result.answer.status);
    }
}
