#include "deployment.hpp"

#include "common/text.hpp"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <map>
#include <random>
#include <set>

/// One of three runners sends additional bytes after some of its answers: late, where the next
/// answer on the channel is expected.
namespace kumquatgap::review
{

using stand_ins::scripted_target;
using reply = scripted_target::reply;

namespace
{

constexpr std::size_t runners = 3;
constexpr int slots = 6;
constexpr milliseconds work_time{30};
constexpr milliseconds request_period{40};
constexpr milliseconds length{50'000};
constexpr milliseconds most_wait{3000};
/// The share of the faulty runner's answers that have additional bytes.
constexpr double faulty_share = 0.02;
/// The pages' answer to a request without an id, and not an answer to any request here.
constexpr std::string_view additional_bytes =
    "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

class extra_bytes
{
public:
    extra_bytes(const std::string& binaries, const std::string& record_path)
        : m_record{record_path}, m_deployment{binaries, m_record, 2, false}
    {
    }

    int run_case()
    {
        for (std::size_t i = 0; i < runners; ++i)
        {
            m_runners.push_back(std::make_unique<scripted_target>(
                m_deployment.loop(), failures::free_address(),
                [this, i](const auto& request, const auto& out) { run(i, request, out); }));
            m_deployment.put_entry(common::concat("i-", i), "order-desk",
                                   m_runners.back()->address(), slots, 1);
        }
        auto it = base_configuration(1);
        it["routes"] = {route("/reserve/", "unsafe", "order-desk", 800, 150, 1)};
        it["services"] = {
            {{"name", "order-desk"}, {"healthPath", "/health"}, {"maxConnections", 110}}};
        m_deployment.store().put("op/config", it.dump());
        if (!m_deployment.wait_ready())
            return could_not_run;
        for (const auto start = common::now(); common::now() - start < length;)
        {
            send();
            m_deployment.run_for(request_period);
        }
        const auto ended = [this]
        { return std::ranges::all_of(m_sent, [](const auto& s) { return s->ended; }); };
        return m_deployment.wait_until(ended, most_wait) ? judge() : could_not_run;
    }

private:
    void send()
    {
        const auto n = m_sent.size();
        const auto id = common::concat("r", n);
        m_sent.push_back(
            m_deployment.send(n % m_deployment.gateways(), {"POST",
                                                            "/reserve/coils",
                                                            {},
                                                            {{"Host", "desk.example"},
                                                             {"X-Request-Id", id},
                                                             {"X-Deadline-Ms", "1500"},
                                                             {"Authorization", "Bearer key-1"}},
                                                            "{\"reserve\":\"" + id + "\"}"}));
    }

    void run(std::size_t runner, const io::http_request& request, const reply& out)
    {
        if (request.path == "/health")
            return out.write(stand_ins::whole_answer(request, 200, "", "X-Instance-Id: i\r\n"));
        const std::string id{request.headers.find("x-request-id")};
        const auto channel = out.connection.lock().get();
        if (m_owes_bytes.erase(channel) > 0)
        {
            ++m_extras;
            m_record.line(common::concat("runner ", runner,
                                         " sends additional bytes before it answers ", id));
            out.write(additional_bytes);
        }
        m_runs[id].push_back(runner);
        m_deployment.after(work_time,
                           [this, runner, request, out, channel]
                           {
                               out.write(stand_ins::whole_answer(request, 200, "reserved"));
                               if (has_trouble() && runner == 0 && m_share(m_random) < faulty_share)
                                   m_owes_bytes.insert(channel);
                           });
    }

    int judge()
    {
        int twice = 0;
        int refused = 0;
        for (const auto& it : m_sent)
        {
            const auto found = m_runs.find(it->id);
            const auto runs = found == m_runs.end() ? 0 : found->second.size();
            const bool is_refused =
                it->status == 429 || it->status == 503 || it->status == 408 || it->status == 421;
            if (runs > 1)
            {
                ++twice;
                std::string text = common::concat("ran ", runs, " times: ", it->id, ", at runners");
                for (const auto runner : found->second)
                    text += common::concat(" ", runner);
                m_record.line(common::concat(text, ", answered ", it->status));
            }
            if (is_refused && runs > 0)
            {
                ++refused;
                m_record.line(common::concat("ran and was refused: ", it->id, ", ", it->status));
            }
        }
        m_record.line(common::concat("requests: ", m_sent.size(),
                                     ", with additional bytes: ", m_extras, ", ran twice: ", twice,
                                     ", ran and refused: ", refused));
        return twice > 0 ? rule_broken : rule_held;
    }

    record m_record;
    deployment m_deployment;
    std::mt19937 m_random{std::random_device{}()};
    std::uniform_real_distribution<double> m_share{0, 1};
    std::vector<std::unique_ptr<scripted_target>> m_runners;
    std::vector<request_ptr> m_sent;
    /// The runners that began to work on a request, by its id.
    std::map<std::string, std::vector<std::size_t>> m_runs;
    std::set<const void*> m_owes_bytes;
    int m_extras = 0;
};

} // namespace

} // namespace kumquatgap::review

int main(int argc, char** argv)
{
    using namespace kumquatgap::review;
    try
    {
        return extra_bytes{option(argc, argv, "bin"), option(argc, argv, "record")}.run_case();
    }
    catch (const std::exception& e)
    {
        std::fprintf(stderr, "%s\n", e.what());
        return could_not_run;
    }
}
