#include "deployment.hpp"

#include "common/result_code.hpp"
#include "common/text.hpp"

#include <criterion/criterion.h>

#include <csignal>

using namespace kumquatgap;
using namespace kumquatgap::failures;
using common::milliseconds;
using common::result_code;

namespace
{

/// How long a leaving target may still get new work.
constexpr milliseconds leaving_time{3000};

plan engines_plan()
{
    return {.routers = 2,
            .targets = {{"engine-a", "assistant"}, {"engine-b", "assistant"}},
            .engine_flags = {"--token_ms=10"}};
}

/// Calls that an engine has taken since its start.
std::int64_t taken(deployment& d, const std::string& engine)
{
    return d.metric(engine, "stand_in_calls_total");
}

/// Sends calls for a while through both routers; all must be answered.
void send_calls(deployment& d, int count)
{
    for (int i = 0; i < count; ++i)
    {
        const auto router = common::concat("router-", i % 2);
        const auto result = d.call(d.address(router), chat("p", 2, false));
        cr_assert(result.status == 200, "%d %s", result.status, result.body.c_str());
    }
}

/// After the time to leave, new calls go elsewhere.
void check_left(deployment& d, const std::string& engine)
{
    d.run_for(leaving_time);
    const auto before = taken(d, engine);
    constexpr int calls = 40;
    send_calls(d, calls);
    cr_assert_eq(taken(d, engine), before);
}

std::vector<std::shared_ptr<open_call>> begin_streams(deployment& d, int count, int tokens)
{
    std::vector<std::shared_ptr<open_call>> out;
    out.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        out.push_back(d.begin(d.address(common::concat("router-", i % 2)),
                              chat(common::concat("p", i), tokens, true)));
    cr_assert(d.wait_until(
        [&]
        { return std::ranges::all_of(out, [](const auto& it) { return !it->so_far.empty(); }); }));
    return out;
}

void check_whole(deployment& d, const std::vector<std::shared_ptr<open_call>>& calls, int tokens)
{
    cr_assert(d.wait_until(
        [&] { return std::ranges::all_of(calls, [](const auto& it) { return it->ended; }); }));
    for (std::size_t i = 0; i < calls.size(); ++i)
    {
        const auto& it = calls[i]->result;
        cr_assert(it.is_whole_stream(), "%s", it.body.c_str());
        cr_assert(it.text() == expected_text(common::concat("p", i), tokens));
    }
}

/// Callers don't notice a cut stream that goes on elsewhere, but the routers do.
void check_no_stream_was_cut(deployment& d, const std::vector<std::string>& routers)
{
    const auto name = common::concat("kqg_attempts_failed_total{code=\"",
                                     common::number(result_code::stream_cut), "\"}");
    for (const auto& it : routers)
        cr_assert_eq(d.metric(it, name), -1, "%s has seen a cut stream", it.c_str());
}

constexpr int stream_count = 8;
constexpr int stream_tokens = 200;

} // namespace

Test(leaving, the_platforms_list_ends_new_work_and_work_under_way_goes_on)
{
    deployment d{engines_plan()};
    const auto streams = begin_streams(d, stream_count, stream_tokens);
    d.list_host("agent-engine-a", "leaving");
    check_left(d, "engine-a");
    check_whole(d, streams, stream_tokens);
    check_no_stream_was_cut(d, {"router-0", "router-1"});
}

Test(leaving, an_order_to_the_agent_ends_new_work)
{
    deployment d{engines_plan()};
    const auto streams = begin_streams(d, stream_count, stream_tokens);
    const auto answer = d.call(d.address("agent-engine-a"),
                               {"POST", "/kqg/drain", {}, {{"Authorization", "Bearer secret"}}});
    cr_assert_eq(answer.status, 200);
    check_left(d, "engine-a");
    check_whole(d, streams, stream_tokens);
    check_no_stream_was_cut(d, {"router-0", "router-1"});
}

Test(leaving, a_deleted_target_gets_no_new_work)
{
    deployment d{engines_plan()};
    cr_assert_eq(d.erase("target", "engine-a").status, 200);
    check_left(d, "engine-a");
}

Test(leaving, the_agent_knows_although_the_store_is_out)
{
    deployment d{engines_plan()};
    d.order_fault("store", "kind=down");
    d.call(d.address("agent-engine-a"),
           {"POST", "/kqg/drain", {}, {{"Authorization", "Bearer secret"}}});
    check_left(d, "engine-a");
}

Test(leaving, without_the_token_nobody_orders_a_drain)
{
    deployment d{engines_plan()};
    const auto answer = d.call(d.address("agent-engine-a"), {"POST", "/kqg/drain"});
    cr_assert_eq(answer.code(), common::number(result_code::not_permitted));
}

