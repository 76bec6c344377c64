#include "gateway_deployment.hpp"

#include "common/settings.hpp"
#include "common/text.hpp"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <optional>
#include <utility>
#include <vector>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using common::milliseconds;
using stand_ins::scripted_target;

namespace
{

/// The time by which every gateway has to know of an evacuation.
constexpr milliseconds max_learning_time{5000};
/// The time that gateways take to hear of each other.
constexpr milliseconds acquaintance_time{1500};
constexpr std::string_view key_a = "op/evacuate/a";

scripted_target::script respond_with(const std::string& name)
{
    return [name](const io::http_request& request, const scripted_target::reply& out)
    { out.write(whole_answer(request, 200, name)); };
}

io::http_request next_request(gateway_deployment& deployment, const std::string& path = "/read/x")
{
    static int s_calls = 0;
    return deployment.request(path, common::concat("q", ++s_calls));
}

bool log_shows(gateway_deployment& deployment, const std::string& text, std::size_t i = 0)
{
    return deployment.wait_until([&] { return deployment.log(i).find(text) != std::string::npos; });
}

/// Targets t-a in data centre a and t-b in data centre b, known to all gateways.
struct two_data_centres
{
    explicit two_data_centres(int gateways = 1)
        : deployment{gateways, true}, a{deployment.add_target("t-a", "plain", respond_with("t-a"),
                                                              "a")},
          b{deployment.add_target("t-b", "plain", respond_with("t-b"), "b")}
    {
        auto config = deployment.config(1);
        // Waiting calls must not reach their deadlines while a busy machine delays the test.
        config["routes"][1]["timeoutMs"] = 5000;
        deployment.put_config(config);
        for (int i = 0; i < gateways; ++i)
            cr_assert(deployment.wait_ready(static_cast<std::size_t>(i)));
        if (gateways > 1)
            deployment.run_for(acquaintance_time);
    }

    void evacuate() { deployment.store().put(std::string{key_a}, "{}"); }

    /// Ten calls to the gateway reach t-b and none reaches t-a.
    void assert_avoids_a(std::size_t gateway = 0)
    {
        const auto before = a.requests().size();
        for (int i = 0; i < 10; ++i)
            cr_assert_eq(deployment.call(next_request(deployment), gateway).answer.body, "t-b");
        cr_assert_eq(a.requests().size(), before);
    }

    bool reaches_a(std::size_t gateway = 0)
    {
        return deployment.wait_until(
            [&]
            { return deployment.call(next_request(deployment), gateway).answer.body == "t-a"; });
    }

    gateway_deployment deployment;
    scripted_target& a;
    scripted_target& b;
};

std::vector<std::shared_ptr<open_call>> begin_calls(gateway_deployment& deployment)
{
    constexpr int count = 10;
    std::vector<std::shared_ptr<open_call>> out;
    out.reserve(count);
    for (int i = 0; i < count; ++i)
        out.push_back(deployment.begin(next_request(deployment)));
    return out;
}

void assert_all_answered(gateway_deployment& deployment,
                         const std::vector<std::shared_ptr<open_call>>& calls)
{
    for (const auto& it : calls)
    {
        cr_assert(deployment.wait_until([&] { return it->result.ended; }));
        cr_assert_eq(it->result.answer.status, 200);
    }
}

/// A script that leaves each request unanswered until the test answers it.
struct held_answers
{
    scripted_target::script script()
    {
        return [this](const io::http_request& request, const scripted_target::reply& out)
        { requests.emplace_back(request, out); };
    }
    void answer_all(const std::string& body)
    {
        for (const auto& [request, out] : requests)
            out.write(whole_answer(request, 200, body));
    }

    std::vector<std::pair<io::http_request, scripted_target::reply>> requests;
};

/// A socket that listens and takes no connection, since its backlog is full: connections to it
/// wait.
class full_listener
{
public:
    full_listener() : m_address{failures::free_address()}
    {
        const auto at = common::parse_address(m_address);
        m_socket_address.sin_family = AF_INET;
        m_socket_address.sin_port = htons(at.port);
        inet_pton(AF_INET, at.ip.c_str(), &m_socket_address.sin_addr);
        const auto* name = reinterpret_cast<const sockaddr*>(&m_socket_address);
        m_sockets.push_back(::socket(AF_INET, SOCK_STREAM, 0));
        cr_assert_eq(::bind(m_sockets.front(), name, sizeof m_socket_address), 0);
        cr_assert_eq(::listen(m_sockets.front(), 0), 0);
        // Linux takes one connection more than the backlog; the others only wait.
        for (int i = 0; i < 4; ++i)
        {
            m_sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            static_cast<void>(::connect(m_sockets.back(), name, sizeof m_socket_address));
        }
    }
    full_listener(const full_listener&) = delete;
    full_listener& operator=(const full_listener&) = delete;
    ~full_listener()
    {
        for (const int it : m_sockets)
            ::close(it);
    }

    const std::string& address() const { return m_address; }

private:
    std::string m_address;
    sockaddr_in m_socket_address{};
    std::vector<int> m_sockets;
};

} // namespace

