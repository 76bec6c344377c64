#include "gateway_site.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;
using stand_ins::store_mood;

namespace
{

/// Answers whole, and says besides that it leaves.
scripted_target::script leaving(const std::string& name)
{
    return [name](const io::http_request& request, const scripted_target::reply& out)
    { out.write(whole_answer(request, 200, name, "Server-Leaving: 1\r\n")); };
}

scripted_target::script serving(const std::string& name)
{
    return [name](const io::http_request& request, const scripted_target::reply& out)
    { out.write(whole_answer(request, 200, name)); };
}

/// Turns every call away for some time.
scripted_target::script busy(const std::string& retry_after)
{
    return [retry_after](const io::http_request& request, const scripted_target::reply& out)
    {
        out.write(whole_answer(
            request, 503, "full",
            common::concat("X-Not-Executed: 1\r\nRetry-After: ", retry_after, "\r\n")));
    };
}

outcome next_call(gateway_site& site, std::size_t gateway = 0)
{
    static int s_calls = 0;
    return site.call(site.request("/read/x", common::concat("n", ++s_calls)), gateway);
}

/// So many calls, one after the other.
void make_calls(gateway_site& site, int n)
{
    for (int i = 0; i < n; ++i)
        next_call(site);
}

} // namespace

Test(gateway_notices, a_target_that_says_that_it_leaves_gets_no_more_calls)
{
    gateway_site site;
    auto& going = site.add_target("t-0", "plain", leaving("t-0"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    cr_assert_eq(next_call(site).answer.body, "t-0");
    site.add_target("t-1", "plain", serving("t-1"));
    cr_assert(site.wait_until(
        [&] { return site.log().find("target_learnt target=t-1") != std::string::npos; }));
    // The store is away, and t-0 still has its good entry.
    site.store().set_mood(store_mood::refuses);
    make_calls(site, 12);
    cr_assert_eq(going.requests().size(), 1);
    cr_assert(site.log().find("target_leaves target=t-0") != std::string::npos);
}

Test(gateway_notices, other_gateways_hear_that_a_target_leaves)
{
    gateway_site site{2};
    auto& going = site.add_target("t-0", "plain", leaving("t-0"));
    site.add_target("t-1", "plain", serving("t-1"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready(0));
    cr_assert(site.wait_ready(1));
    cr_assert(site.wait_until(
        [&]
        {
            next_call(site, 0);
            return !going.requests().empty();
        }));
    cr_assert(site.wait_until(
        [&] { return site.log(1).find("target_leaves target=t-0") != std::string::npos; }));
    for (int i = 0; i < 8; ++i)
        next_call(site, 1);
    cr_assert_eq(going.requests().size(), 1);
}

Test(gateway_notices, calls_are_refused_when_all_targets_leave)
{
    gateway_site site;
    auto& going = site.add_target("t-0", "plain", leaving("t-0"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    next_call(site);
    const auto refused = next_call(site);
    cr_assert_eq(going.requests().size(), 1);
    cr_assert(refused.answer.status == 503 || refused.answer.status == 429);
    // Another start at the same address takes work.
    going.set_script(serving("t-9"));
    site.store().remove("servers/t-0");
    site.put_entry("t-9", "plain", going.address());
    cr_assert(site.wait_until([&] { return next_call(site).answer.body == "t-9"; }));
}

Test(gateway_notices, a_busy_target_is_left_alone_for_its_time)
{
    gateway_site site;
    auto& full = site.add_target("t-0", "plain", busy("1.5"));
    site.add_target("t-1", "plain", serving("t-1"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    cr_assert(site.wait_until(
        [&]
        {
            next_call(site);
            return !full.requests().empty();
        }));
    const auto since = common::now();
    while (common::now() - since < common::milliseconds{1200})
        cr_assert_eq(next_call(site).answer.body, "t-1");
    cr_assert_eq(full.requests().size(), 1);
    full.set_script(serving("t-0"));
    cr_assert(site.wait_until([&] { return next_call(site).answer.body == "t-0"; }));
}

/// What can't start before its caller has left is refused at once, and told when to come back.
Test(gateway_notices, calls_are_refused_at_once_when_all_targets_are_busy)
{
    gateway_site site;
    auto& full = site.add_target("t-0", "plain", busy("7"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    for (int i = 0; i < 3; ++i)
    {
        const auto since = common::now();
        const auto refused = next_call(site);
        cr_assert(refused.answer.status == 503 || refused.answer.status == 429);
        cr_assert_lt((common::now() - since).count(), 500);
        cr_assert_geq(std::stod(std::string{refused.field("retry-after")}), 6.0);
    }
    cr_assert_eq(full.requests().size(), 1);
}

Test(gateway_notices, a_time_that_is_no_time_closes_nothing)
{
    for (const auto* text : {"0", "-3", "soon", "nan", "inf", "1e9", ""})
    {
        gateway_site site;
        auto& odd = site.add_target("t-0", "plain", busy(text));
        site.put_config(site.config(5));
        cr_assert(site.wait_ready());
        next_call(site);
        odd.set_script(serving("t-0"));
        cr_assert_eq(next_call(site).answer.body, "t-0", "%s", text);
    }
}
