#include "gateway_deployment.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

#include <csignal>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;

namespace
{

/// A deployment with two targets of which one always fails; a safe call that fails there is retried
/// as long as the settings allow it.
struct half_failing_deployment
{
    gateway_deployment deployment;
    int calls = 0;

    half_failing_deployment()
    {
        const auto answer = [](int status)
        {
            return [status](const io::http_request& request, const scripted_target::reply& out)
            { out.write(whole_answer(request, status, "x")); };
        };
        deployment.add_target("t-0", "plain", answer(500));
        deployment.add_target("t-1", "plain", answer(200));
        deployment.put_config(deployment.config(5));
        cr_assert(deployment.wait_ready());
    }

    /// The number of failed calls out of 12.
    int failures()
    {
        int n = 0;
        constexpr int tries = 12;
        for (int i = 0; i < tries; ++i)
        {
            const auto id = common::concat("r", ++calls);
            n += deployment.call(deployment.request("/read/x", id)).answer.status == 200 ? 0 : 1;
        }
        return n;
    }

    bool log_shows(const std::string& text)
    {
        return deployment.wait_until([&]
                                     { return deployment.log().find(text) != std::string::npos; });
    }
};

const std::string s_retries = "ratio = 0.2\nextra = 20\n";

} // namespace

Test(gateway_reload, sighup_applies_changed_retry_limits)
{
    half_failing_deployment it;
    cr_assert_eq(it.failures(), 0);
    it.deployment.change_settings(s_retries, "ratio = 0\nextra = 0\n");
    it.deployment.gateway().signal(SIGHUP);
    cr_assert(
        it.log_shows("settings_reloaded changed=retries.extra,retries.ratio at_next_start=\"\""));
    // The failing target is ejected for a time after its first failures.
    cr_assert(it.deployment.wait_until([&] { return it.failures() > 0; }));
}

Test(gateway_reload, changed_file_reloaded_without_signal)
{
    half_failing_deployment it;
    it.deployment.change_settings(s_retries, "ratio = 0\nextra = 0\n");
    cr_assert(it.log_shows("settings_reloaded"));
    cr_assert_gt(it.failures(), 0);
}

Test(gateway_reload, invalid_settings_refused)
{
    half_failing_deployment it;
    it.deployment.change_settings(s_retries, "ratio = 0\nextra = many\n");
    it.deployment.gateway().signal(SIGHUP);
    cr_assert(it.log_shows("settings_refused code=6001"));
    cr_assert_eq(it.failures(), 0);
    cr_assert(it.deployment.log().find("settings_reloaded") == std::string::npos);
}

Test(gateway_reload, setting_that_needs_restart_logged)
{
    half_failing_deployment it;
    it.deployment.change_settings("timeout_ms = 800", "timeout_ms = 900");
    cr_assert(
        it.log_shows("settings_reloaded changed=store.timeout_ms at_next_start=store.timeout_ms"));
    cr_assert_eq(it.failures(), 0);
}