/// A gateway that the store does not answer went on sending to the data centre.
Test(gateway_evacuation_failures, gateway_without_store_hears_of_it_from_peer)
{
    two_data_centres it{2};
    it.deployment.store_relay(1).set_mood(failures::relay_mood::holds);
    const auto start = common::now();
    it.evacuate();
    cr_assert(log_shows(it.deployment, "evacuation_begun data_centre=a", 1));
    cr_assert_lt((common::now() - start).count(), max_learning_time.count());
    cr_assert_neq(it.deployment.log(1).find("learnt_by=peer"), std::string::npos);
    it.assert_avoids_a(1);
}

/// A started gateway was ready before it knew of the evacuation.
Test(gateway_evacuation_failures, gateway_that_starts_meanwhile_knows_of_it)
{
    two_data_centres it;
    it.evacuate();
    cr_assert(log_shows(it.deployment, "evacuation_begun data_centre=a"));
    it.deployment.restart_gateway(0);
    cr_assert(it.deployment.wait_ready());
    it.assert_avoids_a();
}

/// An evacuation went on for ever in a gateway that did not see the removal of its key.
Test(gateway_evacuation_failures, missed_removal_of_key_ends_evacuation)
{
    two_data_centres it;
    it.evacuate();
    cr_assert(log_shows(it.deployment, "evacuation_begun data_centre=a"));
    it.deployment.store_relay(0).set_mood(failures::relay_mood::holds);
    it.deployment.store().remove(std::string{key_a});
    // The removal is no longer in the history, so the gateway has to read all keys.
    it.deployment.store().compact();
    it.deployment.run_for(milliseconds{1000});
    it.assert_avoids_a();
    it.deployment.store_relay(0).reset_open_connections();
    it.deployment.store_relay(0).set_mood(failures::relay_mood::forwards);
    cr_assert(log_shows(it.deployment, "evacuation_ended data_centre=a reason=removed"));
    cr_assert(it.reaches_a());
}

/// A store restored from a copy without the key ended the evacuation at once, or never.
Test(gateway_evacuation_failures, restored_store_without_key_ends_evacuation_after_grace)
{
    two_data_centres it;
    it.deployment.store().take_copy();
    it.evacuate();
    cr_assert(log_shows(it.deployment, "evacuation_begun data_centre=a"));
    it.deployment.store().restore();
    cr_assert(log_shows(it.deployment, "evacuation_lost data_centre=a"));
    const auto start = common::now();
    while (common::now() - start < milliseconds{4000})
        it.assert_avoids_a();
    cr_assert(log_shows(it.deployment, "evacuation_ended data_centre=a reason=not_written_again"));
    cr_assert(it.reaches_a());
}

/// The evacuation ended although the operator had written the key again in time.
Test(gateway_evacuation_failures, key_written_again_after_restore_keeps_evacuation)
{
    two_data_centres it;
    it.deployment.store().take_copy();
    it.evacuate();
    cr_assert(log_shows(it.deployment, "evacuation_begun data_centre=a"));
    it.deployment.store().restore();
    cr_assert(log_shows(it.deployment, "evacuation_lost data_centre=a"));
    it.evacuate();
    it.deployment.run_for(milliseconds{6000});
    it.assert_avoids_a();
    cr_assert_eq(it.deployment.log().find("evacuation_ended"), std::string::npos);
}

/// A paused gateway sent the calls that had come meanwhile before it read the store's changes.
Test(gateway_evacuation_failures, paused_gateway_reads_changes_before_it_sends)
{
    two_data_centres it;
    // On connections that are open already, the calls are read before the store's change.
    assert_all_answered(it.deployment, begin_calls(it.deployment));
    it.deployment.run_for(milliseconds{300});
    const auto before = it.a.requests().size();
    const auto before_b = it.b.requests().size();
    it.deployment.gateway().signal(SIGSTOP);
    const auto calls = begin_calls(it.deployment);
    it.deployment.run_for(milliseconds{50});
    it.evacuate();
    it.deployment.run_for(milliseconds{1500});
    it.deployment.gateway().signal(SIGCONT);
    assert_all_answered(it.deployment, calls);
    cr_assert_eq(it.a.requests().size(), before);
    cr_assert_eq(it.b.requests().size(), before_b + calls.size());
    cr_assert(log_shows(it.deployment, "process_was_paused"));
}

