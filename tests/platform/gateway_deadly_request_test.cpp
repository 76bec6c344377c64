#include "gateway_deployment.hpp"

#include "common/text.hpp"
#include "io/http_codec.hpp"

#include <criterion/criterion.h>

#include <algorithm>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;

namespace
{

using reply = scripted_target::reply;
constexpr std::string_view deadly_body = "{\"deadly\":1}";
constexpr int last_event = 3;
/// The crashes after which at most three more requests may reach targets.
constexpr int max_crashes = 3;
/// Gateways hear from each other within this time; the rule allows 3 s.
constexpr common::milliseconds pause_between_repeats{100};

/// When the targets of the tests write the head of a stream.
enum class head_time : std::uint8_t
{
    at_once,
    with_first_event
};

/// Targets that end when they begin to run a request with the deadly body.
class fragile_targets
{
public:
    /// With `is_group`, the targets of the service `engine` are ranks of a group.
    explicit fragile_targets(bool is_group = false, head_time heads = head_time::at_once)
        : m_deployment{2}, m_heads{heads}
    {
        constexpr int targets = 8;
        for (const auto* service : {"plain", "engine"})
        {
            for (int i = 0; i < targets; ++i)
                add_target(common::concat(service, "-", i), service);
        }
        auto config = m_deployment.config(5);
        if (is_group)
            config["services"][1]["engine"] = {
                {"slots", 4}, {"sets", 1}, {"experts", 16}, {"placements", 8}, {"spare", 3}};
        m_deployment.put_config(config);
        cr_assert(m_deployment.wait_ready(0) && m_deployment.wait_ready(1));
    }

    gateway_deployment& deployment() { return m_deployment; }

    /// The same request as before but for its id, at one gateway and then at the other.
    outcome call_deadly(const std::string& path)
    {
        m_deployment.run_for(pause_between_repeats);
        ++m_calls;
        return call(path, std::string{deadly_body}, m_calls % 2);
    }

    outcome call_sound(const std::string& path, std::size_t gateway = 0)
    {
        ++m_calls;
        return call(path, common::concat("{\"n\":", m_calls, "}"), gateway);
    }

    std::ptrdiff_t crashed() const
    {
        return std::ranges::count_if(m_targets, [](const auto* it) { return it->has_crashed(); });
    }

    /// Ends the target of the next request, whatever that is.
    void crash_at_next_request() { m_crashes_next = true; }

private:
    void add_target(const std::string& id, const std::string& service)
    {
        const auto index = m_targets.size();
        m_targets.push_back(
            &m_deployment.add_target(id, service,
                                     [this, index](const io::http_request& it, const reply& out)
                                     { answer(index, it, out); }));
    }

    outcome call(const std::string& path, const std::string& body, std::size_t gateway)
    {
        auto it = m_deployment.request(path, common::concat("r", m_calls), body);
        if (path.starts_with("/draft/"))
            it.headers.add("X-Prompt-Prefix", common::concat("aa01:40,", m_calls, "f:30"));
        return m_deployment.call(it, gateway);
    }

    void answer(std::size_t index, const io::http_request& request, const reply& out)
    {
        const bool is_stream = request.path.starts_with("/draft/");
        if (is_stream && m_heads == head_time::at_once)
            out.write(stream_head(request));
        if (request.body == deadly_body || std::exchange(m_crashes_next, false))
            return m_targets[index]->crash();
        if (!is_stream)
            return out.write(whole_answer(request, 200, "done"));
        if (m_heads == head_time::with_first_event)
            out.write(stream_head(request));
        for (int i = 1; i <= last_event; ++i)
            out.write(stream_event(i));
        out.write(io::last_chunk);
    }

    gateway_deployment m_deployment;
    head_time m_heads;
    std::vector<scripted_target*> m_targets;
    int m_calls = 0;
    bool m_crashes_next = false;
};

void check_deadly_request(const std::string& path, bool is_group,
                          head_time heads = head_time::at_once)
{
    fragile_targets targets{is_group, heads};
    cr_assert_eq(targets.call_sound(path).answer.status, 200);
    constexpr int repeats = 10;
    for (int i = 0; i < repeats; ++i)
        targets.call_deadly(path);
    cr_assert_leq(targets.crashed(), max_crashes);
    for (std::size_t i = 0; i < 2; ++i)
        cr_assert_eq(targets.call_sound(path, i).answer.status, 200);
    const auto since = common::now() + pause_between_repeats;
    const auto refused = targets.call_deadly(path);
    cr_assert_eq(refused.answer.status, 503);
    cr_assert(!refused.field("retry-after").empty());
    cr_assert_lt((common::now() - since).count(), 500);
}

} // namespace

