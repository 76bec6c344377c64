#include "gateway_site.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;
using stand_ins::store_mood;

namespace
{

scripted_target::script named(const std::string& name)
{
    return [name](const io::http_request& request, const scripted_target::reply& out)
    { out.write(whole_answer(request, 200, name)); };
}

/// The target that serves a call now; empty when none does.
std::string server(gateway_site& site, std::size_t gateway = 0)
{
    static int s_calls = 0;
    const auto result = site.call(site.request("/read/x", common::concat("q", ++s_calls)), gateway);
    return result.answer.status == 200 ? result.answer.body : "";
}

bool knows(gateway_site& site, const std::string& text, std::size_t i = 0)
{
    return site.wait_until([&] { return site.log(i).find(text) != std::string::npos; });
}

} // namespace

Test(gateway_state, a_leaving_target_gets_no_new_work)
{
    gateway_site site;
    const auto address = site.add_target("t-0", "plain", named("t-0")).address();
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    cr_assert_eq(server(site), "t-0");
    site.add_target("t-1", "plain", named("t-1"));
    site.put_entry("t-0", "plain", address, "draining");
    cr_assert(knows(site, "target=t-0 service=plain address=" + address + " leaving=1"));
    for (int i = 0; i < 5; ++i)
        cr_assert_eq(server(site), "t-1");
}

Test(gateway_state, strange_entries_name_no_target_and_the_others_hold)
{
    gateway_site site;
    site.add_target("t-0", "plain", named("t-0"));
    site.store().put("servers/odd-1", "not json");
    site.store().put("servers/odd-2", R"({"service":5,"address":"127.0.0.1:1"})");
    site.store().put("servers/odd-3",
                     R"({"service":"plain","address":"127.0.0.1:1","zone":"a","slots":2,
                         "state":"sleeping"})");
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    for (int i = 0; i < 5; ++i)
        cr_assert_eq(server(site), "t-0");
}

Test(gateway_state, an_older_configuration_is_not_obeyed)
{
    gateway_site site;
    site.add_target("t-0", "plain", named("t-0"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    auto newer = site.config(9);
    newer["tenants"][0]["apiKeys"] = {"key-2"};
    site.put_config(newer);
    cr_assert(knows(site, "configuration_in_force version=9"));
    cr_assert_eq(site.call(site.request("/read/x", "r1")).answer.status, 401);
    site.put_config(site.config(8));
    cr_assert(knows(site, "configuration_regressed version=8"));
    cr_assert_eq(site.call(site.request("/read/x", "r2")).answer.status, 401);
}

Test(gateway_state, entries_that_lapsed_with_the_store_away_serve_until_they_are_back)
{
    gateway_site site;
    site.add_target("t-0", "plain", named("t-0"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    site.store().set_mood(store_mood::refuses);
    cr_assert(knows(site, "store_lost"));
    cr_assert_eq(server(site), "t-0");
    site.store().remove("servers/t-0");
    site.store().set_mood(store_mood::serves);
    cr_assert(knows(site, "target_gone target=t-0 store_was_away=1"));
    cr_assert_eq(server(site), "t-0");
    // An entry that does not come back in time means that the target is gone.
    cr_assert(site.wait_until([&] { return server(site).empty(); }));
}

Test(gateway_state, an_entry_removed_in_calm_is_gone_at_once)
{
    gateway_site site;
    site.add_target("t-0", "plain", named("t-0"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    site.store().remove("servers/t-0");
    cr_assert(knows(site, "target_gone target=t-0 store_was_away=0"));
    cr_assert_eq(server(site), "");
}

Test(gateway_state, a_watch_of_a_compacted_store_lists_anew)
{
    gateway_site site;
    site.add_target("t-0", "plain", named("t-0"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    site.store().put("servers/other", "x");
    site.store().compact();
    site.put_config(site.config(6));
    cr_assert(knows(site, "configuration_in_force version=6"));
}

Test(gateway_state, a_silent_store_is_noticed_and_serving_goes_on)
{
    gateway_site site;
    site.add_target("t-0", "plain", named("t-0"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    site.store().set_mood(store_mood::silent);
    cr_assert(knows(site, "store_lost"));
    cr_assert_eq(server(site), "t-0");
    site.store().set_mood(store_mood::serves);
    cr_assert(knows(site, "store_regained"));
    site.put_config(site.config(7));
    cr_assert(knows(site, "configuration_in_force version=7"));
}

Test(gateway_state, a_gateway_that_was_killed_serves_again)
{
    gateway_site site{2};
    site.add_target("t-0", "plain", named("t-0"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready(0) && site.wait_ready(1));
    site.gateway(0).kill();
    site.gateway(1).kill();
    site.restart_gateway(0);
    site.restart_gateway(1);
    cr_assert(site.wait_ready(0) && site.wait_ready(1));
    cr_assert_eq(server(site, 0), "t-0");
    cr_assert_eq(server(site, 1), "t-0");
}
