#include "deployment.hpp"

#include "common/text.hpp"
#include "io/http_codec.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <list>

/// Two runners whose slots are all taken; one preempts its newest stream for 1.5 s while its
/// gateway is stopped in order.
namespace kumquatgap::review
{

using stand_ins::scripted_target;
using reply = scripted_target::reply;

namespace
{

constexpr int slots = 12;
constexpr int events = 60;
constexpr milliseconds event_gap{100};
constexpr milliseconds first_event_delay{90};
constexpr milliseconds preemption_delay{1000};
constexpr milliseconds preemption_time{1500};
constexpr milliseconds term_delay{500};
constexpr milliseconds most{12'000};

/// A stream at a runner.
struct run
{
    std::string id;
    std::size_t runner = 0;
    reply out;
    int next = 1;
    timestamp paused_until;
    bool ended = false;
};

class preempted_stream
{
public:
    preempted_stream(const std::string& binaries, const std::string& record_path)
        : m_record{record_path}, m_deployment{binaries, m_record, 2, false}
    {
    }

    int run_case()
    {
        for (std::size_t i = 0; i < 2; ++i)
        {
            m_runners.push_back(std::make_unique<scripted_target>(
                m_deployment.loop(), failures::free_address(),
                [this, i](const auto& request, const auto& out) { begin(i, request, out); }));
            m_deployment.put_entry(common::concat("i-", i), "kumquat-pool",
                                   m_runners.back()->address(), slots, 1);
        }
        auto it = base_configuration(1);
        it["routes"] = {route("/quote/", "streaming", "kumquat-pool", 8000, 500, 2)};
        it["services"] = {{{"name", "kumquat-pool"},
                           {"healthPath", "/health"},
                           {"maxConnections", 258},
                           {"engine", group_engine(slots)}}};
        m_deployment.store().put("op/config", it.dump());
        if (!m_deployment.wait_ready())
            return could_not_run;
        m_deployment.every(event_gap, [this] { send_events(); });
        for (int i = 0; i < 2 * slots; ++i)
            send(common::concat("r", i));
        m_deployment.run_for(term_delay);
        m_term_at = common::now();
        m_deployment.gateway(0).signal(SIGTERM);
        m_record.line("SIGTERM to gateway 0");
        m_deployment.run_for(preemption_delay - term_delay);
        if (has_trouble())
            preempt();
        m_deployment.wait_until(
            [this] { return std::ranges::all_of(m_sent, [](const auto& s) { return s->ended; }); },
            most);
        return judge();
    }

private:
    void send(const std::string& id)
    {
        m_sent.push_back(m_deployment.send(
            0,
            {"POST",
             "/quote/draft",
             {},
             {{"Host", "desk.example"},
              {"X-Request-Id", id},
              {"X-Deadline-Ms", "8000"},
              {"X-Model", "m"},
              {"X-Token-Usage", "714,240"},
              {"X-Prompt-Prefix", common::concat("5c1e07a2:40,", 1000 + m_sent.size(), "b:674")},
              {"Authorization", "Bearer key-1"}},
             "{\"quote\":\"" + id + "\"}"},
            [this](const open_request& it)
            {
                m_record.line(
                    common::concat("answered ", it.id, ": status ", it.status, ", ",
                                   it.how == io::call_outcome::complete ? "complete" : "cut",
                                   " after ", std::ranges::count(it.body, '\n') / 3, " events"));
            }));
        m_record.line("sent " + id);
    }

    void begin(std::size_t runner, const io::http_request& request, const reply& out)
    {
        if (request.path == "/health")
            return out.write(stand_ins::whole_answer(request, 200, "", "X-Instance-Id: i\r\n"));
        m_runs.push_back({std::string{request.headers.find("x-request-id")}, runner, out, 1,
                          common::now() + first_event_delay, false});
        auto& it = m_runs.back();
        int seen = 0;
        if (common::parse_number(request.headers.find("last-event-id"), seen))
            it.next = seen + 1;
        m_record.line(
            common::concat("run ", it.id, " at runner ", runner, " from event ", it.next));
        m_deployment.after(first_event_delay, [&it, request]
                           { it.out.write(stand_ins::stream_head(request) + next_event(it)); });
    }

    static std::string next_event(run& it) { return stand_ins::stream_event(it.next++); }

    void send_events()
    {
        for (auto& it : m_runs)
        {
            if (it.ended || common::now() < it.paused_until)
                continue;
            if (!it.out.is_open())
            {
                it.ended = true;
                m_record.line(common::concat("run ", it.id, " at runner ", it.runner,
                                             ": its channel was closed after event ", it.next - 1));
                continue;
            }
            it.out.write(next_event(it));
            if (it.next <= events)
                continue;
            it.out.write(io::last_chunk);
            it.ended = true;
            m_record.line(common::concat("run ", it.id, " at runner ", it.runner, ": complete"));
        }
    }

    /// Stops the newest stream of the first runner for a time; it is read again.
    void preempt()
    {
        const auto newest = std::find_if(m_runs.rbegin(), m_runs.rend(),
                                         [](const auto& it) { return it.runner == 0; });
        newest->paused_until = common::now() + preemption_time;
        m_record.line(common::concat("runner 0 preempts ", newest->id, " for ",
                                     preemption_time.count(), " ms after event ",
                                     newest->next - 1));
    }

    int judge()
    {
        int broken = 0;
        for (const auto& it : m_sent)
        {
            // Within the grace period, before the deadline, and no runner broke off.
            const bool is_whole =
                it->ended && it->how == io::call_outcome::complete && it->status == 200;
            if (is_whole)
                continue;
            ++broken;
            const auto at = it->ended ? it->ended_at : common::now();
            m_record.line(common::concat("no complete answer to ", it->id, ": ended ",
                                         (at - it->sent_at).count(), " ms after it was sent and ",
                                         (at - m_term_at).count(), " ms after SIGTERM"));
        }
        m_record.line(common::concat("requests: ", m_sent.size(), ", cut: ", broken));
        return broken > 0 ? rule_broken : rule_held;
    }

    record m_record;
    deployment m_deployment;
    std::vector<std::unique_ptr<scripted_target>> m_runners;
    std::list<run> m_runs;
    std::vector<request_ptr> m_sent;
    timestamp m_term_at;
};

} // namespace

} // namespace kumquatgap::review

int main(int argc, char** argv)
{
    using namespace kumquatgap::review;
    try
    {
        return preempted_stream{option(argc, argv, "bin"), option(argc, argv, "record")}.run_case();
    }
    catch (const std::exception& e)
    {
        std::fprintf(stderr, "%s\n", e.what());
        return could_not_run;
    }
}
