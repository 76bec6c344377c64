#include "gateway_deployment.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

#include <map>
#include <set>
#include <vector>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;

namespace
{

scripted_target::script respond_with(const std::string& name)
{
    return [name](const io::http_request& request, const scripted_target::reply& out)
    { out.write(whole_answer(request, 200, name)); };
}

outcome call_once(gateway_deployment& deployment)
{
    static int s_calls = 0;
    return deployment.call(deployment.request("/read/x", common::concat("q", ++s_calls)));
}

/// Targets in data centres a (region north), b (region south) and c (no known region).
struct two_regions
{
    two_regions()
    {
        for (const std::string name : {"a", "b", "c"})
            targets.emplace(name, &deployment.add_target("t-" + name, "plain",
                                                         respond_with("t-" + name), name));
    }

    /// Puts a configuration in force whose safe route and team have these regions.
    void restrict(const nlohmann::json& route, const nlohmann::json& team)
    {
        auto config = deployment.config(1);
        config["routes"][0]["allowedRegions"] = route;
        config["tenants"][0]["allowedRegions"] = team;
        config["routes"][0]["timeoutMs"] = 5000;
        deployment.put_config(config);
        cr_assert(deployment.wait_ready());
    }

    gateway_deployment deployment{1, false, "a:north,b:south"};
    std::map<std::string, scripted_target*> targets;
};

} // namespace

/// Calls of a restricted route were spread over all regions.
Test(gateway_regions, calls_of_restricted_route_stay_in_region)
{
    two_regions it;
    it.restrict({"south"}, nlohmann::json::array());
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(call_once(it.deployment).answer.body, "t-b");
}

/// Only the route's restriction applied when the team had one too.
Test(gateway_regions, restrictions_of_route_and_team_both_apply)
{
    two_regions it;
    it.restrict({"south", "north"}, {"north", "west"});
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(call_once(it.deployment).answer.body, "t-a");
}

/// A call that no region may serve waited for its deadline or went to a target of unknown region.
Test(gateway_regions, call_without_permitted_target_is_refused)
{
    two_regions it;
    it.restrict({"south"}, {"north"});
    const auto answer = call_once(it.deployment);
    cr_assert_eq(answer.answer.status, 503);
    cr_assert_neq(answer.answer.body.find("\"code\":2016"), std::string::npos);
    cr_assert_neq(answer.answer.body.find("\"not_run\":true"), std::string::npos);
    cr_assert_not(answer.field("retry-after").empty());
}

/// An empty list was read as a restriction to nothing.
Test(gateway_regions, empty_lists_restrict_nothing)
{
    two_regions it;
    it.restrict(nlohmann::json::array(), nlohmann::json::array());
    std::set<std::string> seen;
    cr_assert(it.deployment.wait_until(
        [&]
        {
            seen.insert(call_once(it.deployment).answer.body);
            return seen.contains("t-a");
        }));
}

/// A retry left the region.
Test(gateway_regions, retry_stays_in_region)
{
    two_regions it;
    it.restrict({"south"}, nlohmann::json::array());
    it.targets.at("b")->set_script([](const io::http_request&, const scripted_target::reply& out)
                                   { out.reset(); });
    cr_assert_neq(call_once(it.deployment).answer.status, 200);
    cr_assert(it.targets.at("a")->requests().empty());
    cr_assert(it.targets.at("c")->requests().empty());
}

/// A restricted call at the head of the queue kept calls waiting for which other regions had slots.
Test(gateway_regions, waiting_restricted_call_holds_up_no_other)
{
    two_regions it;
    it.restrict({"south"}, nlohmann::json::array());
    std::vector<std::pair<io::http_request, scripted_target::reply>> held;
    it.targets.at("b")->set_script(
        [&](const io::http_request& request, const scripted_target::reply& out)
        { held.emplace_back(request, out); });
    std::vector<std::shared_ptr<open_call>> restricted;
    // The target has two slots.
    for (const std::string id : {"r1", "r2", "r3"})
        restricted.push_back(it.deployment.begin(it.deployment.request("/read/x", id)));
    cr_assert(it.deployment.wait_until([&] { return held.size() == 2; }));
    const auto other = it.deployment.call(it.deployment.request("/act/x", "o1"));
    cr_assert_eq(other.answer.body, "t-a");
    cr_assert_not(restricted.back()->result.ended);
    // The waiting call gets the first slot.
    held[0].second.write(whole_answer(held[0].first, 200, "t-b"));
    cr_assert(it.deployment.wait_until([&] { return held.size() == 3; }));
    cr_assert(it.targets.at("a")->requests().size() == 1);
    cr_assert(it.targets.at("c")->requests().empty());
}

/// A call waited for its deadline although no permitted target would take it before.
Test(gateway_regions, call_is_refused_if_permitted_targets_are_busy_too_long)
{
    two_regions it;
    it.restrict({"south"}, nlohmann::json::array());
    it.targets.at("b")->set_script(
        [](const io::http_request& request, const scripted_target::reply& out) {
            out.write(
                whole_answer(request, 503, "busy", "X-Not-Executed: 1\r\nRetry-After: 30\r\n"));
        });
    const auto start = common::now();
    const auto answer = call_once(it.deployment);
    cr_assert_eq(answer.answer.status, 429);
    cr_assert_neq(answer.answer.body.find("\"code\":2004"), std::string::npos);
    // 0.85 of the call's five seconds is the longest wait.
    cr_assert_lt((common::now() - start).count(), 3000);
    cr_assert(it.targets.at("a")->requests().empty());
}
