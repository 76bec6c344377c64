#include "deployment.hpp"

#include "../../tests/stand_ins/target_answers.hpp"
#include "common/text.hpp"

#include <random>

/// One of three targets spoils part of its answers: a byte of the head is wrong, so that the field
/// with the signature is missing.
namespace kumquatgap::review
{

namespace
{

constexpr int targets = 3;
constexpr int slots = 6;
constexpr int deadline_ms = 1500;
constexpr int route_timeout_ms = 800;
constexpr milliseconds work_time{10};
constexpr milliseconds send_period{20};
constexpr milliseconds send_time{40'000};
constexpr milliseconds drain_time{2000};
/// The disruption lasts for this long, then pauses.
constexpr std::int64_t window_ms = 5000;
constexpr std::int64_t pause_ms = 250;
constexpr double spoiled_share = 0.03;
constexpr int first_success = 200;
constexpr int first_redirection = 300;

struct sent_request
{
    std::string id;
    int status = 0;
    bool has_signature = false;
    io::call_handle handle;
};

class spoiling_targets
{
public:
    spoiling_targets(small_deployment& deployment, bool has_trouble)
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
                {
                    m_deployment.record(
                        common::concat(id, " runs ", request.headers.find("x-request-id")));
                    m_timers.push_back(m_deployment.loop().after(
                        work_time,
                        [this, id, request, out, done, is_faulty]
                        {
                            out.write(make_answer(request, id, is_faulty));
                            done();
                        }));
                });
        }
    }

    int spoiled() const { return m_spoiled; }

private:
    bool spoils_next_answer()
    {
        const auto ms = (common::now() - m_started_at).count();
        const bool is_in_trouble = m_has_trouble && ms % (window_ms + pause_ms) < window_ms;
        return is_in_trouble && std::uniform_real_distribution<>{0, 1}(m_random) < spoiled_share;
    }

    std::string make_answer(const io::http_request& request, const std::string& id, bool is_faulty)
    {
        auto out = stand_ins::whole_answer(request, 200, "{}");
        if (!is_faulty || !spoils_next_answer())
            return out;
        ++m_spoiled;
        m_deployment.record(
            common::concat(id, " spoils the answer to ", request.headers.find("x-request-id")));
        constexpr std::string_view name = "X-Response-Signature";
        constexpr std::size_t wrong_byte = 5;
        out.at(out.find(name) + wrong_byte) = '~';
        return out;
    }

    small_deployment& m_deployment;
    bool m_has_trouble;
    common::timestamp m_started_at = common::now();
    std::mt19937 m_random{std::random_device{}()};
    std::list<io::timer_handle> m_timers;
    int m_spoiled = 0;
};

} // namespace

verdict answer_without_signature(const case_options& options)
{
    small_deployment deployment{options, 1};
    const spoiling_targets faulty{deployment, options.has_trouble};
    if (!deployment.start_serving(nlohmann::json::array(
            {make_route("/stock/", "safe", "order-desk", route_timeout_ms, 2),
             make_route("/orders/", "unsafe", "order-desk", route_timeout_ms, 1)})))
        return verdict::cannot_run;
    io::http_client client{deployment.loop()};
    std::list<sent_request> sent;
    const auto started_at = common::now();
    for (int n = 0; common::now() - started_at < send_time; ++n)
    {
        const bool is_safe = n % 2 == 0;
        auto& it = sent.emplace_back();
        it.id = common::concat(is_safe ? "stock-" : "order-", n);
        it.handle = client.send(
            deployment.address(0),
            is_safe ? small_deployment::make_request("GET", "/stock/1", it.id, deadline_ms)
                    : small_deployment::make_request("POST", "/orders/1", it.id, deadline_ms, "{}"),
            {.on_end = [&it](io::call_outcome how, const io::http_response& answer)
             {
                 it.status = how == io::call_outcome::complete ? answer.status : 0;
                 it.has_signature = !answer.headers.find("x-response-signature").empty();
             }});
        deployment.run_for(send_period);
    }
    deployment.run_for(drain_time);
    int without_signature = 0;
    int successes = 0;
    for (const auto& it : sent)
    {
        const bool is_success = it.status >= first_success && it.status < first_redirection;
        successes += is_success ? 1 : 0;
        without_signature += is_success && !it.has_signature ? 1 : 0;
        deployment.record(common::concat(it.id, " status ", it.status,
                                         is_success && !it.has_signature ? " NO SIGNATURE" : ""));
    }
    deployment.record(common::concat("sent ", sent.size(), " successes ", successes,
                                     " spoiled answers ", faulty.spoiled(),
                                     " successes without a signature ", without_signature));
    if (successes == 0)
        return verdict::cannot_run;
    return without_signature > 0 ? verdict::broken : verdict::held;
}

} // namespace kumquatgap::review
