#include "gateway_deployment.hpp"

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

/// The parsed lines of a gateway's log.
std::vector<ctl::sourced_line> log_lines(const gateway_deployment& deployment)
{
    std::vector<ctl::sourced_line> out;
    std::istringstream text{deployment.log()};
    for (std::string line; std::getline(text, line);)
    {
        if (auto it = common::read_log_line(line))
            out.push_back({"gateway-0", std::move(*it)});
    }
    return out;
}

/// Waits until the log has the last line of the request with the code; false on timeout.
bool ends_with_code(gateway_deployment& deployment, const std::string& id, result_code code)
{
    return deployment.wait_until(
        [&]
        {
            const auto lines = log_lines(deployment);
            const auto story = ctl::explain(id, lines);
            return story.end != nullptr &&
                   story.end->line.field("code") == std::to_string(common::number(code));
        });
}

/// True when the explanation of the request has a line of the event with the field.
bool log_has(const gateway_deployment& deployment, const std::string& id, const std::string& event,
             const std::string& key, const std::string& value)
{
    const auto lines = log_lines(deployment);
    const auto story = ctl::explain(id, lines);
    return std::ranges::any_of(story.lines,
                               [&](const ctl::timeline_entry& it) {
                                   return it.source_line->line.event == event &&
                                          it.source_line->line.field(key) == value;
                               });
}

void respond_ok(const io::http_request& request, const reply& out)
{
    out.write(whole_answer(request, 200, "well"));
}

void refuse_without_executing(const io::http_request& request, const reply& out)
{
    out.write(whole_answer(request, 503, "", "X-Not-Executed: 1\r\n"));
}

/// A deployment with one target of the plain service.
struct single_target_deployment
{
    gateway_deployment deployment;
    scripted_target& target;

    explicit single_target_deployment(scripted_target::script fn)
        : target{deployment.add_target("t-0", "plain", std::move(fn))}
    {
        deployment.put_config(deployment.config(5));
        cr_assert(deployment.wait_ready());
    }
};

} // namespace

Test(gateway_codes, invalid_requests_log_their_codes)
{
    single_target_deployment it{respond_ok};
    auto& deployment = it.deployment;
    auto request = deployment.request("/nowhere/", "r1006");
    deployment.call(request);
    cr_assert(ends_with_code(deployment, "r1006", result_code::unknown_route));

    request = deployment.request("/read/x", "r1004");
    request.headers = {
        {"Host", "site.example"}, {"X-Request-Id", "r1004"}, {"Authorization", "Bearer nobody"}};
    deployment.call(request);
    cr_assert(ends_with_code(deployment, "r1004", result_code::unknown_team));

    // A request that is refused before its headers are read has no id; its line is found by its
    // code.
    request = deployment.request("/act/x", "r1002", std::string(100001, 'b'));
    deployment.call(request);
    request = deployment.request("/read/x", "r1003");
    request.headers.add("X-Long", std::string(5000, 'h'));
    deployment.call(request);
    request.headers = {{"Host", "site.example"}, {"Authorization", "Bearer key-1"}};
    deployment.call(request);
    deployment.raw_call(
        "POST /act/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: 10\r\n\r\nab", "never");
    for (const auto code : {result_code::body_too_large, result_code::headers_too_large,
                            result_code::bad_request, result_code::request_timeout})
    {
        const auto text =
            common::concat("event=request_refused id=\"\" route=\"\" service=\"\" team=\"\" code=",
                           common::number(code));
        cr_assert(
            deployment.wait_until([&] { return deployment.log().find(text) != std::string::npos; }),
            "no line for %s", common::info(code).name.data());
    }
}

