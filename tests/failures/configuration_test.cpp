#include "deployment.hpp"

#include "common/result_code.hpp"
#include "common/text.hpp"

#include <criterion/criterion.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace kumquatgap;
using namespace kumquatgap::failures;
using common::milliseconds;
using common::result_code;
using nlohmann::json;

namespace
{

plan spreading_plan()
{
    plan p;
    p.spreads_config = true;
    p.routers = 3;
    p.targets = {{"engine-a", "assistant"},
                 {"engine-b", "assistant"},
                 {"orders-a", "orders"},
                 {"orders-b", "orders"}};
    return p;
}

json share(int percent)
{
    return {{"team", "shop-1"}, {"service", "assistant"}, {"percent", percent}};
}

std::string version_in(const outcome& it)
{
    return json::parse(it.body).value("resourceVersion", "");
}

std::vector<std::string> watchers(deployment& d)
{
    std::vector<std::string> out;
    for (const auto& it : d.daemons())
    {
        if (d.metric(it, "kqg_is_watching") == 1)
            out.push_back(it);
    }
    return out;
}

bool serves(deployment& d, const std::string& router)
{
    return d.call(d.address(router), chat("p", 2, false)).status == 200;
}

} // namespace

Test(configuration, of_two_operators_who_race_one_gets_a_conflict)
{
    deployment d{plan{}};
    const auto first = version_in(d.put("share", "s", share(10)));
    const auto ten = d.put("share", "s", share(20), first);
    const auto twenty = d.put("share", "s", share(30), first);
    cr_assert(ten.status == 200, "%d %s", ten.status, ten.body.c_str());
    cr_assert_eq(twenty.code(), common::number(result_code::conflict));
}

Test(configuration, shares_never_add_up_to_more_than_all)
{
    deployment d{plan{}};
    cr_assert_eq(d.put("share", "s", share(60)).status, 200);
    cr_assert_eq(d.put("share", "t", share(50)).code(),
                 common::number(result_code::invalid_resource));
}

Test(configuration, a_write_with_a_lost_answer_is_settled)
{
    deployment d{plan{}};
    d.order_fault("store", "kind=lose_answer&count=1&path=/v3/kv/txn");
    const auto written = d.put("share", "s", share(10));
    cr_assert(written.status == 200, "%d %s", written.status, written.body.c_str());
    cr_assert_eq(d.put("share", "s", share(20), version_in(written)).status, 200);
    cr_assert(d.wait_for_config());
}

Test(configuration, a_store_outage_leaves_traffic_as_it_is)
{
    deployment d{spreading_plan()};
    d.order_fault("store", "kind=down");
    // One that starts during the outage learns from the others.
    d.restart("router-0");
    cr_assert(d.wait_until([&] { return serves(d, "router-0"); }));
    cr_assert(serves(d, "router-1"));
    cr_assert_eq(d.put("share", "s", share(10)).code(),
                 common::number(result_code::store_unavailable));
    d.order_fault("store", "kind=none");
    cr_assert_eq(d.put("share", "s", share(10)).status, 200);
    cr_assert(d.wait_for_config());
}

Test(configuration, two_watch_and_all_learn)
{
    deployment d{spreading_plan()};
    cr_assert(d.wait_until([&] { return watchers(d).size() == 2; }));
    cr_assert_eq(d.put("share", "s", share(10)).status, 200);
    cr_assert(d.wait_for_config());
}

Test(configuration, killed_watchers_are_followed)
{
    deployment d{spreading_plan()};
    cr_assert(d.wait_until([&] { return watchers(d).size() == 2; }));
    const auto gone = watchers(d);
    for (const auto& it : gone)
        d.at(it).kill();
    cr_assert_eq(d.put("share", "s", share(10)).status, 200);
    for (const auto& it : d.daemons())
    {
        const bool is_gone = std::ranges::find(gone, it) != gone.end();
        cr_assert(is_gone || d.wait_for_revision(it, d.last_version()), "%s", it.c_str());
    }
}

