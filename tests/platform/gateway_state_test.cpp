#include "gateway_deployment.hpp"

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

scripted_target::script respond_with(const std::string& name)
{
    return [name](const io::http_request& request, const scripted_target::reply& out)
    { out.write(whole_answer(request, 200, name)); };
}

/// Makes a call and returns the target that served it; empty when none did.
std::string serving_target(gateway_deployment& deployment, std::size_t gateway = 0)
{
    static int s_calls = 0;
    const auto result =
        deployment.call(deployment.request("/read/x", common::concat("q", ++s_calls)), gateway);
    return result.answer.status == 200 ? result.answer.body : "";
}

bool log_shows(gateway_deployment& deployment, const std::string& text, std::size_t i = 0)
{
    return deployment.wait_until([&] { return deployment.log(i).find(text) != std::string::npos; });
}

} // namespace

Test(gateway_state, draining_target_gets_no_calls)
{
    gateway_deployment deployment;
    const auto address = deployment.add_target("t-0", "plain", respond_with("t-0")).address();
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    cr_assert_eq(serving_target(deployment), "t-0");
    deployment.add_target("t-1", "plain", respond_with("t-1"));
    deployment.put_entry("t-0", "plain", address, "draining");
    cr_assert(log_shows(deployment, "target=t-0 service=plain address=" + address + " leaving=1"));
    for (int i = 0; i < 5; ++i)
        cr_assert_eq(serving_target(deployment), "t-1");
}

Test(gateway_state, malformed_entries_ignored)
{
    gateway_deployment deployment;
    deployment.add_target("t-0", "plain", respond_with("t-0"));
    deployment.store().put("servers/odd-1", "not json");
    deployment.store().put("servers/odd-2", R"({"service":5,"address":"127.0.0.1:1"})");
    deployment.store().put("servers/odd-3",
                           R"({"service":"plain","address":"127.0.0.1:1","zone":"a","slots":2,
                         "state":"sleeping"})");
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    for (int i = 0; i < 5; ++i)
        cr_assert_eq(serving_target(deployment), "t-0");
}

