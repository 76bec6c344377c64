#include "gateway_deployment.hpp"
#include "late_repeats.hpp"

#include "common/text.hpp"
#include "io/http_codec.hpp"
#include "policy/stall_detector.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <list>
#include <random>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using common::milliseconds;
using stand_ins::late_repeats;
using stand_ins::scripted_target;

namespace
{

constexpr int last_event = 3;

/// How a target treats its requests.
struct behaviour
{
    /// Refuses this many sendings of each request, truthfully.
    int refusals = 0;
    /// Names itself as the target at fault in its refusals, so that a gateway may send the call to
    /// it again.
    bool names_itself = false;
    /// Sends each refusal again, late.
    bool repeats = false;
};

/// A target that counts what it runs.
class counting_target
{
public:
    counting_target(gateway_deployment& deployment, const std::string& id,
                    const std::string& service, behaviour how)
        : m_id{id}, m_how{how}, m_target{
                                    deployment.add_target(id, service,
                                                          [this](const io::http_request& request,
                                                                 const scripted_target::reply& out)
                                                          { take(request, out); })}
    {
    }

    void set_behaviour(behaviour how) { m_how = how; }
    int runs_of(const std::string& request_id) const
    {
        const auto it = m_runs.find(request_id);
        return it == m_runs.end() ? 0 : it->second;
    }
    int repeats() const { return m_repeats.sent(); }
    std::size_t connections() const { return m_target.connections_accepted(); }

private:
    void take(const io::http_request& request, const scripted_target::reply& out)
    {
        m_repeats.send_due(out);
        const std::string request_id{request.headers.find("x-request-id")};
        if (m_refused[request_id] < m_how.refusals)
        {
            ++m_refused[request_id];
            const auto text = whole_answer(
                request, 503, "",
                common::concat("X-Not-Executed: 1\r\n",
                               m_how.names_itself ? common::concat("At-Server: ", m_id, "\r\n")
                                                  : std::string{}));
            out.write(text);
            if (m_how.repeats)
                m_repeats.plan(out, text);
            return;
        }
        ++m_runs[request_id];
        if (!request.path.starts_with("/draft/"))
            return out.write(whole_answer(request, 200, m_id));
        out.write(stream_head(request));
        for (int n = 1; n <= last_event; ++n)
            out.write(stream_event(n));
        out.write(io::last_chunk);
    }

    std::string m_id;
    behaviour m_how;
    std::map<std::string, int> m_refused;
    std::map<std::string, int> m_runs;
    late_repeats m_repeats;
    scripted_target& m_target;
};

/// Makes calls at the same time, so that the gateway has as many idle connections to the target.
void open_connections(gateway_deployment& deployment, const std::string& path, int connections)
{
    std::vector<std::shared_ptr<open_call>> calls;
    calls.reserve(static_cast<std::size_t>(connections));
    for (int i = 0; i < connections; ++i)
        calls.push_back(deployment.begin(deployment.request(path, common::concat("first", i))));
    for (const auto& it : calls)
        cr_assert(deployment.wait_until([&] { return it->result.ended; }));
}

/// One target refuses each sending of a call once and repeats its refusal late; the call ends with
/// the response of its only run.
void check_runs_once(const std::string& path, const std::string& service)
{
    gateway_deployment deployment;
    counting_target target{deployment, "t-0", service, {}};
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    open_connections(deployment, path, 1);
    // A refusal that names the target lets the call return to it only while no stream progresses.
    deployment.run_for(2 * policy::stall_detector::max_gap);
    target.set_behaviour({.refusals = 1, .names_itself = true, .repeats = true});
    const auto result = deployment.call(deployment.request(path, "r1"));
    cr_assert_eq(target.runs_of("r1"), 1, "%d runs", target.runs_of("r1"));
    cr_assert_eq(result.answer.status, 200, "%d", result.answer.status);
}

} // namespace

/// The late repeat of a refusal was taken for the refusal of the next attempt.
Test(gateway_late_repeats, unsafe_call_runs_once_after_its_refusal_is_repeated)
{
    check_runs_once("/act/x", "plain");
}

Test(gateway_late_repeats, safe_call_runs_once_after_its_refusal_is_repeated)
{
    check_runs_once("/read/x", "plain");
}

