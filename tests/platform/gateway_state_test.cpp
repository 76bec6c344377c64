#include "gateway_site.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>

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

Test(gateway_state, a_target_at_a_used_address_runs_nothing_that_is_meant_for_the_old_one)
{
    gateway_site site;
    int runs = 0;
    // The address of t-0 belongs to t-9 by now, which says so.
    site.add_target("t-0", "plain",
                    [&](const io::http_request& request, const scripted_target::reply& out)
                    {
                        if (request.headers.find("x-expect-instance") == "t-9")
                            ++runs;
                        out.write(whole_answer(request, 421, "", "X-Not-Executed: 1\r\n"));
                    });
    site.add_target("t-1", "plain", named("t-1"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    for (int i = 0; i < 6; ++i)
        cr_assert_eq(server(site), "t-1");
    cr_assert_eq(runs, 0);
}

/// After all targets of a service were restarted, their old entries last until their leases end.
Test(gateway_state, an_old_entry_of_an_address_gets_no_calls_once_there_is_a_newer_one)
{
    gateway_site site;
    int for_the_old_one = 0;
    const auto address =
        site.add_target("t-9", "plain",
                        [&](const io::http_request& request, const scripted_target::reply& out)
                        {
                            if (request.headers.find("x-expect-instance") == "t-1")
                                return out.write(whole_answer(request, 200, "t-1"));
                            ++for_the_old_one;
                            out.write(whole_answer(request, 421, ""));
                        })
            .address();
    // The names say nothing of the order: the old entry is the one that was written before.
    site.put_entry("t-1", "plain", address);
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    cr_assert(knows(site, "target_learnt target=t-1"));
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(server(site), "t-1");
    cr_assert_eq(for_the_old_one, 0);
}

Test(gateway_state, a_target_that_is_another_one_gets_no_more_calls)
{
    gateway_site site;
    int wrong = 0;
    for (const auto* id : {"t-0", "t-1", "t-2"})
        site.add_target(id, "plain",
                        [&](const io::http_request& request, const scripted_target::reply& out)
                        {
                            ++wrong;
                            out.write(whole_answer(request, 421, ""));
                        });
    site.add_target("t-3", "plain", named("t-3"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    for (int i = 0; i < 20; ++i)
        cr_assert_eq(server(site), "t-3");
    cr_assert_leq(wrong, 3, "each was told once: %d", wrong);
}

Test(gateway_state, a_gateway_that_the_store_turns_away_hears_from_the_others)
{
    gateway_site site{2, true};
    site.add_target("t-0", "plain", named("t-0"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready(0) && site.wait_ready(1));
    site.store_path(1).set_mood(failures::relay_mood::holds);
    site.store_path(1).lose_open_connections();
    auto newer = site.config(6);
    newer["tenants"][0]["apiKeys"] = {"key-2"};
    site.put_config(newer);
    cr_assert(knows(site, "configuration_in_force version=6", 1));
    cr_assert_eq(site.call(site.request("/read/x", "r1"), 1).answer.status, 401);
}

Test(gateway_state, changes_come_through_a_slow_and_lossy_path_to_the_store)
{
    gateway_site site{1, true};
    site.add_target("t-0", "plain", named("t-0"));
    site.put_config(site.config(1));
    cr_assert(site.wait_ready());
    constexpr int changes = 8;
    for (int version = 2; version <= changes; ++version)
    {
        using failures::relay_mood;
        site.store_path(0).set_mood(version % 2 == 0 ? relay_mood::holds_answers
                                                     : relay_mood::holds_requests);
        site.put_config(site.config(version));
        site.run_for(common::milliseconds{150});
        if (version % 3 == 0)
            site.store_path(0).reset_open_connections();
        site.store_path(0).set_mood(relay_mood::forwards);
        cr_assert_eq(server(site), "t-0");
    }
    cr_assert(knows(site, common::concat("configuration_in_force version=", changes)));
}

Test(gateway_state, a_gateway_that_slept_goes_by_what_changed_meanwhile)
{
    gateway_site site;
    site.add_target("t-0", "plain", named("t-0"));
    site.put_config(site.config(5));
    cr_assert(site.wait_ready());
    site.gateway().signal(SIGSTOP);
    auto newer = site.config(6);
    newer["tenants"][0]["apiKeys"] = {"key-2"};
    site.put_config(newer);
    site.run_for(common::milliseconds{2500});
    site.gateway().signal(SIGCONT);
    cr_assert(knows(site, "configuration_in_force version=6"));
    cr_assert_eq(site.call(site.request("/read/x", "r1")).answer.status, 401);
}

/// Callers keep their connections open until the process is gone, so it must not wait for them.
/// Two calls of 2 s at another gateway tell the time; the grace is 6 s.
Test(gateway_state, a_gateway_without_open_calls_does_not_use_its_whole_grace)
{
    gateway_site site{2};
    site.add_target("t-0", "plain",
                    [](const io::http_request& request, const scripted_target::reply& out)
                    {
                        if (!request.headers.find("x-request-id").starts_with("clock"))
                            out.write(whole_answer(request, 200, "t-0"));
                    });
    site.put_config(site.config(5));
    cr_assert(site.wait_ready(0) && site.wait_ready(1));
    const auto idle = site.open_connection(0);
    site.gateway(0).signal(SIGTERM);
    const std::vector<std::string> clocks{"clock-1", "clock-2"};
    for (const auto& it : clocks)
        site.call(site.request("/read/x", it), 1);
    cr_assert(site.gateway(0).has_ended());
    cr_assert_eq(site.gateway(0).wait(), 0);
}

Test(gateway_state, gateways_rolled_in_turn_lose_no_call)
{
    gateway_site site{2};
    site.add_target("t-0", "plain",
                    [&](const io::http_request& request, const scripted_target::reply& out)
                    { out.write(whole_answer(request, 200, "t-0")); });
    site.put_config(site.config(5));
    for (std::size_t i = 0; i < 2; ++i)
    {
        cr_assert(site.wait_ready(0) && site.wait_ready(1));
        // Calls that were sent when the signal came are answered; the other gateway serves on.
        std::vector<std::shared_ptr<open_call>> calls;
        constexpr int calls_of_round = 20;
        calls.reserve(calls_of_round);
        for (int n = 0; n < calls_of_round; ++n)
            calls.push_back(site.begin(site.request("/read/x", common::concat("r", i, "-", n)), i));
        site.run_for(common::milliseconds{20});
        site.gateway(i).signal(SIGTERM);
        cr_assert(site.wait_until(
            [&] {
                return std::ranges::all_of(calls, [](const auto& it) { return it->result.ended; });
            }));
        for (const auto& it : calls)
            cr_assert_eq(it->result.answer.status, 200);
        cr_assert_eq(server(site, 1 - i), "t-0");
        cr_assert(site.wait_until([&] { return site.gateway(i).has_ended(); }));
        cr_assert_eq(site.gateway(i).wait(), 0);
        site.restart_gateway(i);
    }
}
