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

constexpr int tokens = 60;

plan engines_plan()
{
    return {.routers = 1,
            .targets = {{"engine-a", "assistant"}, {"engine-b", "assistant"}},
            .router_settings = "agent_silence_ms=1000\n",
            .engine_flags = {"--token_ms=10"}};
}

/// Starts a stream and waits until the caller has some of its tokens.
std::shared_ptr<open_call> begin_stream(deployment& d, const std::string& prompt)
{
    auto it = d.begin(d.address("router-0"), chat(prompt, tokens, true));
    constexpr std::size_t some_bytes = 800;
    cr_assert(d.wait_until([&] { return it->so_far.size() > some_bytes || it->ended; }));
    cr_assert(!it->ended, "%d %s", it->result.status, it->result.body.c_str());
    return it;
}

/// The one of the two engines that works on a call.
std::string busy_engine(deployment& d)
{
    for (const auto* name : {"engine-a", "engine-b"})
    {
        if (d.metric(name, "vllm:num_requests_running") > 0)
            return name;
    }
    cr_assert_fail("no engine is busy");
    return "";
}

void check_text(const std::string& actual, const std::string& expected)
{
    cr_assert(actual == expected, "got '%s', not '%s'", actual.c_str(), expected.c_str());
}

void check_whole(deployment& d, open_call& it, const std::string& prompt)
{
    cr_assert(d.wait_until([&] { return it.ended; }));
    cr_assert(it.result.is_whole_stream(), "%s", it.result.body.c_str());
    check_text(it.result.text(), expected_text(prompt, tokens));
}

} // namespace

Test(whole_answer, whole_and_streamed_answers_are_the_same)
{
    deployment d{engines_plan()};
    const auto whole = d.call(d.address("router-0"), chat("p", tokens, false));
    const auto stream = d.call(d.address("router-0"), chat("p", tokens, true));
    check_text(whole.text(), expected_text("p", tokens));
    check_text(stream.text(), whole.text());
    cr_assert(stream.is_whole_stream());
}

Test(whole_answer, a_killed_engine_costs_the_caller_nothing)
{
    deployment d{engines_plan()};
    const auto it = begin_stream(d, "p");
    d.at(busy_engine(d)).kill();
    check_whole(d, *it, "p");
}

Test(whole_answer, a_killed_agent_costs_the_caller_nothing)
{
    deployment d{engines_plan()};
    const auto it = begin_stream(d, "p");
    d.at("agent-" + busy_engine(d)).kill();
    check_whole(d, *it, "p");
}

Test(whole_answer, a_frozen_agent_costs_the_caller_a_second)
{
    deployment d{engines_plan()};
    const auto it = begin_stream(d, "p");
    const auto frozen = "agent-" + busy_engine(d);
    d.at(frozen).signal(SIGSTOP);
    check_whole(d, *it, "p");
    // The remaining bytes of the frozen agent are discarded.
    d.at(frozen).signal(SIGCONT);
    const auto next = d.call(d.address("router-0"), chat("q", tokens, true));
    check_text(next.text(), expected_text("q", tokens));
}

Test(whole_answer, connections_that_fall_silent_while_new_ones_work)
{
    auto p = engines_plan();
    p.relays = true;
    deployment d{p};
    const auto it = begin_stream(d, "p");
    d.relay_of("engine-a").lose_open_connections();
    d.relay_of("engine-b").lose_open_connections();
    check_whole(d, *it, "p");
}

Test(whole_answer, a_cut_between_the_last_token_and_the_end_is_no_normal_end)
{
    deployment d{engines_plan()};
    d.call(d.address("engine-a"), {"POST", "/stand_in/cut", "after_last_token=true"});
    d.call(d.address("engine-b"), {"POST", "/stand_in/cut", "after_last_token=true"});
    const auto stream = d.call(d.address("router-0"), chat("p", tokens, true));
    cr_assert_not(stream.is_whole_stream());
    cr_assert(stream.body.find("event: error") != std::string::npos);
    const auto whole = d.call(d.address("router-0"), chat("p", tokens, false));
    cr_assert_neq(whole.code(), 0);
    cr_assert_not(whole.says_not_run());
}

Test(whole_answer, an_answer_to_another_request_reaches_nobody)
{
    deployment d{engines_plan()};
    d.call(d.address("engine-a"), {"POST", "/stand_in/cut", "wrong_id=true"});
    for (const bool streams : {true, false})
    {
        const auto one_is_right = d.call(d.address("router-0"), chat("p", tokens, streams));
        check_text(one_is_right.text(), expected_text("p", tokens));
    }
    d.call(d.address("engine-b"), {"POST", "/stand_in/cut", "wrong_id=true"});
    for (const bool streams : {true, false})
    {
        const auto none_is_right = d.call(d.address("router-0"), chat("p", tokens, streams));
        check_text(none_is_right.text(), "");
        cr_assert(none_is_right.code() == common::number(result_code::wrong_answer), "%d %s",
                  none_is_right.status, none_is_right.body.c_str());
    }
}

Test(whole_answer, many_callers_under_cuts_get_their_own_text_or_an_error)
{
    auto p = engines_plan();
    p.targets.push_back({"engine-c", "assistant"});
    deployment d{p};
    std::map<std::string, std::shared_ptr<open_call>> calls;
    constexpr int callers = 60;
    for (int i = 0; i < callers; ++i)
    {
        const auto prompt = common::concat("prompt ", i);
        calls[prompt] = d.begin(d.address("router-0"), chat(prompt, tokens, i % 3 != 0));
    }
    int rounds = 0;
    cr_assert(d.wait_until(
        [&]
        {
            if (++rounds % 150 == 0)
                d.begin(d.address(common::concat("engine-", "abc"[rounds / 150 % 3])),
                        {"POST", "/stand_in/cut"});
            return std::ranges::all_of(calls, [](const auto& it) { return it.second->ended; });
        }));
    int whole = 0;
    for (const auto& [prompt, it] : calls)
    {
        const auto& result = it->result;
        const bool is_whole =
            result.is_whole_stream() ||
            (result.status == 200 && result.code() == 0 && !result.body.starts_with("data:"));
        whole += is_whole ? 1 : 0;
        if (is_whole)
            check_text(result.text(), expected_text(prompt, tokens));
        else
            cr_assert(expected_text(prompt, tokens).starts_with(result.text()));
    }
    cr_assert_gt(whole, callers / 2);
}

Test(whole_answer, callers_that_go_away_leave_no_work_behind)
{
    deployment d{engines_plan()};
    begin_stream(d, "p");
    cr_assert(d.wait_until(
        [&]
        {
            return d.metric("engine-a", "vllm:num_requests_running") == 0 &&
                   d.metric("engine-b", "vllm:num_requests_running") == 0;
        }));
    const auto next = d.call(d.address("router-0"), chat("q", tokens, true));
    check_text(next.text(), expected_text("q", tokens));
}