Test(gateway_state, older_configuration_refused)
{
    gateway_deployment deployment;
    deployment.add_target("t-0", "plain", respond_with("t-0"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    auto newer = deployment.config(9);
    newer["tenants"][0]["apiKeys"] = {"key-2"};
    deployment.put_config(newer);
    cr_assert(log_shows(deployment, "configuration_in_force version=9"));
    cr_assert_eq(deployment.call(deployment.request("/read/x", "r1")).answer.status, 401);
    deployment.put_config(deployment.config(8));
    cr_assert(log_shows(deployment, "configuration_regressed version=8"));
    cr_assert_eq(deployment.call(deployment.request("/read/x", "r2")).answer.status, 401);
}

Test(gateway_state, targets_expired_in_store_outage_kept_for_grace)
{
    gateway_deployment deployment;
    deployment.add_target("t-0", "plain", respond_with("t-0"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    deployment.store().set_mood(store_mood::refuses);
    cr_assert(log_shows(deployment, "store_lost"));
    cr_assert_eq(serving_target(deployment), "t-0");
    deployment.store().remove("servers/t-0");
    deployment.store().set_mood(store_mood::serves);
    cr_assert(log_shows(deployment, "target_gone target=t-0 store_was_away=1"));
    cr_assert_eq(serving_target(deployment), "t-0");
    // A target whose entry is not written again within the grace counts as gone.
    cr_assert(deployment.wait_until([&] { return serving_target(deployment).empty(); }));
}

Test(gateway_state, entry_removed_without_outage_dropped_immediately)
{
    gateway_deployment deployment;
    deployment.add_target("t-0", "plain", respond_with("t-0"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    deployment.store().remove("servers/t-0");
    cr_assert(log_shows(deployment, "target_gone target=t-0 store_was_away=0"));
    cr_assert_eq(serving_target(deployment), "");
}

Test(gateway_state, watch_of_compacted_store_reads_all_again)
{
    gateway_deployment deployment;
    deployment.add_target("t-0", "plain", respond_with("t-0"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    deployment.store().put("servers/other", "x");
    deployment.store().compact();
    deployment.put_config(deployment.config(6));
    cr_assert(log_shows(deployment, "configuration_in_force version=6"));
}

Test(gateway_state, calls_served_while_store_silent)
{
    gateway_deployment deployment;
    deployment.add_target("t-0", "plain", respond_with("t-0"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    deployment.store().set_mood(store_mood::silent);
    cr_assert(log_shows(deployment, "store_lost"));
    cr_assert_eq(serving_target(deployment), "t-0");
    deployment.store().set_mood(store_mood::serves);
    cr_assert(log_shows(deployment, "store_regained"));
    deployment.put_config(deployment.config(7));
    cr_assert(log_shows(deployment, "configuration_in_force version=7"));
}

Test(gateway_state, killed_gateway_serves_after_restart)
{
    gateway_deployment deployment{2};
    deployment.add_target("t-0", "plain", respond_with("t-0"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready(0) && deployment.wait_ready(1));
    deployment.gateway(0).kill();
    deployment.gateway(1).kill();
    deployment.restart_gateway(0);
    deployment.restart_gateway(1);
    cr_assert(deployment.wait_ready(0) && deployment.wait_ready(1));
    cr_assert_eq(serving_target(deployment, 0), "t-0");
    cr_assert_eq(serving_target(deployment, 1), "t-0");
}

Test(gateway_state, target_at_reassigned_address_executes_no_old_call)
{
    gateway_deployment deployment;
    int runs = 0;
    // The address of t-0 now belongs to t-9, which responds with 421.
    deployment.add_target("t-0", "plain",
                          [&](const io::http_request& request, const scripted_target::reply& out)
                          {
                              if (request.headers.find("x-expect-instance") == "t-9")
                                  ++runs;
                              out.write(whole_answer(request, 421, "", "X-Not-Executed: 1\r\n"));
                          });
    deployment.add_target("t-1", "plain", respond_with("t-1"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    for (int i = 0; i < 6; ++i)
        cr_assert_eq(serving_target(deployment), "t-1");
    cr_assert_eq(runs, 0);
}

/// Guards against calls to old targets: after all targets of a service have restarted, their old
/// entries remain until the leases expire.
Test(gateway_state, older_entry_of_address_gets_no_calls)
{
    gateway_deployment deployment;
    int calls_for_old_target = 0;
    const auto address =
        deployment
            .add_target("t-9", "plain",
                        [&](const io::http_request& request, const scripted_target::reply& out)
                        {
                            if (request.headers.find("x-expect-instance") == "t-1")
                                return out.write(whole_answer(request, 200, "t-1"));
                            ++calls_for_old_target;
                            out.write(whole_answer(request, 421, ""));
                        })
            .address();
    // The order of the ids does not matter: the older entry is the one that was written earlier.
    deployment.put_entry("t-1", "plain", address);
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    cr_assert(log_shows(deployment, "target_learnt target=t-1"));
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(serving_target(deployment), "t-1");
    cr_assert_eq(calls_for_old_target, 0);
}

Test(gateway_state, misdirected_target_gets_no_more_calls)
{
    gateway_deployment deployment;
    int wrong = 0;
    for (const auto* id : {"t-0", "t-1", "t-2"})
        deployment.add_target(
            id, "plain",
            [&](const io::http_request& request, const scripted_target::reply& out)
            {
                ++wrong;
                out.write(whole_answer(request, 421, ""));
            });
    deployment.add_target("t-3", "plain", respond_with("t-3"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    for (int i = 0; i < 20; ++i)
        cr_assert_eq(serving_target(deployment), "t-3");
    cr_assert_leq(wrong, 3, "each target answered 421 at most once: %d", wrong);
}

Test(gateway_state, gateway_cut_off_from_store_updated_by_peers)
{
    gateway_deployment deployment{2, true};
    deployment.add_target("t-0", "plain", respond_with("t-0"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready(0) && deployment.wait_ready(1));
    deployment.store_relay(1).set_mood(failures::relay_mood::holds);
    deployment.store_relay(1).lose_open_connections();
    auto newer = deployment.config(6);
    newer["tenants"][0]["apiKeys"] = {"key-2"};
    deployment.put_config(newer);
    cr_assert(log_shows(deployment, "configuration_in_force version=6", 1));
    cr_assert_eq(deployment.call(deployment.request("/read/x", "r1"), 1).answer.status, 401);
}

Test(gateway_state, changes_arrive_over_slow_lossy_store_connection)
{
    gateway_deployment deployment{1, true};
    deployment.add_target("t-0", "plain", respond_with("t-0"));
    deployment.put_config(deployment.config(1));
    cr_assert(deployment.wait_ready());
    constexpr int changes = 8;
    for (int version = 2; version <= changes; ++version)
    {
        using failures::relay_mood;
        deployment.store_relay(0).set_mood(version % 2 == 0 ? relay_mood::holds_answers
                                                            : relay_mood::holds_requests);
        deployment.put_config(deployment.config(version));
        deployment.run_for(common::milliseconds{150});
        if (version % 3 == 0)
            deployment.store_relay(0).reset_open_connections();
        deployment.store_relay(0).set_mood(relay_mood::forwards);
        cr_assert_eq(serving_target(deployment), "t-0");
    }
    cr_assert(log_shows(deployment, common::concat("configuration_in_force version=", changes)));
}

Test(gateway_state, suspended_gateway_catches_up)
{
    gateway_deployment deployment;
    deployment.add_target("t-0", "plain", respond_with("t-0"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    deployment.gateway().signal(SIGSTOP);
    auto newer = deployment.config(6);
    newer["tenants"][0]["apiKeys"] = {"key-2"};
    deployment.put_config(newer);
    deployment.run_for(common::milliseconds{2500});
    deployment.gateway().signal(SIGCONT);
    cr_assert(log_shows(deployment, "configuration_in_force version=6"));
    cr_assert_eq(deployment.call(deployment.request("/read/x", "r1")).answer.status, 401);
}

/// Guards against waiting for idle connections at shutdown: callers keep them open until the
/// process exits. Two calls of 2 s at another gateway serve as the clock; the grace period is 6 s.
Test(gateway_state, idle_gateway_exits_before_end_of_grace)
{
    gateway_deployment deployment{2};
    deployment.add_target("t-0", "plain",
                          [](const io::http_request& request, const scripted_target::reply& out)
                          {
                              if (!request.headers.find("x-request-id").starts_with("clock"))
                                  out.write(whole_answer(request, 200, "t-0"));
                          });
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready(0) && deployment.wait_ready(1));
    const auto idle = deployment.open_connection(0);
    deployment.gateway(0).signal(SIGTERM);
    const std::vector<std::string> clocks{"clock-1", "clock-2"};
    for (const auto& it : clocks)
        deployment.call(deployment.request("/read/x", it), 1);
    cr_assert(deployment.gateway(0).has_ended());
    cr_assert_eq(deployment.gateway(0).wait(), 0);
}

Test(gateway_state, rolling_restart_loses_no_call)
{
    gateway_deployment deployment{2};
    deployment.add_target("t-0", "plain",
                          [&](const io::http_request& request, const scripted_target::reply& out)
                          { out.write(whole_answer(request, 200, "t-0")); });
    deployment.put_config(deployment.config(5));
    for (std::size_t i = 0; i < 2; ++i)
    {
        cr_assert(deployment.wait_ready(0) && deployment.wait_ready(1));
        // Calls that were sent before the signal get a response; the other gateway keeps serving.
        std::vector<std::shared_ptr<open_call>> calls;
        constexpr int calls_of_round = 20;
        calls.reserve(calls_of_round);
        for (int n = 0; n < calls_of_round; ++n)
            calls.push_back(
                deployment.begin(deployment.request("/read/x", common::concat("r", i, "-", n)), i));
        deployment.run_for(common::milliseconds{20});
        deployment.gateway(i).signal(SIGTERM);
        cr_assert(deployment.wait_until(
            [&] {
                return std::ranges::all_of(calls, [](const auto& it) { return it->result.ended; });
            }));
        for (const auto& it : calls)
            cr_assert_eq(it->result.answer.status, 200);
        cr_assert_eq(serving_target(deployment, 1 - i), "t-0");
        cr_assert(deployment.wait_until([&] { return deployment.gateway(i).has_ended(); }));
        cr_assert_eq(deployment.gateway(i).wait(), 0);
        deployment.restart_gateway(i);
    }
}
