#include "gateway_deployment.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;
using stand_ins::store_mood;

namespace
{

/// Sends a complete response that reports the target as draining.
scripted_target::script respond_draining(const std::string& name)
{
    return [name](const io::http_request& request, const scripted_target::reply& out)
    { out.write(whole_answer(request, 200, name, "Server-Leaving: 1\r\n")); };
}

scripted_target::script respond_with(const std::string& name)
{
    return [name](const io::http_request& request, const scripted_target::reply& out)
    { out.write(whole_answer(request, 200, name)); };
}

/// Refuses every call with a Retry-After.
scripted_target::script respond_busy(const std::string& retry_after)
{
    return [retry_after](const io::http_request& request, const scripted_target::reply& out)
    {
        out.write(whole_answer(
            request, 503, "full",
            common::concat("X-Not-Executed: 1\r\nRetry-After: ", retry_after, "\r\n")));
    };
}

outcome next_call(gateway_deployment& deployment, std::size_t gateway = 0)
{
    static int s_calls = 0;
    return deployment.call(deployment.request("/read/x", common::concat("n", ++s_calls)), gateway);
}

void make_calls(gateway_deployment& deployment, int n)
{
    for (int i = 0; i < n; ++i)
        next_call(deployment);
}

} // namespace

Test(gateway_notices, target_that_reports_draining_gets_no_calls)
{
    gateway_deployment deployment;
    auto& draining = deployment.add_target("t-0", "plain", respond_draining("t-0"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    cr_assert_eq(next_call(deployment).answer.body, "t-0");
    deployment.add_target("t-1", "plain", respond_with("t-1"));
    cr_assert(deployment.wait_until(
        [&] { return deployment.log().find("target_learnt target=t-1") != std::string::npos; }));
    // The store is unreachable, and the entry of t-0 still says that it is ready.
    deployment.store().set_mood(store_mood::refuses);
    make_calls(deployment, 12);
    cr_assert_eq(draining.requests().size(), 1);
    cr_assert(deployment.log().find("target_leaves target=t-0") != std::string::npos);
}

Test(gateway_notices, draining_target_reported_to_other_gateways)
{
    gateway_deployment deployment{2};
    auto& draining = deployment.add_target("t-0", "plain", respond_draining("t-0"));
    deployment.add_target("t-1", "plain", respond_with("t-1"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready(0));
    cr_assert(deployment.wait_ready(1));
    cr_assert(deployment.wait_until(
        [&]
        {
            next_call(deployment, 0);
            return !draining.requests().empty();
        }));
    cr_assert(deployment.wait_until(
        [&] { return deployment.log(1).find("target_leaves target=t-0") != std::string::npos; }));
    for (int i = 0; i < 8; ++i)
        next_call(deployment, 1);
    cr_assert_eq(draining.requests().size(), 1);
}

Test(gateway_notices, calls_refused_while_all_targets_drain)
{
    gateway_deployment deployment;
    auto& draining = deployment.add_target("t-0", "plain", respond_draining("t-0"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    next_call(deployment);
    const auto refused = next_call(deployment);
    cr_assert_eq(draining.requests().size(), 1);
    cr_assert(refused.answer.status == 503 || refused.answer.status == 429);
    // A new target at the same address accepts calls.
    draining.set_script(respond_with("t-9"));
    deployment.store().remove("servers/t-0");
    deployment.put_entry("t-9", "plain", draining.address());
    cr_assert(deployment.wait_until([&] { return next_call(deployment).answer.body == "t-9"; }));
}

Test(gateway_notices, busy_target_gets_no_calls_until_retry_after)
{
    gateway_deployment deployment;
    auto& busy_target = deployment.add_target("t-0", "plain", respond_busy("1.5"));
    deployment.add_target("t-1", "plain", respond_with("t-1"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    cr_assert(deployment.wait_until(
        [&]
        {
            next_call(deployment);
            return !busy_target.requests().empty();
        }));
    const auto since = common::now();
    while (common::now() - since < common::milliseconds{1200})
        cr_assert_eq(next_call(deployment).answer.body, "t-1");
    cr_assert_eq(busy_target.requests().size(), 1);
    busy_target.set_script(respond_with("t-0"));
    cr_assert(deployment.wait_until([&] { return next_call(deployment).answer.body == "t-0"; }));
}

/// Calls that can't start before their deadline are refused immediately with a Retry-After.
Test(gateway_notices, calls_refused_immediately_while_all_targets_busy)
{
    gateway_deployment deployment;
    auto& busy_target = deployment.add_target("t-0", "plain", respond_busy("7"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    for (int i = 0; i < 3; ++i)
    {
        const auto since = common::now();
        const auto refused = next_call(deployment);
        cr_assert(refused.answer.status == 503 || refused.answer.status == 429);
        cr_assert_lt((common::now() - since).count(), 500);
        cr_assert_geq(std::stod(std::string{refused.field("retry-after")}), 6.0);
    }
    cr_assert_eq(busy_target.requests().size(), 1);
}

Test(gateway_notices, invalid_retry_after_ignored)
{
    for (const auto* text : {"0", "-3", "soon", "nan", "inf", "1e9", ""})
    {
        gateway_deployment deployment;
        auto& odd = deployment.add_target("t-0", "plain", respond_busy(text));
        deployment.put_config(deployment.config(5));
        cr_assert(deployment.wait_ready());
        next_call(deployment);
        odd.set_script(respond_with("t-0"));
        cr_assert_eq(next_call(deployment).answer.body, "t-0", "%s", text);
    }
}
