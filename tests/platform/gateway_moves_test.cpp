#include "gateway_deployment.hpp"

#include "common/text.hpp"
#include "io/http_codec.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>
#include <list>
#include <optional>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using common::milliseconds;
using common::timestamp;
using stand_ins::scripted_target;

namespace
{

using reply = scripted_target::reply;
constexpr int events = 60;
constexpr milliseconds event_gap{40};
/// Longer than the silence after which a stream is moved, shorter than its caller waits.
constexpr milliseconds preemption_time{1500};

/// Engines with two slots each, all of whose streams send an event in each `event_gap`.
class paced_engines
{
public:
    explicit paced_engines(int targets, int max_attempts = 2)
    {
        for (int i = 0; i < targets; ++i)
            m_targets.push_back(&m_deployment.add_target(
                common::concat("e-", i), "engine",
                [this, i](const io::http_request& request, const reply& out)
                { start(static_cast<std::size_t>(i), request, out); }));
        auto config = m_deployment.config(5);
        config["routes"][2]["maxAttempts"] = max_attempts;
        m_deployment.put_config(config);
        cr_assert(m_deployment.wait_ready());
        m_timer = m_deployment.loop().every(event_gap, [this] { send_events(); });
    }

    gateway_deployment& deployment() { return m_deployment; }

    /// Starts streams until each has its first event.
    std::vector<std::shared_ptr<open_call>> begin(std::size_t n)
    {
        std::vector<std::shared_ptr<open_call>> out;
        for (std::size_t i = 0; i < n; ++i)
        {
            out.push_back(
                m_deployment.begin(m_deployment.request("/draft/x", common::concat("r", i), "{}")));
            cr_assert(m_deployment.wait_until([&] { return !out.back()->so_far.empty(); }));
        }
        return out;
    }

    /// Stops the newest stream of the target that has the first one for a time.
    void stop_newest(milliseconds time)
    {
        const auto at = m_streams.front().target;
        const auto newest = std::find_if(m_streams.rbegin(), m_streams.rend(),
                                         [at](const auto& it) { return it.target == at; });
        newest->silent_until = common::now() + time;
    }

    /// From now on each target answers new streams with `fn` in its place.
    void answer_new_streams(scripted_target::script fn) { m_new_streams = std::move(fn); }

    /// Ends a stream of another target than the first stream's.
    void complete_one_elsewhere()
    {
        const auto at = m_streams.front().target;
        const auto it =
            std::ranges::find_if(m_streams, [at](const auto& s) { return s.target != at; });
        it->next = events;
    }

    std::size_t request_count() const
    {
        std::size_t n = 0;
        for (const auto* it : m_targets)
            n += it->requests().size();
        return n;
    }

    void expect_whole(const std::vector<std::shared_ptr<open_call>>& calls)
    {
        for (const auto& it : calls)
        {
            cr_assert(m_deployment.wait_until([&] { return it->result.ended; }));
            cr_assert_eq(it->result.how, io::call_outcome::complete);
        }
    }

private:
    struct stream
    {
        std::size_t target = 0;
        reply out;
        int next = 1;
        timestamp silent_until;
    };

    void start(std::size_t target, const io::http_request& request, const reply& out)
    {
        if (const auto fn = m_new_streams)
            return fn(request, out);
        int last = 0;
        common::parse_number(request.headers.find("last-event-id"), last);
        out.write(stream_head(request));
        m_streams.push_back({target, out, last + 1, {}});
    }

    void send_events()
    {
        for (auto& it : m_streams)
        {
            if (common::now() < it.silent_until || it.next > events)
                continue;
            it.out.write(stream_event(it.next));
            if (it.next++ == events)
                it.out.write(io::last_chunk);
        }
    }

