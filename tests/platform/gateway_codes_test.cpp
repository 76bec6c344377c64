#include "gateway_site.hpp"

#include "common/result_code.hpp"
#include "common/text.hpp"
#include "ctl/explain.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <sstream>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using common::result_code;
using stand_ins::scripted_target;

namespace
{

using reply = scripted_target::reply;

/// The lines of a gateway's log.
std::vector<ctl::sourced_line> lines_of(const gateway_site& site)
{
    std::vector<ctl::sourced_line> out;
    std::istringstream text{site.log()};
    for (std::string line; std::getline(text, line);)
    {
        if (auto it = common::read_log_line(line))
            out.push_back({"gateway-0", std::move(*it)});
    }
    return out;
}

/// True once the log ends the request with the code.
bool ends_with(gateway_site& site, const std::string& id, result_code code)
{
    return site.wait_until(
        [&]
        {
            const auto lines = lines_of(site);
            const auto story = ctl::explain(id, lines);
            return story.end != nullptr &&
                   story.end->line.field("code") == std::to_string(common::number(code));
        });
}

/// True when the request's story has a line of the event with the field.
bool tells(const gateway_site& site, const std::string& id, const std::string& event,
           const std::string& key, const std::string& value)
{
    const auto lines = lines_of(site);
    const auto story = ctl::explain(id, lines);
    return std::ranges::any_of(
        story.lines, [&](const ctl::story_line& it)
        { return it.what->line.event == event && it.what->line.field(key) == value; });
}

void answer_well(const io::http_request& request, const reply& out)
{
    out.write(whole_answer(request, 200, "well"));
}

void refuse_unrun(const io::http_request& request, const reply& out)
{
    out.write(whole_answer(request, 503, "", "X-Not-Executed: 1\r\n"));
}

/// A site with one target of the plain service.
struct site_of_one
{
    gateway_site site;
    scripted_target& target;

    explicit site_of_one(scripted_target::script fn)
        : target{site.add_target("t-0", "plain", std::move(fn))}
    {
        site.put_config(site.config(5));
        cr_assert(site.wait_ready());
    }
};

} // namespace

Test(gateway_codes, mistakes_of_callers)
{
    site_of_one it{answer_well};
    auto& site = it.site;
    auto request = site.request("/nowhere/", "r1006");
    site.call(request);
    cr_assert(ends_with(site, "r1006", result_code::unknown_route));

    request = site.request("/read/x", "r1004");
    request.headers = {
        {"Host", "site.example"}, {"X-Request-Id", "r1004"}, {"Authorization", "Bearer nobody"}};
    site.call(request);
    cr_assert(ends_with(site, "r1004", result_code::unknown_team));

    // What is refused before its fields are read has no id; the line is found by its code.
    request = site.request("/act/x", "r1002", std::string(100001, 'b'));
    site.call(request);
    request = site.request("/read/x", "r1003");
    request.headers.add("X-Long", std::string(5000, 'h'));
    site.call(request);
    request.headers = {{"Host", "site.example"}, {"Authorization", "Bearer key-1"}};
    site.call(request);
    site.raw_call("POST /act/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: 10\r\n\r\nab",
                  "never");
    for (const auto code : {result_code::body_too_large, result_code::headers_too_large,
                            result_code::bad_request, result_code::request_timeout})
    {
        const auto text =
            common::concat("event=request_refused id=\"\" route=\"\" service=\"\" team=\"\" code=",
                           common::number(code));
        cr_assert(site.wait_until([&] { return site.log().find(text) != std::string::npos; }),
                  "no line for %s", common::info(code).name.data());
    }
}