Test(gateway_codes, unready_and_draining_gateway_log_their_codes)
{
    gateway_deployment deployment;
    cr_assert(deployment.wait_until(
        [&] { return deployment.log().find("started") != std::string::npos; }));
    deployment.call(deployment.request("/read/x", "r2006"));
    cr_assert(ends_with_code(deployment, "r2006", result_code::not_ready));
    deployment.add_target("t-0", "plain", respond_ok);
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    const auto open = deployment.begin(deployment.request("/draft/x", "waits-on"));
    deployment.run_for(common::milliseconds{100});
    deployment.gateway().signal(SIGTERM);
    cr_assert(deployment.wait_until(
        [&] { return deployment.log().find("shutdown_begun") != std::string::npos; }));
    int calls = 0;
    std::string refused;
    const std::string end = " route=\"\" service=\"\" team=\"\" code=2005";
    cr_assert(deployment.wait_until(
        [&]
        {
            refused = common::concat("r2005-", ++calls);
            deployment.call(deployment.request("/read/x", refused));
            return deployment.log().find("id=" + refused + end) != std::string::npos;
        }));
    cr_assert(log_has(deployment, refused, "shutdown_begun", "open_calls", "1"));
}

Test(gateway_codes, full_queue_logs_its_code)
{
    // One call stays in service forever, and many wait behind it.
    single_target_deployment it{[](const io::http_request& /*request*/, const reply& /*out*/) {}};
    auto& deployment = it.deployment;
    std::vector<std::shared_ptr<open_call>> calls;
    constexpr int waiting = 40;
    calls.reserve(waiting);
    for (int i = 0; i < waiting; ++i)
        calls.push_back(deployment.begin(deployment.request("/act/x", common::concat("w", i))));
    deployment.run_for(common::milliseconds{500});
    deployment.call(deployment.request("/act/x", "r2003"));
    cr_assert(ends_with_code(deployment, "r2003", result_code::queue_full));
    // The other calls time out in the queue without being executed.
    cr_assert(ends_with_code(deployment, "w39", result_code::deadline_unreachable));
    const auto lines = log_lines(deployment);
    const auto story = ctl::explain("r2003", lines);
    cr_assert_neq(story.end->line.field("waiting"), "0");
}

Test(gateway_codes, refusing_and_unreachable_targets_log_their_codes)
{
    single_target_deployment it{refuse_without_executing};
    auto& deployment = it.deployment;
    deployment.call(deployment.request("/act/x", "r2001"));
    cr_assert(ends_with_code(deployment, "r2001", result_code::no_target));
    cr_assert(log_has(deployment, "r2001", "attempt_failed", "outcome", "refused_unrun"));
    deployment.put_entry("t-0", "plain", failures::free_address());
    cr_assert(deployment.wait_until(
        [&]
        {
            return deployment.log().find("target_learnt target=t-0",
                                         deployment.log().find("r2001")) != std::string::npos;
        }));
    deployment.call(deployment.request("/act/x", "r2009"));
    cr_assert(ends_with_code(deployment, "r2009", result_code::target_unreachable));
    cr_assert(log_has(deployment, "r2009", "attempt_failed", "outcome", "not_sent"));
}

Test(gateway_codes, calls_with_unknown_outcome_log_their_codes)
{
    single_target_deployment it{[](const io::http_request& /*request*/, const reply& out)
                                { out.reset(); }};
    auto& deployment = it.deployment;
    deployment.call(deployment.request("/act/x", "r3001"));
    cr_assert(ends_with_code(deployment, "r3001", result_code::outcome_unknown));
    cr_assert(log_has(deployment, "r3001", "attempt_failed", "target", "t-0"));
    cr_assert(log_has(deployment, "r3001", "attempt_failed", "end", "cut"));
    it.target.set_script([](const io::http_request& /*request*/, const reply& /*out*/) {});
    deployment.call(deployment.request("/act/x", "r3007"));
    cr_assert(ends_with_code(deployment, "r3007", result_code::target_timeout));
    auto open = deployment.begin(deployment.request("/act/x", "r3006"));
    deployment.run_for(common::milliseconds{100});
    open.reset();
    cr_assert(ends_with_code(deployment, "r3006", result_code::caller_gone));
}

Test(gateway_codes, cut_stream_logs_its_code)
{
    gateway_deployment deployment;
    for (const auto* id : {"t-0", "t-1"})
        deployment.add_target(id, "engine",
                              [](const io::http_request& request, const reply& out)
                              {
                                  out.write(stream_head(request) + stream_event(1));
                                  out.reset();
                              });
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    deployment.call(deployment.request("/draft/x", "r3003"));
    cr_assert(ends_with_code(deployment, "r3003", result_code::stream_cut));
    cr_assert(log_has(deployment, "r3003", "attempt_failed", "events", "1"));
}