    gateway_deployment m_deployment;
    std::vector<scripted_target*> m_targets;
    std::list<stream> m_streams;
    scripted_target::script m_new_streams;
    io::timer_handle m_timer;
};

/// Starts streams, one of which its target then preempts for a time; none may be moved or cut.
void expect_all_stay(paced_engines& engines, std::size_t streams)
{
    const auto calls = engines.begin(streams);
    engines.stop_newest(preemption_time);
    engines.expect_whole(calls);
    for (const auto& it : calls)
        cr_assert_eq(it->so_far, events_text(1, events));
    cr_assert_eq(engines.request_count(), streams);
}

void refuse(const io::http_request& request, const reply& out)
{
    out.write(whole_answer(request, 503, "", "X-Not-Executed: 1\r\n"));
}

/// Starts a stream at each of two targets. The target of one preempts it for a time, and the other
/// target, which has a slot as far as the gateway knows, treats it as `fn` says. The stream must go
/// on where it was.
void expect_stream_stays(scripted_target::script fn, bool is_shut_down = false)
{
    paced_engines engines{2};
    const auto calls = engines.begin(2);
    engines.answer_new_streams(std::move(fn));
    if (is_shut_down)
        engines.deployment().gateway().signal(SIGTERM);
    engines.stop_newest(preemption_time);
    engines.expect_whole(calls);
    for (const auto& it : calls)
        cr_assert_eq(it->so_far, events_text(1, events));
    cr_assert_eq(engines.request_count(), 3U);
}

} // namespace

/// Guards against a stream that was taken from a target that would have gone on, and was cut since
/// the target that was asked in its place refused it.
Test(gateway_moves, silent_stream_stays_when_the_other_target_refuses_it)
{
    expect_stream_stays(refuse);
}

/// The same while the gateway shuts down, as callers of review/7 saw it.
Test(gateway_moves, silent_stream_stays_when_refused_elsewhere_during_shutdown)
{
    expect_stream_stays(refuse, true);
}

Test(gateway_moves, silent_stream_stays_when_the_other_target_closes_the_connection)
{
    expect_stream_stays([](const auto& /*request*/, const reply& out) { out.close(); });
}

Test(gateway_moves, silent_stream_stays_when_the_other_target_says_nothing)
{
    expect_stream_stays([](const auto& /*request*/, const auto& /*out*/) {});
}

/// A head alone does not show that the target has begun with the stream.
Test(gateway_moves, silent_stream_stays_when_the_other_target_sends_a_head_only)
{
    expect_stream_stays([](const io::http_request& request, const reply& out)
                        { out.write(stream_head(request)); });
}

