#include "gateway_deployment.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;

namespace
{

constexpr common::milliseconds max_refusal_time{1000};

scripted_target::script respond_with(const std::string& name)
{
    return [name](const io::http_request& request, const scripted_target::reply& out)
    { out.write(whole_answer(request, 200, name)); };
}

outcome call_once(gateway_deployment& deployment, std::size_t gateway = 0)
{
    static int s_calls = 0;
    return deployment.call(deployment.request("/read/x", common::concat("q", ++s_calls)), gateway);
}

bool log_shows(gateway_deployment& deployment, const std::string& text, std::size_t i = 0)
{
    return deployment.wait_until([&] { return deployment.log(i).find(text) != std::string::npos; });
}

/// Targets t-a in data centre a and t-b in data centre b, known to all gateways.
struct two_data_centres
{
    explicit two_data_centres(int gateways = 1, bool own_store_relays = false)
        : deployment{gateways, own_store_relays}, a{deployment.add_target(
                                                      "t-a", "plain", respond_with("t-a"), "a")},
          b{deployment.add_target("t-b", "plain", respond_with("t-b"), "b")}
    {
        deployment.put_config(deployment.config(1));
        for (int i = 0; i < gateways; ++i)
            cr_assert(deployment.wait_ready(static_cast<std::size_t>(i)));
    }

    void evacuate(const std::string& data_centre, std::size_t known_to = 0)
    {
        deployment.store().put("op/evacuate/" + data_centre, "{}");
        cr_assert(log_shows(deployment, "evacuation_begun data_centre=" + data_centre, known_to));
    }

    void cr_assert_all_served_by(const std::string& target, std::size_t gateway = 0)
    {
        for (int i = 0; i < 10; ++i)
            cr_assert_eq(call_once(deployment, gateway).answer.body, target);
    }

    gateway_deployment deployment;
    scripted_target& a;
    scripted_target& b;
};

void cr_assert_refused(const outcome& it, const std::string& code)
{
    cr_assert_eq(it.answer.status, 503);
    cr_assert_neq(it.answer.body.find("\"code\":" + code), std::string::npos);
    cr_assert_neq(it.answer.body.find("\"not_run\":true"), std::string::npos);
    cr_assert_not(it.field("retry-after").empty());
}

} // namespace

/// A call was sent to the data centre after the operator's key was known.
Test(gateway_evacuation, evacuated_data_centre_gets_no_calls_until_key_is_removed)
{
    two_data_centres it;
    it.evacuate("a");
    const auto before = it.a.requests().size();
    it.cr_assert_all_served_by("t-b");
    cr_assert_eq(it.a.requests().size(), before);
    it.deployment.store().remove("op/evacuate/a");
    cr_assert(log_shows(it.deployment, "evacuation_ended data_centre=a reason=removed"));
    cr_assert(
        it.deployment.wait_until([&] { return call_once(it.deployment).answer.body == "t-a"; }));
}

/// Calls waited for their deadlines although every target of the service was evacuated.
Test(gateway_evacuation, call_without_other_target_is_refused_at_once)
{
    two_data_centres it;
    it.evacuate("a");
    it.evacuate("b");
    const auto start = common::now();
    cr_assert_refused(call_once(it.deployment), "2015");
    cr_assert_lt((common::now() - start).count(), max_refusal_time.count());
    it.deployment.store().remove("op/evacuate/b");
    cr_assert(log_shows(it.deployment, "evacuation_ended data_centre=b"));
    it.cr_assert_all_served_by("t-b");
}

/// A retry after a failed attempt went to the data centre.
Test(gateway_evacuation, retry_avoids_evacuated_data_centre)
{
    two_data_centres it;
    it.evacuate("a");
    const auto before = it.a.requests().size();
    it.b.set_script([](const io::http_request&, const scripted_target::reply& out)
                    { out.reset(); });
    cr_assert_neq(call_once(it.deployment).answer.status, 200);
    cr_assert_eq(it.a.requests().size(), before);
}

/// An evacuation, the targets that it takes out and the calls that it refuses were not visible.
Test(gateway_evacuation, metrics_show_evacuation)
{
    two_data_centres it;
    cr_assert_neq(it.deployment.metrics().find("kqg_evacuated_data_centres 0"), std::string::npos);
    it.evacuate("a");
    it.cr_assert_all_served_by("t-b");
    it.evacuate("b");
    cr_assert_refused(call_once(it.deployment), "2015");
    const auto text = it.deployment.metrics();
    for (const char* line :
         {"kqg_evacuated_data_centres 2", "kqg_evacuation_last_send_ms{data_centre=\"a\"} 0",
          "kqg_skipped_targets_total{reason=\"evacuated\"} 1", "code=\"2015\"} 1"})
        cr_assert_neq(text.find(line), std::string::npos, "%s is not in %s", line, text.c_str());
}
