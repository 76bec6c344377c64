#include "gateway_deployment.hpp"

#include "common/text.hpp"
#include "io/http_codec.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <csignal>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using common::milliseconds;
using stand_ins::scripted_target;

namespace
{

using reply = scripted_target::reply;
using calls = std::vector<std::shared_ptr<open_call>>;

/// The grace period of the tests' gateways.
constexpr milliseconds grace{6000};
/// Longer than the grace period.
constexpr int deadline_ms = 15'000;
constexpr int slots = 2;

/// One target whose calls take as long as the test says, and more calls than it has slots.
class busy_target
{
public:
    busy_target()
        : m_target{m_deployment.add_target("t-0", "plain",
                                           [this](const io::http_request& request, const reply& out)
                                           { m_open.emplace_back(request, out); })}
    {
        auto config = m_deployment.config(5);
        for (auto& it : config["routes"])
        {
            it["timeoutMs"] = deadline_ms;
            it["goalMs"] = deadline_ms / 2;
        }
        m_deployment.put_config(config);
        cr_assert(m_deployment.wait_ready());
        begin("takes-slot", slots, m_running);
        cr_assert(m_deployment.wait_until([this] { return m_open.size() == slots; }));
    }

    gateway_deployment& deployment() { return m_deployment; }
    scripted_target& target() { return m_target; }
    calls& running() { return m_running; }
    calls& waiting() { return m_waiting; }

    /// Sends calls that wait in the gateway, since the others have all slots.
    void begin_waiting(int n, const std::string& path = "/act/x")
    {
        begin("waits", n, m_waiting, path);
        m_deployment.run_for(milliseconds{300});
        cr_assert_eq(m_open.size(), slots);
    }

    /// Answers the calls at the target, also those that come to it later.
    void answer_all()
    {
        m_target.set_script([](const io::http_request& request, const reply& out)
                            { out.write(whole_answer(request, 200, "done")); });
        for (const auto& [request, out] : std::exchange(m_open, {}))
            out.write(whole_answer(request, 200, "done"));
    }

    /// True once all calls of a list have ended.
    bool wait_ended(const calls& list)
    {
        return m_deployment.wait_until(
            [&]
            { return std::ranges::all_of(list, [](const auto& it) { return it->result.ended; }); });
    }

private:
    void begin(const std::string& name, int n, calls& to, const std::string& path = "/act/x")
    {
        for (int i = 0; i < n; ++i)
        {
            to.push_back(m_deployment.begin({"POST",
                                             path,
                                             {},
                                             {{"Host", "site.example"},
                                              {"X-Request-Id", common::concat(name, "-", i)},
                                              {"X-Deadline-Ms", common::concat(deadline_ms)},
                                              {"Authorization", "Bearer key-1"}},
                                             "{}"}));
        }
    }

    gateway_deployment m_deployment;
    std::vector<std::pair<io::http_request, reply>> m_open;
    scripted_target& m_target;
    calls m_running;
    calls m_waiting;
};

} // namespace

/// Guards against calls that waited for a slot until the process exited, and ended without an
/// answer although they had certainly not been executed.
Test(gateway_shutdown, waiting_calls_are_refused_when_no_slot_comes_free)
{
    busy_target it;
    constexpr int waiting = 3;
    it.begin_waiting(waiting);
    const auto since = common::now();
    it.deployment().gateway().signal(SIGTERM);
    cr_assert(it.wait_ended(it.waiting()));
    cr_assert_lt((common::now() - since).count(), grace.count() / 2,
                 "what can't be served is refused early");
    for (const auto& call : it.waiting())
    {
        cr_assert_eq(call->result.how, io::call_outcome::complete);
        cr_assert_eq(call->result.answer.status, 503);
        cr_assert(!call->result.field("retry-after").empty());
    }
    it.answer_all();
    cr_assert(it.wait_ended(it.running()));
    for (const auto& call : it.running())
        cr_assert_eq(call->result.answer.status, 200);
    cr_assert_eq(it.target().requests().size(), slots);
    cr_assert_eq(it.deployment().gateway().wait(), 0);
}

/// Guards against refusing at once what can still be served.
Test(gateway_shutdown, waiting_calls_are_served_when_slots_come_free)
{
    busy_target it;
    constexpr int waiting = 3;
    it.begin_waiting(waiting);
    it.deployment().gateway().signal(SIGTERM);
    // A second signal changes nothing.
    it.deployment().gateway().signal(SIGTERM);
    it.deployment().run_for(grace / 4);
    it.answer_all();
    cr_assert(it.wait_ended(it.running()) && it.wait_ended(it.waiting()));
    for (const auto& call : it.waiting())
        cr_assert_eq(call->result.answer.status, 200);
    cr_assert_eq(it.target().requests().size(), slots + waiting);
}

/// A call that waits between two attempts may have been executed, so its answer promises nothing.
Test(gateway_shutdown, call_that_waits_for_its_second_attempt_is_answered)
{
    busy_target it;
    auto& second = it.deployment().add_target("t-1", "plain",
                                              [](const io::http_request& request, const reply& out)
                                              {
                                                  if (request.path != "/health")
                                                      out.reset();
                                              });
    it.deployment().run_for(milliseconds{500});
    const auto call = it.deployment().begin(it.deployment().request("/read/x", "moves"));
    cr_assert(it.deployment().wait_until([&] { return !second.requests().empty(); }));
    it.deployment().run_for(milliseconds{300});
    cr_assert(!call->result.ended);
    const auto since = common::now();
    it.deployment().gateway().signal(SIGTERM);
    cr_assert(it.deployment().wait_until([&] { return call->result.ended; }));
    cr_assert_lt((common::now() - since).count(), grace.count() / 2);
    cr_assert_eq(call->result.how, io::call_outcome::complete);
    cr_assert_eq(call->result.answer.status, 504);
}

/// The last answers before the exit: a call at a target may be executed, so "not run" would be
/// wrong.
Test(gateway_shutdown, calls_at_a_target_are_answered_at_the_end_of_the_grace_period)
{
    busy_target it;
    it.deployment().gateway().signal(SIGTERM);
    cr_assert(it.wait_ended(it.running()));
    for (const auto& call : it.running())
    {
        cr_assert_eq(call->result.how, io::call_outcome::complete);
        cr_assert_eq(call->result.answer.status, 504);
    }
    cr_assert_eq(it.deployment().gateway().wait(), 0);
}