/// A call that may run again was sent from target to target, and so was each repeat.
Test(gateway_deadly_request, idempotent_request_reaches_few_targets)
{
    check_deadly_request("/read/x", false);
}

Test(gateway_deadly_request, request_that_runs_once_reaches_few_targets)
{
    check_deadly_request("/act/x", false);
}

Test(gateway_deadly_request, stream_reaches_few_targets)
{
    check_deadly_request("/draft/x", false);
}

/// In a group, each further crash takes all of its ranks out of service.
Test(gateway_deadly_request, stream_of_a_group_crashes_one_rank)
{
    fragile_targets targets{true};
    cr_assert_eq(targets.call_sound("/draft/x").answer.status, 200);
    constexpr int repeats = 6;
    for (int i = 0; i < repeats; ++i)
        targets.call_deadly("/draft/x");
    cr_assert_eq(targets.crashed(), 1);
    cr_assert_eq(targets.call_sound("/draft/x").answer.status, 200);
}

/// Guards against a request that crashed rank after rank of a group, since a loss before the
/// response head was no evidence there.
Test(gateway_deadly_request, stream_of_a_group_without_heads_reaches_few_targets)
{
    check_deadly_request("/draft/x", true, head_time::with_first_event);
}

Test(gateway_deadly_request, restarted_gateway_knows_the_request)
{
    fragile_targets targets;
    constexpr int repeats = 6;
    for (int i = 0; i < repeats; ++i)
        targets.call_deadly("/act/x");
    const auto before = targets.crashed();
    auto& deployment = targets.deployment();
    cr_assert(deployment.wait_until(
        [&] { return deployment.log(0).find("quarantine_stored") != std::string::npos; }));
    deployment.restart_gateway(0);
    deployment.restart_gateway(1);
    cr_assert(deployment.wait_ready(0) && deployment.wait_ready(1));
    for (int i = 0; i < repeats; ++i)
        cr_assert_eq(targets.call_deadly("/act/x").answer.status, 503);
    cr_assert_eq(targets.crashed(), before);
}

/// Two lost connections of one request were taken for crashes until 5 s later, while the targets
/// only did not answer their health checks.
Test(gateway_deadly_request, request_is_served_when_its_targets_prove_to_be_there)
{
    gateway_deployment deployment;
    int resets = 0;
    for (const auto* id : {"t-0", "t-1"})
        deployment.add_target(id, "plain",
                              [&](const io::http_request& request, const reply& out)
                              {
                                  constexpr int lost = 2;
                                  if (request.path == "/health")
                                      return;
                                  if (resets < lost)
                                  {
                                      ++resets;
                                      return out.reset();
                                  }
                                  out.write(whole_answer(request, 200, "done"));
                              });
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    cr_assert_neq(deployment.call(deployment.request("/read/x", "r1")).answer.status, 200);
    cr_assert_eq(deployment.call(deployment.request("/read/x", "r2")).answer.status, 200);
}

/// A request that met a crash by accident is served elsewhere, and may be sent again.
Test(gateway_deadly_request, request_that_met_one_crash_is_served)
{
    fragile_targets targets;
    targets.crash_at_next_request();
    cr_assert_eq(targets.call_sound("/read/x").answer.status, 200);
    targets.crash_at_next_request();
    cr_assert_eq(targets.call_sound("/draft/x").answer.status, 200);
    cr_assert_eq(targets.crashed(), 2);
}

/// The same in a group whose ranks write no head before the first event.
Test(gateway_deadly_request, request_without_head_that_met_one_crash_of_a_group_is_served)
{
    fragile_targets targets{true, head_time::with_first_event};
    targets.crash_at_next_request();
    cr_assert_eq(targets.call_sound("/draft/x").answer.status, 200);
    cr_assert_eq(targets.crashed(), 1);
}
