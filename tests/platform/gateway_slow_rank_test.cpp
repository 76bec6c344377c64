#include "gateway_deployment.hpp"

#include "common/text.hpp"
#include "fleet/target_slowdown.hpp"
#include "io/http_codec.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <utility>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;

namespace
{

using reply = scripted_target::reply;
constexpr int event_count = 10;
/// Longer than the gap goal of the tests' streaming route, which is 100 ms.
constexpr common::milliseconds gap{150};

/// Two engines whose streams send an event in each `gap`, as when a group waits for a slow rank. A
/// resumed stream sends the rest at once.
class slow_group
{
public:
    slow_group()
    {
        const auto script = [this](const io::http_request& request, const reply& out)
        { start_stream(request, out); };
        for (const auto* id : {"e-0", "e-1"})
            m_targets.push_back(&m_deployment.add_target(id, "engine", script));
        auto config = m_deployment.config(5);
        for (auto& it : config["services"])
        {
            if (it["name"] == "engine")
                it["engine"] = {
                    {"slots", 2}, {"stride", 6}, {"step_ms", 5.85}, {"per_seq_ms", 0.426}};
        }
        m_deployment.put_config(config);
        cr_assert(m_deployment.wait_ready());
    }

    /// Starts a stream, and publishes a slowdown of its target once it has an event.
    std::shared_ptr<open_call> start_on_slow_target(double slowdown)
    {
        auto out = m_deployment.begin(m_deployment.request("/draft/x", "r1", "{}"));
        cr_assert(m_deployment.wait_until([&] { return !out->so_far.empty(); }));
        const auto it = std::ranges::find_if(m_targets, [](const auto* target)
                                             { return !target->requests().empty(); });
        cr_assert(it != m_targets.end());
        m_deployment.store().put(common::concat(fleet::slowdown_prefix, (*it)->address()),
                                 fleet::slowdown_to_text(slowdown));
        return out;
    }

    gateway_deployment& deployment() { return m_deployment; }
    /// The next stream that is moved is refused.
    void refuse_next_resumption() { m_refuses = true; }
    std::size_t request_count() const
    {
        return m_targets.front()->requests().size() + m_targets.back()->requests().size();
    }

private:
    void start_stream(const io::http_request& request, const reply& out)
    {
        int last = 0;
        const auto text = request.headers.find("last-event-id");
        if (!text.empty())
            common::parse_number(text, last);
        if (!text.empty() && std::exchange(m_refuses, false))
            return out.write(whole_answer(request, 503, "", "X-Not-Executed: 1\r\n"));
        out.write(stream_head(request));
        const auto send = [out](int i)
        {
            out.write(stream_event(i));
            if (i == event_count)
                out.write(io::last_chunk);
        };
        for (int i = last + 1; i <= event_count; ++i)
        {
            if (!text.empty())
                send(i);
            else
                m_timers.push_back(m_deployment.loop().after(gap * i, [send, i] { send(i); }));
        }
    }

    gateway_deployment m_deployment;
    std::vector<scripted_target*> m_targets;
    std::vector<io::timer_handle> m_timers;
    bool m_refuses = false;
};

} // namespace

/// Guards against a group in lock-step that waits for a slow rank as long as that has one stream:
/// no further streams were sent there, but the one that ran kept all others late.
Test(gateway_slow_rank, stream_leaves_a_rank_that_makes_its_group_late)
{
    slow_group group;
    const auto call = group.start_on_slow_target(12);
    cr_assert(group.deployment().wait_until([&] { return call->result.ended; }));
    cr_assert_eq(call->result.how, io::call_outcome::complete);
    cr_assert_eq(call->so_far, events_text(1, event_count));
    cr_assert_eq(group.request_count(), 2U);
    cr_assert(group.deployment().wait_until(
        [&]
        { return group.deployment().log().find("slow_target_left id=r1") != std::string::npos; }));
}

/// Guards against a stream that was cut since the only other target refused it, though the slow one
/// would have gone on.
Test(gateway_slow_rank, stream_refused_elsewhere_stays_with_its_slow_target)
{
    slow_group group;
    group.refuse_next_resumption();
    const auto call = group.start_on_slow_target(12);
    cr_assert(group.deployment().wait_until([&] { return call->result.ended; }));
    cr_assert_eq(call->result.how, io::call_outcome::complete);
    cr_assert_eq(call->so_far, events_text(1, event_count));
    cr_assert_eq(group.request_count(), 2U);
}

/// Moving a stream costs it a gap and a retry, so it stays where little would be gained.
Test(gateway_slow_rank, stream_stays_on_a_slightly_slow_rank)
{
    slow_group group;
    const auto call = group.start_on_slow_target(1.3);
    cr_assert(group.deployment().wait_until([&] { return call->result.ended; }));
    cr_assert_eq(call->result.how, io::call_outcome::complete);
    cr_assert_eq(call->so_far, events_text(1, event_count));
    cr_assert_eq(group.request_count(), 1U);
}
