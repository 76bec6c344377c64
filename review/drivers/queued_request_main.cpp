#include "deployment.hpp"

#include "common/text.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>

/// A gateway is stopped in order while requests that no runner has got wait in it for a slot.
namespace kumquatgap::review
{

using stand_ins::scripted_target;
using reply = scripted_target::reply;

namespace
{

constexpr int runners = 2;
constexpr int slots = 6;
constexpr int waiting = 3;
/// The requests that take all slots last longer than the grace period; those that wait are short.
constexpr milliseconds long_work{9500};
constexpr milliseconds short_work{50};
constexpr milliseconds deadline{15'000};
constexpr milliseconds queue_delay{500};
constexpr milliseconds term_delay{500};
constexpr milliseconds loss_slack{200};
constexpr milliseconds most{25'000};

class queued_request
{
public:
    queued_request(const std::string& binaries, const std::string& record_path)
        : m_record{record_path}, m_deployment{binaries, m_record, 2, false}
    {
    }

    int run_case()
    {
        for (int i = 0; i < runners; ++i)
        {
            m_runners.push_back(std::make_unique<scripted_target>(
                m_deployment.loop(), failures::free_address(),
                [this](const auto& request, const auto& out) { run(request, out); }));
            m_deployment.put_entry(common::concat("i-", i), "order-desk",
                                   m_runners.back()->address(), slots, 1);
        }
        auto it = base_configuration(1);
        it["routes"] = {route("/post/", "unsafe", "order-desk", 15'000, 12'000, 1)};
        it["services"] = {
            {{"name", "order-desk"}, {"healthPath", "/health"}, {"maxConnections", 110}}};
        m_deployment.store().put("op/config", it.dump());
        if (!m_deployment.wait_ready())
            return could_not_run;
        for (int i = 0; i < runners * slots; ++i)
            send(common::concat("r", i));
        m_deployment.run_for(queue_delay);
        for (int i = 0; i < waiting; ++i)
            send(common::concat("waits-", i));
        m_deployment.run_for(term_delay);
        if (has_trouble())
        {
            m_deployment.gateway(0).signal(SIGTERM);
            m_record.line("SIGTERM to gateway 0");
        }
        m_term_at = common::now();
        m_deployment.wait_until(
            [this] { return std::ranges::all_of(m_sent, [](const auto& s) { return s->ended; }); },
            most);
        return judge();
    }

private:
    void send(const std::string& id)
    {
        m_sent.push_back(m_deployment.send(0,
                                           {"POST",
                                            "/post/invoices",
                                            {},
                                            {{"Host", "desk.example"},
                                             {"X-Request-Id", id},
                                             {"X-Deadline-Ms", common::concat(deadline.count())},
                                             {"Authorization", "Bearer key-1"}},
                                            "{\"invoice\":\"" + id + "\"}"},
                                           [this](const open_request& it) { note_end(it); }));
        m_record.line("sent " + id);
    }

    void note_end(const open_request& it)
    {
        m_record.line(common::concat(
            it.status == 0 ? "channel closed without an answer: " : "answered: ", it.id,
            ", status ", it.status, ", end ", io::name_of(it.how)));
    }

    void run(const io::http_request& request, const reply& out)
    {
        if (request.path == "/health")
            return out.write(stand_ins::whole_answer(request, 200, "", "X-Instance-Id: i\r\n"));
        const std::string id{request.headers.find("x-request-id")};
        m_ran.push_back(id);
        m_record.line("run " + id);
        const auto time = id.starts_with("waits") ? short_work : long_work;
        m_deployment.after(time, [request, out]
                           { out.write(stand_ins::whole_answer(request, 200, "posted")); });
    }

    /// Judges the requests that were never passed on: the others may still have been at work.
    int judge()
    {
        int broken = 0;
        for (const auto& it : m_sent)
        {
            const bool has_answer =
                it->ended && it->status != 0 && it->how == io::call_outcome::complete;
            if (has_answer || std::ranges::find(m_ran, it->id) != m_ran.end())
                continue;
            const auto at = it->ended ? it->ended_at : common::now();
            if (at - it->sent_at <= loss_slack || at - it->sent_at >= deadline)
                continue;
            ++broken;
            m_record.line(common::concat("never passed on, and no answer: ", it->id, ", ",
                                         (at - it->sent_at).count(), " ms after it was sent and ",
                                         (at - m_term_at).count(), " ms after SIGTERM"));
        }
        m_record.line(common::concat("requests: ", m_sent.size(), ", lost: ", broken));
        return broken > 0 ? rule_broken : rule_held;
    }

    record m_record;
    deployment m_deployment;
    std::vector<std::unique_ptr<scripted_target>> m_runners;
    std::vector<request_ptr> m_sent;
    std::vector<std::string> m_ran;
    timestamp m_term_at;
};

} // namespace

} // namespace kumquatgap::review

int main(int argc, char** argv)
{
    using namespace kumquatgap::review;
    try
    {
        return queued_request{option(argc, argv, "bin"), option(argc, argv, "record")}.run_case();
    }
    catch (const std::exception& e)
    {
        std::fprintf(stderr, "%s\n", e.what());
        return could_not_run;
    }
}
