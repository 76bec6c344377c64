#include "gateway_deployment.hpp"

#include "common/result_code.hpp"
#include "common/text.hpp"
#include "target_answers.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <iterator>
#include <list>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using common::milliseconds;
using common::result_code;
using stand_ins::scripted_target;

namespace
{

constexpr milliseconds run_time{400};
constexpr int http_too_many = 429;

/// A gateway and a target with two slots, whose answers take 400 ms each.
class busy_deployment
{
public:
    explicit busy_deployment(bool sheds_load)
    {
        if (sheds_load)
        {
            m_deployment.change_settings("[retries]", "[admission]\npolicy = value\n[retries]");
            m_deployment.restart_gateway(0);
        }
        m_target = &m_deployment.add_target(
            "t-1", "plain",
            [this](const io::http_request& it, const scripted_target::reply& out)
            { answer_later(it, out); });
        m_deployment.put_config(m_deployment.config(1));
        cr_assert(m_deployment.wait_ready());
        // The gateway has to measure how long a call occupies a slot.
        cr_assert_eq(m_deployment.call(m_deployment.request("/read/a", "first")).answer.status,
                     200);
    }

    /// Sends calls all at once and waits until all have ended.
    std::vector<outcome> call_at_once(int n)
    {
        std::vector<std::shared_ptr<open_call>> calls;
        calls.reserve(static_cast<std::size_t>(n));
        for (int i = 0; i < n; ++i)
            calls.push_back(
                m_deployment.begin(m_deployment.request("/read/a", common::concat("call-", i))));
        cr_assert(m_deployment.wait_until(
            [&] {
                return std::ranges::all_of(calls, [](const auto& it) { return it->result.ended; });
            }));
        std::vector<outcome> out;
        std::ranges::transform(calls, std::back_inserter(out),
                               [](const auto& it) { return it->result; });
        return out;
    }

    bool has_reached_target(const std::string& id) const
    {
        return std::ranges::any_of(m_target->requests(), [&](const auto& it)
                                   { return it.headers.find("x-request-id") == id; });
    }

private:
    void answer_later(const io::http_request& it, const scripted_target::reply& out)
    {
        m_timers.push_back(m_deployment.loop().after(
            run_time, [it, out] { out.write(stand_ins::whole_answer(it, 200, "done")); }));
    }

    gateway_deployment m_deployment;
    scripted_target* m_target = nullptr;
    std::list<io::timer_handle> m_timers;
};

bool has_code(const outcome& it, result_code code)
{
    return it.answer.body.find(common::concat("\"code\":", common::number(code))) !=
           std::string::npos;
}

} // namespace

/// Guards against late calls that are held for nothing, and against a refusal of a call that a
/// target has got: its caller may send it again.
Test(gateway_load_shedding, late_calls_are_refused_before_any_target_has_them)
{
    busy_deployment it{true};
    const auto ends = it.call_at_once(30);
    int refused = 0;
    int answered = 0;
    for (std::size_t i = 0; i < ends.size(); ++i)
    {
        answered += ends[i].answer.status == 200 ? 1 : 0;
        if (!has_code(ends[i], result_code::late_call_refused))
            continue;
        ++refused;
        cr_assert_eq(ends[i].answer.status, http_too_many);
        cr_assert_not(ends[i].field("retry-after").empty());
        cr_assert_not(it.has_reached_target(common::concat("call-", i)));
    }
    cr_assert_geq(refused, 10, "%d", refused);
    cr_assert_geq(answered, 2, "%d", answered);
}

/// Guards against a change of the default policy.
Test(gateway_load_shedding, default_policy_refuses_no_late_calls)
{
    busy_deployment it{false};
    const auto ends = it.call_at_once(30);
    cr_assert(std::ranges::none_of(ends, [](const auto& end)
                                   { return has_code(end, result_code::late_call_refused); }));
}
