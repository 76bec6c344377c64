#include "deployment.hpp"

#include "../../tests/stand_ins/target_answers.hpp"
#include "common/text.hpp"

#include <csignal>

/// Callers that stop reading for some seconds in the middle of an answer, on connections that they
/// keep: first in calm, then while the gateway shuts down.
namespace kumquatgap::review
{

namespace
{

constexpr int callers = 6;
constexpr int slots = 6;
constexpr int deadline_ms = 8000;
constexpr int route_timeout_ms = 8000;
constexpr std::size_t answer_bytes = 400'000;
/// What a caller reads before it pauses.
constexpr std::size_t first_bytes = 40'000;
constexpr milliseconds pause{5000};
constexpr milliseconds before_signal{200};
constexpr milliseconds read_limit{2000};
/// The rule allows this many in calm.
constexpr int allowed_in_calm = 3;
constexpr std::string_view large_path = "/stock/large";

struct caller
{
    explicit caller(const std::string& address) : connection{address} {}

    raw_connection connection;
    std::string id;
};

using caller_list = std::list<caller>;

bool has_whole_answer(const caller& it)
{
    const auto& text = it.connection.received();
    const auto end = text.find("\r\n\r\n");
    return end != std::string::npos && text.size() - end - 4 >= answer_bytes &&
           text.starts_with("HTTP/1.1 200");
}

/// Connects the callers and has a first request of each answered, so that its connection is a kept
/// one.
bool begin(small_deployment& deployment, const std::string& name, caller_list& out)
{
    for (int i = 0; i < callers; ++i)
    {
        auto& it = out.emplace_back(deployment.address(0));
        it.id = common::concat(name, "-", i);
        const auto first = small_deployment::make_request(
            "GET", "/stock/small", common::concat(it.id, "-first"), deadline_ms);
        if (!it.connection.send(to_bytes(first)))
            return false;
        const bool is_answered = deployment.wait_until(
            [&]
            {
                it.connection.read(answer_bytes);
                return it.connection.received().ends_with("small");
            },
            read_limit);
        if (!is_answered)
            return false;
        it.connection.forget_received();
    }
    return true;
}

/// Sends the large requests; the number of callers whose connection ended without a whole answer.
int lost_answers(small_deployment& deployment, caller_list& all, milliseconds pause_time,
                 bool shuts_down)
{
    for (auto& it : all)
    {
        it.connection.send(to_bytes(
            small_deployment::make_request("GET", std::string{large_path}, it.id, deadline_ms)));
        deployment.record(common::concat(it.id, " sent"));
    }
    deployment.run_for(before_signal);
    for (auto& it : all)
        it.connection.read(first_bytes);
    if (shuts_down)
    {
        deployment.record("SIGTERM");
        deployment.gateway(0).signal(SIGTERM);
    }
    deployment.run_for(pause_time);
    const auto has_ended = [&]
    {
        bool out = true;
        for (auto& it : all)
        {
            it.connection.read(answer_bytes);
            out = out && (it.connection.has_ended() || has_whole_answer(it));
        }
        return out;
    };
    deployment.wait_until(has_ended, read_limit);
    int lost = 0;
    for (const auto& it : all)
    {
        const bool is_whole = has_whole_answer(it);
        lost += is_whole ? 0 : 1;
        deployment.record(common::concat(it.id, is_whole ? " whole" : " cut", ", ",
                                         it.connection.received().size(), " bytes, ended ",
                                         it.connection.has_ended() ? 1 : 0, ", error ",
                                         it.connection.error()));
    }
    return lost;
}

} // namespace

verdict answer_read_slowly(const case_options& options)
{
    small_deployment deployment{options, 1};
    for (int i = 0; i < 3; ++i)
    {
        const auto id = common::concat("i-order-", i);
        deployment.add_target(
            id, "order-desk", slots,
            [&deployment, id](const io::http_request& request, const sequential_target::reply& out,
                              const std::function<void()>& done)
            {
                const bool is_large = request.path == large_path;
                deployment.record(
                    common::concat(id, " runs ", request.headers.find("x-request-id")));
                out.write(stand_ins::whole_answer(
                    request, 200, is_large ? std::string(answer_bytes, 'x') : "small"));
                done();
            });
    }
    if (!deployment.start_serving(nlohmann::json::array(
            {make_route("/stock/", "safe", "order-desk", route_timeout_ms, 2)})))
        return verdict::cannot_run;
    const auto pause_time = options.has_trouble ? pause : milliseconds{0};
    caller_list in_calm;
    caller_list in_shutdown;
    if (!begin(deployment, "calm", in_calm))
        return verdict::cannot_run;
    const auto lost_in_calm = lost_answers(deployment, in_calm, pause_time, false);
    if (!begin(deployment, "shutdown", in_shutdown))
        return verdict::cannot_run;
    const auto lost_in_shutdown = lost_answers(deployment, in_shutdown, pause_time, true);
    deployment.record(common::concat("lost in calm ", lost_in_calm, " of ", callers,
                                     ", around the shutdown ", lost_in_shutdown, " of ", callers));
    return lost_in_calm > allowed_in_calm || lost_in_shutdown > 0 ? verdict::broken : verdict::held;
}

} // namespace kumquatgap::review
