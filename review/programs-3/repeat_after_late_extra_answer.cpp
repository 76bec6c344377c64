#include "deployment.hpp"

#include "../../tests/stand_ins/target_answers.hpp"
#include "common/text.hpp"

#include <algorithm>
#include <random>

/// Unsafe requests at three targets. One of them refuses part of its requests and sends part of its
/// answers a second time, late: where the next answer of that connection is expected.
namespace kumquatgap::review
{

namespace
{

constexpr int gateways = 6;
constexpr int targets = 3;
constexpr int slots = 6;
constexpr int deadline_ms = 1500;
constexpr int route_timeout_ms = 800;
constexpr milliseconds work_time{30};
constexpr milliseconds send_period{60};
constexpr milliseconds send_time{100'000};
constexpr milliseconds drain_time{2500};
/// Both disruptions last for this long, then pause.
constexpr std::int64_t window_ms = 5000;
constexpr std::int64_t pause_ms = 250;
constexpr double refused_share = 0.4;
constexpr double repeated_share = 0.03;

struct sent_request
{
    std::string id;
    int status = 0;
    bool has_ended = false;
    io::call_handle handle;
};

class faulty_targets
{
public:
    faulty_targets(small_deployment& deployment, bool has_trouble)
        : m_deployment{deployment}, m_has_trouble{has_trouble}
    {
        for (int i = 0; i < targets; ++i)
        {
            const auto id = common::concat("i-order-", i);
            deployment.add_target(
                id, "order-desk", slots,
                [this, id, is_faulty = i == 0](const io::http_request& request,
                                               const sequential_target::reply& out,
                                               const std::function<void()>& done)
                { answer(request, out, done, id, is_faulty); });
        }
    }

    int runs_of(const std::string& id) const
    {
        const auto it = m_runs.find(id);
        return it == m_runs.end() ? 0 : it->second;
    }
    int refusals() const { return m_refusals; }
    int extra_answers() const { return m_extra_answers; }

private:
    using reply = sequential_target::reply;

    bool is_in_trouble() const
    {
        const auto ms = (common::now() - m_started_at).count();
        return m_has_trouble && ms % (window_ms + pause_ms) < window_ms;
    }

    bool draws(double share) { return std::uniform_real_distribution<>{0, 1}(m_random) < share; }

    void answer(const io::http_request& request, const reply& out,
                const std::function<void()>& done, const std::string& id, bool is_faulty)
    {
        const void* connection = out.connection.lock().get();
        if (const auto it = m_late.find(connection); it != m_late.end())
        {
            ++m_extra_answers;
            m_deployment.record(common::concat(id, " sends its last answer again"));
            out.write(it->second);
            m_late.erase(it);
        }
        const auto request_id = std::string{request.headers.find("x-request-id")};
        if (is_faulty && is_in_trouble() && draws(refused_share))
        {
            ++m_refusals;
            m_deployment.record(common::concat(id, " refuses ", request_id));
            write(request, out, 503, common::concat("X-Not-Executed: 1\r\nAt-Server: ", id, "\r\n"),
                  is_faulty);
            return done();
        }
        ++m_runs[request_id];
        m_deployment.record(common::concat(id, " runs ", request_id));
        m_timers.push_back(m_deployment.loop().after(work_time,
                                                     [this, request, out, done, is_faulty]
                                                     {
                                                         write(request, out, 200, "", is_faulty);
                                                         done();
                                                     }));
    }

    void write(const io::http_request& request, const reply& out, int status,
               const std::string& fields, bool is_faulty)
    {
        const auto text = stand_ins::whole_answer(request, status, "{}", fields);
        out.write(text);
        if (is_faulty && is_in_trouble() && draws(repeated_share))
            m_late.insert_or_assign(out.connection.lock().get(), text);
    }

    small_deployment& m_deployment;
    bool m_has_trouble;
    common::timestamp m_started_at = common::now();
    std::mt19937 m_random{std::random_device{}()};
    std::map<std::string, int> m_runs;
    std::map<const void*, std::string> m_late;
    std::list<io::timer_handle> m_timers;
    int m_refusals = 0;
    int m_extra_answers = 0;
};

} // namespace

verdict repeat_after_late_extra_answer(const case_options& options)
{
    small_deployment deployment{options, gateways};
    faulty_targets faulty{deployment, options.has_trouble};
    if (!deployment.start_serving(nlohmann::json::array(
            {make_route("/orders/", "unsafe", "order-desk", route_timeout_ms, 1)})))
        return verdict::cannot_run;
    io::http_client client{deployment.loop()};
    std::list<sent_request> sent;
    const auto started_at = common::now();
    for (int n = 0; common::now() - started_at < send_time; ++n)
    {
        for (std::size_t i = 0; i < deployment.size(); ++i)
        {
            auto& it = sent.emplace_back();
            it.id = common::concat("r-", n, "-", i);
            it.handle = client.send(
                deployment.address(i),
                small_deployment::make_request("POST", "/orders/1", it.id, deadline_ms, "{}"),
                {.on_end = [&it](io::call_outcome /*how*/, const io::http_response& answer)
                 {
                     it.has_ended = true;
                     it.status = answer.status;
                 }});
        }
        deployment.run_for(send_period);
    }
    deployment.run_for(drain_time);
    int twice = 0;
    int refused_and_run = 0;
    for (const auto& it : sent)
    {
        const auto runs = faulty.runs_of(it.id);
        const bool is_promise = it.status == 503 || it.status == 429;
        twice += runs > 1 ? 1 : 0;
        refused_and_run += is_promise && runs > 0 ? 1 : 0;
        deployment.record(common::concat(it.id, " status ", it.status, " runs ", runs,
                                         runs > 1 ? " TWICE" : "",
                                         is_promise && runs > 0 ? " REFUSED" : ""));
    }
    deployment.record(common::concat("sent ", sent.size(), " refused by the target ",
                                     faulty.refusals(), " extra answers ", faulty.extra_answers(),
                                     " run twice ", twice, " refused and run ", refused_and_run));
    const bool is_served =
        std::ranges::any_of(sent, [](const auto& it) { return it.status == 200; });
    if (!is_served)
        return verdict::cannot_run;
    return twice > 0 ? verdict::broken : verdict::held;
}

} // namespace kumquatgap::review
