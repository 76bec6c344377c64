#include "deployment.hpp"

#include "common/hash.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap;
using namespace kumquatgap::failures;

namespace
{

constexpr int long_tokens = 1500;
constexpr int short_tokens = 5;

/// One engine with two slots; a call of many tokens is a long one.
plan one_engine()
{
    return {.routers = 1,
            .targets = {{"engine-a", "assistant", 2}},
            .agent_settings = "long_call_ms=2000\n",
            .engine_flags = {"--token_ms=4", "--first_token_ms=0"}};
}

} // namespace

Test(queue, short_calls_do_not_wait_behind_long_ones_and_long_ones_end_whole)
{
    deployment d{one_engine()};
    // Urgent calls come from another team, so the first one's priority makes room for them.
    const auto first = d.begin(d.address("router-0"), chat("long 1", long_tokens, true));
    const auto second = d.begin(d.address("router-0"), chat("long 2", long_tokens, true));
    cr_assert(d.wait_until([&] { return !first->so_far.empty() || !second->so_far.empty(); }));
    // The reserve keeps one slot from long calls, so a short one starts at once.
    const auto quick = d.call(d.address("router-0"), chat("short", short_tokens, true));
    cr_assert(quick.is_whole_stream());
    cr_assert(!first->ended && !second->ended);
    cr_assert(d.wait_until([&] { return first->ended && second->ended; }));
    cr_assert(first->result.text() == expected_text("long 1", long_tokens));
    cr_assert(second->result.text() == expected_text("long 2", long_tokens));
}

Test(queue, an_interrupted_stream_goes_on_and_is_whole)
{
    auto p = one_engine();
    p.targets.front().slots = 1;
    p.agent_settings += "short_reserve_percent=0\n";
    deployment d{p};
    const auto team =
        nlohmann::json{{"member", "rl"}, {"token_sha256", common::sha256_hex("urgent-team")}};
    cr_assert_eq(d.put("team", "urgent", team).status, 200);
    cr_assert_eq(d.put("priority", "urgent-first",
                       {{"team", "urgent"}, {"service", "assistant"}, {"level", 0}})
                     .status,
                 200);
    cr_assert(d.wait_for_config());
    const auto slow = d.begin(d.address("router-0"), chat("long", long_tokens, true));
    cr_assert(d.wait_until([&] { return !slow->so_far.empty(); }));
    d.run_for(common::milliseconds{1200});
    auto request = chat("short", short_tokens, true);
    request.headers = {{"Authorization", "Bearer urgent-team"}};
    const auto quick = d.call(d.address("router-0"), request);
    cr_assert(quick.is_whole_stream(), "%s", quick.body.c_str());
    cr_assert(!slow->ended);
    cr_assert_eq(d.metric("agent-engine-a", "kqg_pauses_total"), 1);
    cr_assert(d.wait_until([&] { return slow->ended; }));
    cr_assert(slow->result.is_whole_stream());
    cr_assert(slow->result.text() == expected_text("long", long_tokens));
}
