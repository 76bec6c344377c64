#include "gateway_deployment.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;

namespace
{

using reply = scripted_target::reply;
constexpr double limit_per_s = 2;
constexpr common::milliseconds window{4000};
/// The most requests that reach the target in one window.
constexpr std::ptrdiff_t most_in_window = 17;

/// Much longer than the delays of a busy machine: otherwise a gateway takes one of the two equal
/// targets for the slower one, and leaves it the few requests that this test counts.
constexpr common::milliseconds work_time{40};

/// A target that names a rate limit and one that does not, behind two gateways.
class limited_service
{
public:
    limited_service()
    {
        m_deployment.add_target("t-0", "plain",
                                [this](const io::http_request& it, const reply& out)
                                { receive_limited(it, out); });
        m_deployment.add_target("t-1", "plain",
                                [this](const io::http_request& it, const reply& out)
                                { answer_later(out, whole_answer(it, 200, "t-1")); });
        m_deployment.put_config(m_deployment.config(5));
        cr_assert(m_deployment.wait_ready(0));
        cr_assert(m_deployment.wait_ready(1));
    }

    gateway_deployment& deployment() { return m_deployment; }
    void set_limited(bool on) { m_is_limited = on; }

    /// Makes calls at both gateways for a time; all must succeed.
    void make_calls(common::milliseconds time)
    {
        const auto since = common::now();
        while (common::now() - since < time)
        {
            const auto it = m_deployment.request("/read/x", common::concat("r", ++m_calls));
            cr_assert_eq(m_deployment.call(it, static_cast<std::size_t>(m_calls) % 2).answer.status,
                         200);
            m_deployment.run_for(common::milliseconds{10});
        }
    }

    const std::vector<common::timestamp>& arrivals() const { return m_arrivals; }

    std::ptrdiff_t most_arrivals_in_a_window() const
    {
        std::ptrdiff_t most = 0;
        for (auto it = m_arrivals.begin(); it != m_arrivals.end(); ++it)
        {
            const auto end =
                std::find_if(it, m_arrivals.end(), [&](auto at) { return at - *it > window; });
            most = std::max(most, end - it);
        }
        return most;
    }

private:
    void answer_later(const reply& out, const std::string& answer)
    {
        m_timers.push_back(
            m_deployment.loop().after(work_time, [out, answer] { out.write(answer); }));
    }

    void receive_limited(const io::http_request& request, const reply& out)
    {
        m_arrivals.push_back(common::now());
        const auto more = m_is_limited ? common::concat("Server-Limit: ", limit_per_s, "\r\n") : "";
        answer_later(out, whole_answer(request, 200, "t-0", more));
    }

    gateway_deployment m_deployment{2};
    std::vector<io::timer_handle> m_timers;
    std::vector<common::timestamp> m_arrivals;
    int m_calls = 0;
    bool m_is_limited = true;
};

} // namespace

/// Guards against gateways that ignore the rate that a target names, or apply it each for itself.
Test(gateway_rate_limit, limited_target_gets_no_more_from_all_gateways_together)
{
    limited_service service;
    service.make_calls(common::milliseconds{6000});
    cr_assert_leq(service.most_arrivals_in_a_window(), most_in_window);
    cr_assert_geq(service.arrivals().size(), 6U, "the rest of the rate is not given away");
}

/// Guards against a limit that outlives the need, and against a restarted gateway that forgets it.
Test(gateway_rate_limit, limit_holds_across_a_restart_and_ends_with_the_answers_that_name_it)
{
    limited_service service;
    service.make_calls(common::milliseconds{1500});
    service.deployment().restart_gateway(1);
    cr_assert(service.deployment().wait_ready(1));
    service.make_calls(common::milliseconds{3500});
    cr_assert_leq(service.most_arrivals_in_a_window(), most_in_window);
    service.set_limited(false);
    const auto before = service.arrivals().size();
    cr_assert(service.deployment().wait_until(
        [&]
        {
            service.make_calls(common::milliseconds{100});
            return service.arrivals().size() > before + 40;
        }));
}