Test(gateway_codes, a_gateway_that_does_not_serve)
{
    gateway_site site;
    cr_assert(site.wait_until([&] { return site.log().find("started") != std::string::npos; }));
    site.call(site.request("/read/x", "r2006"));
    cr_assert(ends_with(site, "r2006", result_code::not_ready));
    site.add_target("t-0", "plain", answer_well);
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    const auto open = site.begin(site.request("/draft/x", "waits-on"));
    site.run_for(common::milliseconds{100});
    site.gateway().signal(SIGTERM);
    cr_assert(
        site.wait_until([&] { return site.log().find("shutdown_begun") != std::string::npos; }));
    int calls = 0;
    std::string refused;
    const std::string end = " route=\"\" service=\"\" team=\"\" code=2005";
    cr_assert(site.wait_until(
        [&]
        {
            refused = common::concat("r2005-", ++calls);
            site.call(site.request("/read/x", refused));
            return site.log().find("id=" + refused + end) != std::string::npos;
        }));
    cr_assert(tells(site, refused, "shutdown_begun", "open_calls", "1"));
}

Test(gateway_codes, a_line_that_is_too_long)
{
    // One call in service for ever, and many behind it.
    site_of_one it{[](const io::http_request& /*request*/, const reply& /*out*/) {}};
    auto& site = it.site;
    std::vector<std::shared_ptr<open_call>> calls;
    constexpr int waiting = 40;
    calls.reserve(waiting);
    for (int i = 0; i < waiting; ++i)
        calls.push_back(site.begin(site.request("/act/x", common::concat("w", i))));
    site.run_for(common::milliseconds{500});
    site.call(site.request("/act/x", "r2003"));
    cr_assert(ends_with(site, "r2003", result_code::queue_full));
    // The others time out in the line, without having run.
    cr_assert(ends_with(site, "w39", result_code::deadline_unreachable));
    const auto lines = lines_of(site);
    const auto story = ctl::explain("r2003", lines);
    cr_assert_neq(story.end->line.field("waiting"), "0");
}

Test(gateway_codes, targets_that_do_not_take_a_call)
{
    site_of_one it{refuse_unrun};
    auto& site = it.site;
    site.call(site.request("/act/x", "r2001"));
    cr_assert(ends_with(site, "r2001", result_code::no_target));
    cr_assert(tells(site, "r2001", "attempt_failed", "outcome", "refused_unrun"));
    site.put_entry("t-0", "plain", failures::free_address());
    cr_assert(site.wait_until(
        [&]
        {
            return site.log().find("target_learnt target=t-0", site.log().find("r2001")) !=
                   std::string::npos;
        }));
    site.call(site.request("/act/x", "r2009"));
    cr_assert(ends_with(site, "r2009", result_code::target_unreachable));
    cr_assert(tells(site, "r2009", "attempt_failed", "outcome", "not_sent"));
}

Test(gateway_codes, calls_that_may_have_run)
{
    site_of_one it{[](const io::http_request& /*request*/, const reply& out) { out.reset(); }};
    auto& site = it.site;
    site.call(site.request("/act/x", "r3001"));
    cr_assert(ends_with(site, "r3001", result_code::outcome_unknown));
    cr_assert(tells(site, "r3001", "attempt_failed", "target", "t-0"));
    cr_assert(tells(site, "r3001", "attempt_failed", "end", "cut"));
    it.target.set_script([](const io::http_request& /*request*/, const reply& /*out*/) {});
    site.call(site.request("/act/x", "r3007"));
    cr_assert(ends_with(site, "r3007", result_code::target_timeout));
    auto open = site.begin(site.request("/act/x", "r3006"));
    site.run_for(common::milliseconds{100});
    open.reset();
    cr_assert(ends_with(site, "r3006", result_code::caller_gone));
}

Test(gateway_codes, a_stream_that_is_cut)
{
    gateway_site site;
    for (const auto* id : {"t-0", "t-1"})
        site.add_target(id, "engine",
                        [](const io::http_request& request, const reply& out)
                        {
                            out.write(stream_head(request) + stream_event(1));
                            out.reset();
                        });
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    site.call(site.request("/draft/x", "r3003"));
    cr_assert(ends_with(site, "r3003", result_code::stream_cut));
    cr_assert(tells(site, "r3003", "attempt_failed", "events", "1"));
}