/// Guards against holding on to a dead target after one refusal: the stream goes to a third one.
Test(gateway_moves, refused_stream_leaves_dead_target_for_the_next_one)
{
    paced_engines engines{3};
    const auto calls = engines.begin(2);
    int refusals = 0;
    engines.answer_new_streams(
        [&](const io::http_request& request, const reply& out)
        {
            ++refusals;
            engines.answer_new_streams({});
            refuse(request, out);
        });
    constexpr milliseconds for_good{60'000};
    engines.stop_newest(for_good);
    engines.expect_whole(calls);
    cr_assert_eq(refusals, 1);
    for (const auto& it : calls)
        cr_assert_eq(it->so_far, events_text(1, events));
}

/// Guards against the same with a slow idempotent call: its target's answer comes, though another
/// one has refused the call meanwhile.
Test(gateway_moves, slow_idempotent_call_gets_its_answer_when_refused_elsewhere)
{
    gateway_deployment deployment;
    std::vector<io::timer_handle> timers;
    std::optional<int> arrivals;
    const auto answer = [&](const io::http_request& request, const reply& out)
    {
        const int nth = arrivals ? ++*arrivals : 0;
        if (nth == 2)
            return refuse(request, out);
        const milliseconds time{nth == 1 ? 900 : 5};
        timers.push_back(deployment.loop().after(
            time, [request, out] { out.write(whole_answer(request, 200, "done")); }));
    };
    deployment.add_target("t-0", "plain", answer);
    deployment.add_target("t-1", "plain", answer);
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    for (int i = 0; i < 8; ++i)
        deployment.call(deployment.request("/read/x", common::concat("w", i)));
    arrivals = 0;
    const auto result = deployment.call(deployment.request("/read/x", "r0"));
    cr_assert_eq(*arrivals, 2);
    cr_assert_eq(result.answer.status, 200);
}

/// Guards against a stream that was taken from its target for its silence, found no free slot
/// elsewhere, and was cut although its target would have gone on.
Test(gateway_moves, silent_stream_stays_while_no_other_target_has_a_slot)
{
    paced_engines engines{2};
    expect_all_stay(engines, 4);
}

/// Guards against holding on to a target that is dead: the stream moves with the first free slot.
Test(gateway_moves, silent_stream_moves_once_another_target_has_a_slot)
{
    paced_engines engines{2};
    const auto calls = engines.begin(4);
    constexpr milliseconds for_good{60'000};
    engines.stop_newest(for_good);
    engines.deployment().run_for(milliseconds{1500});
    engines.complete_one_elsewhere();
    engines.expect_whole(calls);
    cr_assert_eq(engines.request_count(), 5U);
}

/// Guards against a stream that was cut at once when the attempt that it left was its last.
Test(gateway_moves, silent_stream_stays_on_its_last_attempt)
{
    paced_engines engines{3, 1};
    expect_all_stay(engines, 2);
}

/// Guards against slow idempotent calls that left their targets only to take each other's slots.
Test(gateway_moves, slow_idempotent_calls_keep_their_slots)
{
    gateway_deployment deployment;
    std::vector<io::timer_handle> timers;
    std::size_t arrivals = 0;
    const auto slow = [&](const io::http_request& request, const reply& out)
    {
        ++arrivals;
        timers.push_back(deployment.loop().after(
            milliseconds{900}, [request, out] { out.write(whole_answer(request, 200, "done")); }));
    };
    deployment.add_target("t-0", "plain", slow);
    deployment.add_target("t-1", "plain", slow);
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    std::vector<std::shared_ptr<open_call>> calls;
    constexpr std::size_t all_slots = 4;
    calls.reserve(all_slots);
    for (std::size_t i = 0; i < all_slots; ++i)
        calls.push_back(deployment.begin(deployment.request("/read/x", common::concat("r", i))));
    for (const auto& it : calls)
    {
        cr_assert(deployment.wait_until([&] { return it->result.ended; }));
        cr_assert_eq(it->result.answer.status, 200);
    }
    cr_assert_eq(arrivals, all_slots);
}

/// Guards against the same when the calls end some time apart, so that each slot is free for a
/// while before the other calls end.
Test(gateway_moves, slow_idempotent_calls_that_end_apart_keep_their_slots)
{
    gateway_deployment deployment;
    std::vector<io::timer_handle> timers;
    std::size_t arrivals = 0;
    const auto slow = [&](const io::http_request& request, const reply& out)
    {
        ++arrivals;
        timers.push_back(deployment.loop().after(
            milliseconds{900}, [request, out] { out.write(whole_answer(request, 200, "done")); }));
    };
    deployment.add_target("t-0", "plain", slow);
    deployment.add_target("t-1", "plain", slow);
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    std::vector<std::shared_ptr<open_call>> calls;
    constexpr std::size_t all_slots = 4;
    calls.reserve(all_slots);
    for (std::size_t i = 0; i < all_slots; ++i)
    {
        calls.push_back(deployment.begin(deployment.request("/read/x", common::concat("r", i))));
        deployment.run_for(milliseconds{30});
    }
    for (const auto& it : calls)
        cr_assert(deployment.wait_until([&] { return it->result.ended; }));
    cr_assert_eq(arrivals, all_slots);
}

/// Guards against a call that stays with a target that never answers, since the others are slow.
Test(gateway_moves, idempotent_call_leaves_silent_target_of_a_slow_service)
{
    gateway_deployment deployment;
    std::vector<io::timer_handle> timers;
    bool is_next_silent = false;
    const auto slow = [&](const io::http_request& request, const reply& out)
    {
        if (std::exchange(is_next_silent, false))
            return;
        timers.push_back(deployment.loop().after(
            milliseconds{500}, [request, out] { out.write(whole_answer(request, 200, "done")); }));
    };
    deployment.add_target("t-0", "plain", slow);
    deployment.add_target("t-1", "plain", slow);
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    const auto first = deployment.begin(deployment.request("/read/x", "r0"));
    const auto second = deployment.begin(deployment.request("/read/x", "r1"));
    cr_assert(deployment.wait_until([&] { return first->result.ended && second->result.ended; }));
    is_next_silent = true;
    cr_assert_eq(deployment.call(deployment.request("/read/x", "r2")).answer.status, 200);
}
