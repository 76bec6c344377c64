#include "gateway_deployment.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

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

/// The status and body of a call to the safe route, as text.
std::string call_once(gateway_deployment& deployment, std::size_t gateway = 0)
{
    static int s_calls = 0;
    const auto result =
        deployment.call(deployment.request("/read/x", common::concat("q", ++s_calls)), gateway);
    return result.answer.status == 200 ? result.answer.body : common::concat(result.answer.status);
}

bool log_shows(gateway_deployment& deployment, const std::string& text, std::size_t i = 0)
{
    return deployment.wait_until([&] { return deployment.log(i).find(text) != std::string::npos; });
}

/// A deployment whose store has a copy with configuration 5 and target t-0, and lost changes.
void begin_with_copy(gateway_deployment& deployment, int lost_changes)
{
    deployment.add_target("t-0", "plain", respond_with("t-0"));
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    deployment.store().take_copy();
    for (int i = 0; i < lost_changes; ++i)
        deployment.store().put("servers/odd", common::concat("not json ", i));
}

/// The store loses configuration 9, which lacks the key of the calls; returns that configuration.
nlohmann::json lose_configuration_without_key(gateway_deployment& deployment)
{
    begin_with_copy(deployment, 1);
    auto newer = deployment.config(9);
    newer["tenants"][0]["apiKeys"] = {"key-2"};
    deployment.put_config(newer);
    cr_assert(log_shows(deployment, "configuration_in_force version=9"));
    deployment.store().restore();
    return newer;
}

} // namespace

/// Gateways compared the revisions of two histories and took no change until the end.
Test(gateway_restored_store, change_after_restore_is_in_force)
{
    gateway_deployment deployment;
    begin_with_copy(deployment, 20);
    deployment.put_config(deployment.config(6));
    cr_assert(log_shows(deployment, "configuration_in_force version=6"));
    deployment.store().restore();
    deployment.put_config(deployment.config(6));
    deployment.put_config(deployment.config(7));
    cr_assert(log_shows(deployment, "configuration_in_force version=7"));
    cr_assert_eq(call_once(deployment), "t-0");
}

/// The watch of the former era stayed valid when the store had given out its revision again.
Test(gateway_restored_store, change_at_reused_revision_is_in_force)
{
    gateway_deployment deployment;
    begin_with_copy(deployment, 1);
    cr_assert(log_shows(deployment, "target_learnt target=t-0"));
    deployment.run_for(common::milliseconds{200});
    deployment.store().restore(false);
    // Takes the revisions of the lost change and more, at once.
    deployment.put_config(deployment.config(9));
    deployment.store().put("servers/odd", "not json");
    deployment.store().put("servers/odd", "not json either");
    cr_assert(log_shows(deployment, "configuration_in_force version=9"));
}

/// Until the operators have written their configuration again, the copy has an older one.
Test(gateway_restored_store, older_configuration_of_copy_waits_for_rewrite)
{
    gateway_deployment deployment;
    const auto newer = lose_configuration_without_key(deployment);
    cr_assert(log_shows(deployment, "older_configuration_restored version=5"));
    cr_assert_eq(call_once(deployment), "401");
    deployment.put_config(newer);
    deployment.run_for(common::milliseconds{2500});
    cr_assert_eq(call_once(deployment), "401");
    cr_assert_eq(deployment.log().find("configuration_in_force version=5",
                                       deployment.log().find("store_restored")),
                 std::string::npos);
}

/// What nobody writes again has never been confirmed as far as the store knows.
Test(gateway_restored_store, configuration_of_copy_is_in_force_if_not_rewritten)
{
    gateway_deployment deployment;
    lose_configuration_without_key(deployment);
    cr_assert(deployment.wait_until([&] { return call_once(deployment) == "t-0"; }));
}

/// A gateway that the store turns away still hears of the restored store from the others.
Test(gateway_restored_store, gateway_without_store_follows_peers)
{
    gateway_deployment deployment{2, true};
    begin_with_copy(deployment, 20);
    cr_assert(deployment.wait_ready(1));
    deployment.run_for(common::milliseconds{1500});
    deployment.store_relay(1).set_mood(failures::relay_mood::holds);
    deployment.store().restore();
    deployment.put_config(deployment.config(7));
    cr_assert(log_shows(deployment, "configuration_in_force version=7", 0));
    cr_assert(log_shows(deployment, "configuration_in_force version=7", 1));
}

/// The entry of a target was missing in the copy that peers told of, and it got no calls at once.
Test(gateway_restored_store, target_that_peers_report_lost_is_kept_for_grace)
{
    gateway_deployment deployment{2, true};
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready(0) && deployment.wait_ready(1));
    deployment.run_for(common::milliseconds{1500});
    deployment.store().take_copy();
    deployment.add_target("t-1", "plain", respond_with("t-1"));
    cr_assert(log_shows(deployment, "target_learnt target=t-1", 1));
    deployment.store_relay(1).set_mood(failures::relay_mood::holds);
    deployment.store().restore();
    deployment.put_config(deployment.config(7));
    cr_assert(log_shows(deployment, "configuration_in_force version=7", 1));
    cr_assert_eq(call_once(deployment, 1), "t-1");
}

/// The entry of a gateway is under a lease that the restored store may not have.
Test(gateway_restored_store, gateway_registers_again)
{
    gateway_deployment deployment;
    deployment.store().take_copy();
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    cr_assert(deployment.wait_until(
        [&] { return deployment.store().contains("kqg/gateways/gateway-0"); }));
    deployment.store().restore();
    cr_assert_not(deployment.store().contains("kqg/gateways/gateway-0"));
    cr_assert(deployment.wait_until(
        [&] { return deployment.store().contains("kqg/gateways/gateway-0"); }));
}

/// A copy shows a target as ready whose entry was `draining` before.
Test(gateway_restored_store, draining_target_gets_no_calls)
{
    gateway_deployment deployment;
    begin_with_copy(deployment, 1);
    const auto address = deployment.add_target("t-1", "plain", respond_with("t-1")).address();
    deployment.store().take_copy();
    cr_assert(log_shows(deployment, "target_learnt target=t-1"));
    deployment.put_entry("t-1", "plain", address, "draining");
    cr_assert(log_shows(deployment, "target_learnt target=t-1 service=plain address=" + address +
                                        " leaving=1"));
    deployment.store().restore();
    cr_assert(log_shows(deployment, "store_restored"));
    cr_assert(log_shows(deployment, "is_confirmed=0"));
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(call_once(deployment), "t-0");
}

/// What is known to crash targets was forgotten, and reached them again.
Test(gateway_restored_store, quarantine_is_written_again)
{
    gateway_deployment deployment;
    begin_with_copy(deployment, 1);
    deployment.store().put("kqg/quarantine/engine/part-1", "{}");
    cr_assert(log_shows(deployment, "quarantine_stored part=engine/part-1"));
    deployment.store().restore();
    cr_assert(log_shows(deployment, "quarantine_lost part=engine/part-1"));
    cr_assert(deployment.wait_until(
        [&] { return deployment.store().contains("kqg/quarantine/engine/part-1"); }));
}