Test(shutdown, an_agent_ends_when_its_last_call_has)
{
    deployment d{engines_plan()};
    const auto streams = begin_streams(d, stream_count, stream_tokens);
    d.at("agent-engine-a").signal(SIGTERM);
    // A second signal changes nothing.
    d.at("agent-engine-a").signal(SIGTERM);
    constexpr int calls = 20;
    send_calls(d, calls);
    check_whole(d, streams, stream_tokens);
    check_no_stream_was_cut(d, {"router-0", "router-1"});
    cr_assert(d.wait_until([&] { return d.at("agent-engine-a").has_ended(); }));
    cr_assert_eq(d.at("agent-engine-a").wait(), 0);
}

Test(shutdown, a_router_ends_when_its_last_call_has)
{
    deployment d{engines_plan()};
    const auto streams = begin_streams(d, stream_count, stream_tokens);
    d.at("router-0").signal(SIGTERM);
    d.at("router-0").signal(SIGTERM);
    cr_assert(d.wait_until(
        [&] {
            return d.call(d.address("router-0"), {"GET", "/readyz"}).status != 200;
        }));
    check_whole(d, streams, stream_tokens);
    cr_assert(d.wait_until([&] { return d.at("router-0").has_ended(); }));
    cr_assert_eq(d.at("router-0").wait(), 0);
}

Test(shutdown, orders_under_way_are_answered_and_recorded)
{
    plan p;
    p.routers = 2;
    p.targets = {{"orders-a", "orders"}};
    deployment d{p};
    d.order_fault("orders", "kind=slow&delay_ms=500");
    std::vector<std::shared_ptr<open_call>> calls;
    calls.reserve(stream_count);
    for (int i = 0; i < stream_count; ++i)
        calls.push_back(d.begin(d.address("router-0"), order(common::concat("r-", i))));
    cr_assert(
        d.wait_until([&] { return d.metric("agent-orders-a", "kqg_calls_in_service") == 8; }));
    d.at("agent-orders-a").signal(SIGTERM);
    d.at("router-0").signal(SIGTERM);
    cr_assert(d.wait_until(
        [&] { return std::ranges::all_of(calls, [](const auto& it) { return it->ended; }); }));
    for (const auto& it : calls)
        cr_assert(it->result.status == 201, "%d %s", it->result.status, it->result.body.c_str());
    cr_assert(d.wait_until(
        [&] { return d.at("agent-orders-a").has_ended() && d.at("router-0").has_ended(); }));
    cr_assert_eq(d.at("agent-orders-a").wait(), 0);
    cr_assert_eq(d.at("router-0").wait(), 0);
    // The records are written before the agent ends: the next one replays them.
    d.restart("agent-orders-a");
    cr_assert(
        d.wait_until([&] { return d.call(d.address("router-1"), order("r-0")).status == 201; }));
    cr_assert_eq(d.executions().at("r-0"), 1);
}

/// Guards against calls that ended without an answer at the drain limit.
Test(shutdown, a_router_answers_open_calls_at_its_drain_limit)
{
    plan p;
    p.routers = 1;
    p.targets = {{"orders-a", "orders"}};
    p.router_settings = "drain_limit_ms=500\n";
    deployment d{p};
    d.order_fault("orders", "kind=slow&delay_ms=5000");
    const auto call = d.begin(d.address("router-0"), order("r-0"));
    cr_assert(
        d.wait_until([&] { return d.metric("agent-orders-a", "kqg_calls_in_service") == 1; }));
    d.at("router-0").signal(SIGTERM);
    cr_assert(d.wait_until([&] { return call->ended; }));
    cr_assert_eq(call->result.code(), common::number(result_code::outcome_unknown));
    cr_assert_eq(d.at("router-0").wait(), 0);
}

/// Guards against calls that waited for a slot, and whose outcome was unknown at the drain limit
/// although they had not been executed.
Test(shutdown, an_agent_refuses_waiting_calls_at_its_drain_limit)
{
    plan p;
    p.routers = 1;
    p.targets = {{"orders-a", "orders", 1}};
    p.agent_settings = "drain_limit_ms=500\n";
    deployment d{p};
    d.order_fault("orders", "kind=slow&delay_ms=5000");
    const auto first = d.begin(d.address("router-0"), order("r-0"));
    const auto second = d.begin(d.address("router-0"), order("r-1"));
    cr_assert(d.wait_until([&] { return d.metric("agent-orders-a", "kqg_calls_waiting") == 1; }));
    d.at("agent-orders-a").signal(SIGTERM);
    cr_assert(d.wait_until([&] { return second->ended || first->ended; }));
    const auto& refused = second->ended ? second : first;
    cr_assert(common::is_not_run(static_cast<result_code>(refused->result.code())));
    cr_assert_eq(d.at("agent-orders-a").wait(), 0);
}