Test(configuration, frozen_watchers_are_followed_and_catch_up)
{
    deployment d{spreading_plan()};
    cr_assert(d.wait_until([&] { return watchers(d).size() == 2; }));
    const auto frozen = watchers(d);
    for (const auto& it : frozen)
        d.at(it).signal(SIGSTOP);
    cr_assert_eq(d.put("share", "s", share(10)).status, 200);
    for (const auto& it : d.daemons())
    {
        const bool is_frozen = std::ranges::find(frozen, it) != frozen.end();
        cr_assert(is_frozen || d.wait_for_revision(it, d.last_version()), "%s", it.c_str());
    }
    for (const auto& it : frozen)
        d.at(it).signal(SIGCONT);
    cr_assert(d.wait_for_config());
    cr_assert(d.wait_until([&] { return watchers(d).size() == 2; }));
}

Test(configuration, a_watch_that_missed_compacted_changes_starts_anew)
{
    deployment d{plan{}};
    d.at("router-0").signal(SIGSTOP);
    const auto first = version_in(d.put("share", "s", share(10)));
    d.put("share", "s", share(20), first);
    d.call(d.address("store"), {"POST", "/stand_in/compact"});
    d.order_fault("store", "kind=down");
    d.order_fault("store", "kind=none");
    d.at("router-0").signal(SIGCONT);
    cr_assert(d.wait_for_config());
}

Test(configuration, a_store_that_has_lost_everything_is_not_obeyed)
{
    deployment d{spreading_plan()};
    const auto before = d.metric("router-0", "kqg_config_revision");
    d.restart("store");
    d.run_for(milliseconds{4000});
    for (const auto& it : d.daemons())
        cr_assert_geq(d.metric(it, "kqg_config_revision"), before, "%s", it.c_str());
    cr_assert(serves(d, "router-0"));
}

/// Its revisions are lower than those that the daemons have, for a while.
Test(configuration, a_store_restored_from_a_copy_is_followed)
{
    deployment d{spreading_plan()};
    d.call(d.address("store"), {"POST", "/stand_in/copy"});
    for (const auto* name : {"s", "t", "u"})
        cr_assert_eq(d.put("share", name, share(10)).status, 200);
    cr_assert(d.wait_for_config());
    const auto before = d.last_version();
    d.call(d.address("store"), {"POST", "/stand_in/restore"});
    cr_assert(d.wait_until([&] { return d.put("share", "v", share(20)).status == 200; }));
    cr_assert_lt(d.last_version(), before);
    for (const auto& it : d.daemons())
        cr_assert(
            d.wait_until([&] { return d.metric(it, "kqg_config_revision") == d.last_version(); }),
            "%s", it.c_str());
    cr_assert(serves(d, "router-0"));
}

Test(configuration, operators_see_what_is_in_force)
{
    deployment d{spreading_plan()};
    cr_assert_eq(d.put("share", "s", share(10)).status, 200);
    const auto version = d.last_version();
    const auto is_in_force = [&]
    {
        const auto answer = d.call(d.address("api"),
                                   {"GET", "/v1/status", {}, {{"Authorization", "Bearer reader"}}});
        const auto body = json::parse(answer.body, nullptr, false);
        if (!body.is_object() || !body.value("data_centres", json::object()).contains("ub-1"))
            return false;
        const auto& centre = body["data_centres"]["ub-1"];
        return centre.value("behind_count", 1) == 0 &&
               std::stoll(centre.value("in_force_revision", "0")) >= version;
    };
    cr_assert(d.wait_until(is_in_force));
}

/// Guards against a check that knows other rules or other resources than the API does.
Test(configuration, check_agrees_with_the_write_that_follows)
{
    deployment d{plan{}};
    cr_assert_eq(d.put("share", "first", share(60)).status, 200);
    const auto path = (std::filesystem::temp_directory_path() / "kqg-check-").string() +
                      std::to_string(::getpid());
    for (const int percent : {41, 40})
    {
        std::ofstream{path} << json{
            {"kind", "share"}, {"name", "second"}, {"spec", share(percent)}};
        process check{{std::string{BINARY_FOLDER} + "/kqgctl", "check", path, "--against_live",
                       "--api=" + d.address("api"), "--token=reader"},
                      path + ".out"};
        const int status = check.wait();
        const bool is_accepted = d.put("share", "second", share(percent)).status == 200;
        cr_assert_eq(is_accepted, percent == 40);
        cr_assert_eq(status, is_accepted ? 0 : 2);
    }
    std::filesystem::remove(path);
    std::filesystem::remove(path + ".out");
}
