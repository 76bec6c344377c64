#include "gateway_deployment.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

#include <set>

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
            deployment.add_target("t-" + name, "plain", respond_with("t-" + name), name);
    }

    /// Puts a configuration in force whose safe route and team have these regions.
    void restrict(const nlohmann::json& route, const nlohmann::json& team)
    {
        auto config = deployment.config(1);
        config["routes"][0]["allowedRegions"] = route;
        config["tenants"][0]["allowedRegions"] = team;
        deployment.put_config(config);
        cr_assert(deployment.wait_ready());
    }

    gateway_deployment deployment{1, false, "a:north,b:south"};
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
