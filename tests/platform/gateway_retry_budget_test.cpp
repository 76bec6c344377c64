#include "gateway_deployment.hpp"
#include "repeat_count.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

#include <csignal>
#include <cstdint>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using common::milliseconds;
using stand_ins::scripted_target;

namespace
{

constexpr std::size_t gateways = 3;
/// As in the settings of the deployment.
constexpr stand_ins::repeat_limit limit{.ratio = 0.2, .extra = 20, .window = milliseconds{10'000}};
/// From one call to the next, so that the calls alone earn few retries.
constexpr milliseconds pause{30};
/// A gateway that has started has heard the others after this time.
constexpr milliseconds time_to_report{600};

/// Targets that answer every call with an error, so that each call asks for a retry.
class failing_service
{
public:
    failing_service()
    {
        for (int i = 0; i < 4; ++i)
            m_deployment.add_target(
                common::concat("t-", i), "plain",
                [this](const io::http_request& it, const scripted_target::reply& out)
                {
                    m_counts.record_arrival(std::string{it.headers.find("x-request-id")},
                                            common::now());
                    out.write(whole_answer(it, m_status, ""));
                });
        m_deployment.put_config(m_deployment.config(5));
        for (std::size_t i = 0; i < gateways; ++i)
            cr_assert(m_deployment.wait_ready(i));
    }

    gateway_deployment& deployment() { return m_deployment; }
    const stand_ins::repeat_count& counts() const { return m_counts; }
    void set_status(int status) { m_status = status; }

    /// Makes calls at all gateways in turn.
    void make_calls(int n)
    {
        for (int i = 0; i < n; ++i)
        {
            const auto id = common::concat("r", ++m_calls);
            m_counts.record_request(common::now());
            m_deployment.call(m_deployment.request("/read/x", id),
                              static_cast<std::size_t>(m_calls) % gateways);
            m_deployment.run_for(pause);
        }
    }

    void restart(std::size_t gateway)
    {
        m_deployment.restart_gateway(gateway);
        cr_assert(m_deployment.wait_ready(gateway));
    }

private:
    gateway_deployment m_deployment{gateways};
    stand_ins::repeat_count m_counts;
    int m_calls = 0;
    int m_status = 500;
};

/// What becomes of the entries of killed gateways in the store.
enum class entries : std::uint8_t
{
    stay,
    lapse
};

/// Kills all gateways at once, three times.
void check_kills(entries what)
{
    failing_service service;
    service.make_calls(30);
    for (int n = 0; n < 3; ++n)
    {
        for (std::size_t i = 0; i < gateways; ++i)
            service.deployment().gateway(i).kill();
        for (std::size_t i = 0; what == entries::lapse && i < gateways; ++i)
            service.deployment().store().remove(common::concat("kqg/gateways/gateway-", i));
        for (std::size_t i = 0; i < gateways; ++i)
            service.restart(i);
        service.make_calls(24);
    }
    cr_assert_leq(service.counts().most_excess(limit), 0);
}

} // namespace

/// Guards against gateways that forget at a restart which retries they have sent in the window.
Test(gateway_retry_budget, gateways_that_restart_in_turn_get_no_further_retries)
{
    failing_service service;
    service.make_calls(30);
    for (std::size_t i = 0; i < 4 * gateways; ++i)
    {
        service.restart(i % gateways);
        service.make_calls(6);
    }
    cr_assert_leq(service.counts().most_excess(limit), 0);
}

/// Guards against the same when no gateway is left that could remember.
Test(gateway_retry_budget, gateways_that_are_all_killed_get_no_further_retries)
{
    check_kills(entries::stay);
}

/// Guards against gateways that take entries which lapsed while the store was away for a sign that
/// no gateway has run.
Test(gateway_retry_budget, killed_gateways_whose_entries_lapsed_get_no_further_retries)
{
    check_kills(entries::lapse);
}

/// Guards against a budget that is merely cut for gateways that have restarted.
Test(gateway_retry_budget, restarted_gateways_may_use_what_is_left)
{
    failing_service service;
    service.set_status(200);
    service.make_calls(30);
    for (std::size_t i = 0; i < gateways; ++i)
    {
        service.restart(i);
        service.deployment().run_for(time_to_report);
    }
    service.set_status(500);
    service.make_calls(60);
    const auto allowed = limit.extra + limit.ratio * 90;
    cr_assert_geq(static_cast<double>(service.counts().repeats()), 0.6 * allowed);
    cr_assert_leq(service.counts().most_excess(limit), 0);
}

/// Guards against a gateway that is ready for calls before the others could report the retries that
/// they know of, and so fails calls that it may retry a moment later.
Test(gateway_retry_budget, started_gateway_is_ready_once_the_others_could_report)
{
    gateway_deployment deployment{2};
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready(0) && deployment.wait_ready(1));
    deployment.gateway(1).signal(SIGSTOP);
    deployment.restart_gateway(0);
    const auto since = common::now();
    cr_assert(deployment.wait_ready(0));
    cr_assert_geq((common::now() - since).count(), 250);
    deployment.gateway(1).signal(SIGCONT);
}