Test(gateway_late_repeats, stream_runs_once_after_its_refusal_is_repeated)
{
    check_runs_once("/draft/x", "engine");
}

/// A call that visits an unreachable target may return to one that has refused it without naming
/// itself.
Test(gateway_late_repeats, unsafe_call_that_returns_to_a_target_runs_once)
{
    gateway_deployment deployment;
    counting_target target{deployment, "t-0", "plain", {}};
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    open_connections(deployment, "/act/x", 1);
    deployment.put_entry("t-1", "plain", failures::free_address());
    cr_assert(deployment.wait_until(
        [&] { return deployment.log().find("target_learnt target=t-1") != std::string::npos; }));
    target.set_behaviour({.refusals = 1, .repeats = true});
    for (int i = 0; i < 30; ++i)
    {
        const auto id = common::concat("r", i);
        const auto result = deployment.call(deployment.request("/act/x", id));
        const auto runs = target.runs_of(id);
        cr_assert_leq(runs, 1, "%s: %d runs", id.c_str(), runs);
        const bool says_unrun = result.answer.status == 503 || result.answer.status == 429;
        cr_assert(!says_unrun || runs == 0, "%s: %d, but it has run", id.c_str(),
                  result.answer.status);
    }
    cr_assert_gt(target.repeats(), 0);
}

/// A refused call goes on over an idle connection that has not carried it, if there is one.
Test(gateway_late_repeats, refused_call_reuses_another_idle_connection)
{
    gateway_deployment deployment;
    counting_target target{deployment, "t-0", "plain", {}};
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    target.set_behaviour({.refusals = 1, .names_itself = true});
    open_connections(deployment, "/act/x", 2);
    const auto before = target.connections();
    cr_assert_geq(before, 2);
    for (int i = 0; i < 3; ++i)
    {
        const auto result = deployment.call(deployment.request("/act/x", common::concat("r", i)));
        cr_assert_eq(result.answer.status, 200);
    }
    cr_assert_eq(target.connections(), before, "%zu connections, not %zu", target.connections(),
                 before);
}

/// Three targets refuse and repeat at random, and requests overlap.
Test(gateway_late_repeats, drawn_refusals_and_repeats_run_nothing_twice)
{
    constexpr int calls = 400;
    constexpr double refused_share = 0.4;
    constexpr double repeated_share = 0.5;
    gateway_deployment deployment;
    std::mt19937 random{20261207};
    const auto draws = [&](double share) {
        return std::uniform_real_distribution<>{0, 1}(random) < share;
    };
    std::map<std::string, int> runs;
    std::list<late_repeats> repeats;
    for (const auto* name : {"t-0", "t-1", "t-2"})
    {
        deployment.add_target(
            name, "plain",
            [&, name, &late = repeats.emplace_back()](const io::http_request& request,
                                                      const scripted_target::reply& out)
            {
                late.send_due(out);
                const bool is_refused = draws(refused_share);
                if (!is_refused)
                    ++runs[std::string{request.headers.find("x-request-id")}];
                const auto text =
                    is_refused ? whole_answer(request, 503, "",
                                              common::concat(
                                                  "X-Not-Executed: 1\r\nAt-Server: ", name, "\r\n"))
                               : whole_answer(request, 200, name);
                out.write(text);
                if (draws(repeated_share))
                    late.plan(out, text);
            });
    }
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    std::map<std::string, std::shared_ptr<open_call>> open;
    for (int i = 0; i < calls; ++i)
    {
        const auto id = common::concat("r", i);
        open.emplace(id, deployment.begin(deployment.request("/act/x", id)));
        deployment.run_for(milliseconds{10});
    }
    int served = 0;
    for (const auto& [id, it] : open)
    {
        const auto& result = it->result;
        cr_assert(deployment.wait_until([&result] { return result.ended; }));
        const auto status = result.answer.status;
        const bool says_unrun = status == 503 || status == 429;
        cr_assert_leq(runs[id], 1, "%s: %d runs", id.c_str(), runs[id]);
        cr_assert(!says_unrun || runs[id] == 0, "%s: %d, but it has run", id.c_str(), status);
        served += status == 200 ? 1 : 0;
    }
    cr_assert_gt(served, calls / 10, "%d", served);
}