/// A call that a target had was cut off, or a waiting one stayed until its deadline.
Test(gateway_evacuation_failures, running_calls_complete_and_waiting_ones_are_refused)
{
    two_data_centres it;
    held_answers held;
    it.a.set_script(held.script());
    it.b.set_script(held.script());
    std::vector<std::shared_ptr<open_call>> running;
    running.reserve(4);
    // Each of the two targets has two slots.
    for (int i = 0; i < 4; ++i)
        running.push_back(it.deployment.begin(next_request(it.deployment, "/act/x")));
    cr_assert(it.deployment.wait_until([&] { return held.requests.size() == 4; }));
    const auto waiting = it.deployment.begin(next_request(it.deployment, "/act/x"));
    it.deployment.run_for(milliseconds{50});
    it.evacuate();
    it.deployment.store().put("op/evacuate/b", "{}");
    cr_assert(it.deployment.wait_until([&] { return waiting->result.ended; }));
    cr_assert_neq(waiting->result.answer.body.find("\"code\":2015"), std::string::npos);
    held.answer_all("done");
    for (const auto& call : running)
    {
        cr_assert(it.deployment.wait_until([&] { return call->result.ended; }));
        cr_assert_eq(call->result.answer.body, "done");
    }
    cr_assert_eq(held.requests.size(), 4);
}

/// A stream that is cut after the evacuation began was resumed in the evacuated data centre.
Test(gateway_evacuation_failures, cut_stream_is_resumed_in_other_data_centre)
{
    two_data_centres it;
    std::optional<scripted_target::reply> first;
    const auto begin = [&](const io::http_request& request, const scripted_target::reply& out)
    {
        out.write(stream_head(request) + stream_event(1) + stream_event(2));
        first = out;
    };
    const auto& e1 = it.deployment.add_target("e-a1", "engine", begin, "a");
    const auto& e2 = it.deployment.add_target("e-a2", "engine", begin, "a");
    const auto& e3 = it.deployment.add_target(
        "e-b", "engine",
        [](const io::http_request& request, const scripted_target::reply& out)
        { out.write(stream_head(request) + stream_event(3) + "0\r\n\r\n"); },
        "b");
    cr_assert(log_shows(it.deployment, "target_learnt target=e-b"));
    const auto stream = it.deployment.begin(next_request(it.deployment, "/draft/x"));
    cr_assert(it.deployment.wait_until([&] { return first.has_value(); }));
    it.evacuate();
    cr_assert(log_shows(it.deployment, "evacuation_begun data_centre=a"));
    first->reset();
    cr_assert(it.deployment.wait_until([&] { return stream->result.ended; }));
    cr_assert_eq(stream->so_far, events_text(1, 3));
    cr_assert_eq(e1.requests().size() + e2.requests().size(), 1);
    cr_assert_eq(e3.requests().size(), 1);
}

/// A call waited for the connection to an evacuated target, and would have been sent once it came.
Test(gateway_evacuation_failures, call_without_connection_is_taken_back)
{
    two_data_centres it;
    const full_listener full;
    it.deployment.put_entry("t-a", "plain", full.address());
    cr_assert(log_shows(it.deployment,
                        "target_learnt target=t-a service=plain address=" + full.address()));
    const auto is_taken_back = [&]
    { return it.deployment.log().find("unconnected_call_taken_back") != std::string::npos; };
    // A connection is given up after 0.7 s, which a busy machine may take for the evacuation.
    for (int i = 0; i < 5 && !is_taken_back(); ++i)
    {
        const auto call = it.deployment.begin(next_request(it.deployment));
        it.deployment.run_for(milliseconds{50});
        it.evacuate();
        cr_assert(it.deployment.wait_until([&] { return call->result.ended; }));
        cr_assert_eq(call->result.answer.body, "t-b");
        it.deployment.store().remove(std::string{key_a});
        it.deployment.run_for(milliseconds{500});
    }
    cr_assert(is_taken_back());
}

/// A health check was sent to find out whether a target in an evacuated data centre had crashed.
Test(gateway_evacuation_failures, evacuated_target_gets_no_health_check)
{
    two_data_centres it;
    std::optional<scripted_target::reply> first;
    auto& engine = it.deployment.add_target(
        "e-a", "engine",
        [&](const io::http_request& request, const scripted_target::reply& out)
        {
            out.write(stream_head(request));
            first = out;
        },
        "a");
    cr_assert(log_shows(it.deployment, "target_learnt target=e-a"));
    const auto stream = it.deployment.begin(next_request(it.deployment, "/draft/x"));
    cr_assert(it.deployment.wait_until([&] { return first.has_value(); }));
    it.evacuate();
    cr_assert(log_shows(it.deployment, "evacuation_begun data_centre=a"));
    first->reset();
    cr_assert(log_shows(it.deployment, "probe_omitted target=e-a"));
    cr_assert(it.deployment.wait_until([&] { return stream->result.ended; }));
    cr_assert_eq(engine.requests().size(), 1);
    cr_assert_eq(engine.connections_accepted(), 1);
}

/// The end of one evacuation ended another one, or a cancelled one went on.
Test(gateway_evacuation_failures, overlapping_evacuations_end_separately)
{
    two_data_centres it;
    it.evacuate();
    it.deployment.store().put("op/evacuate/b", "{}");
    cr_assert(log_shows(it.deployment, "evacuation_begun data_centre=b"));
    it.deployment.store().remove("op/evacuate/b");
    cr_assert(log_shows(it.deployment, "evacuation_ended data_centre=b"));
    it.assert_avoids_a();
    it.deployment.store().remove(std::string{key_a});
    cr_assert(it.reaches_a());
}
