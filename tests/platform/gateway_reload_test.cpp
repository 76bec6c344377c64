#include "gateway_site.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

#include <csignal>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;

namespace
{

/// A site with two targets of which one always fails; a safe call that meets it is sent again as
/// long as the settings allow that.
struct half_broken_site
{
    gateway_site site;
    int calls = 0;

    half_broken_site()
    {
        const auto answer = [](int status)
        {
            return [status](const io::http_request& request, const scripted_target::reply& out)
            { out.write(whole_answer(request, status, "x")); };
        };
        site.add_target("t-0", "plain", answer(500));
        site.add_target("t-1", "plain", answer(200));
        site.put_config(site.config(5));
        cr_assert(site.wait_ready());
    }

    /// How many of some calls fail.
    int failures()
    {
        int n = 0;
        constexpr int tries = 12;
        for (int i = 0; i < tries; ++i)
        {
            const auto id = common::concat("r", ++calls);
            n += site.call(site.request("/read/x", id)).answer.status == 200 ? 0 : 1;
        }
        return n;
    }

    bool logs(const std::string& text)
    {
        return site.wait_until([&] { return site.log().find(text) != std::string::npos; });
    }
};

const std::string s_retries = "ratio = 0.2\nextra = 20\n";

} // namespace

Test(gateway_reload, changed_retry_limits_are_in_force_after_a_signal)
{
    half_broken_site it;
    cr_assert_eq(it.failures(), 0);
    it.site.change_settings(s_retries, "ratio = 0\nextra = 0\n");
    it.site.gateway().signal(SIGHUP);
    cr_assert(it.logs("settings_reloaded changed=retries.extra,retries.ratio at_next_start=\"\""));
    // The broken target is left alone for a while after its first failures.
    cr_assert(it.site.wait_until([&] { return it.failures() > 0; }));
}

Test(gateway_reload, a_change_without_a_signal_is_found)
{
    half_broken_site it;
    it.site.change_settings(s_retries, "ratio = 0\nextra = 0\n");
    cr_assert(it.logs("settings_reloaded"));
    cr_assert_gt(it.failures(), 0);
}

Test(gateway_reload, settings_with_a_mistake_change_nothing)
{
    half_broken_site it;
    it.site.change_settings(s_retries, "ratio = 0\nextra = many\n");
    it.site.gateway().signal(SIGHUP);
    cr_assert(it.logs("settings_refused code=6001"));
    cr_assert_eq(it.failures(), 0);
    cr_assert(it.site.log().find("settings_reloaded") == std::string::npos);
}

Test(gateway_reload, a_changed_address_is_told_and_waits_for_the_next_start)
{
    half_broken_site it;
    it.site.change_settings("timeout_ms = 800", "timeout_ms = 900");
    cr_assert(it.logs("settings_reloaded changed=store.timeout_ms at_next_start=store.timeout_ms"));
    cr_assert_eq(it.failures(), 0);
}
