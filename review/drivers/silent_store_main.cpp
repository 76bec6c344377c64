#include "deployment.hpp"

#include "common/text.hpp"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <random>

/// The open channels of two gateways to the store go silent, and a configuration that takes a key
/// away is confirmed a second later.
namespace kumquatgap::review
{

using stand_ins::scripted_target;

namespace
{

constexpr int rounds = 11;
constexpr milliseconds change_delay{1050};
/// Requests are judged from this long after the bound on.
constexpr milliseconds margin{50};
constexpr milliseconds probe_period{50};
constexpr milliseconds probe_time{1500};
constexpr milliseconds quiet_time{3200};

class silent_store
{
public:
    silent_store(const std::string& binaries, const std::string& record_path)
        : m_record{record_path}, m_deployment{binaries, m_record, 2, true}
    {
    }

    int run()
    {
        scripted_target runner{m_deployment.loop(), failures::free_address(),
                               [this](const auto& request, const auto& out)
                               {
                                   m_ran.emplace_back(request.headers.find("x-request-id"));
                                   out.write(stand_ins::whole_answer(request, 200, "stock"));
                               }};
        m_deployment.put_entry("i-1", "order-desk", runner.address(), 6, 1);
        put_configuration(1);
        if (!m_deployment.wait_ready())
            return could_not_run;
        for (int round = 1; round <= rounds; ++round)
        {
            if (!play(round))
                return could_not_run;
        }
        m_record.line(common::concat("requests with a key that was gone: ", m_judged,
                                     ", run: ", m_broken, ", in ", m_broken_rounds, " of ", rounds,
                                     " rounds"));
        return m_broken > 0 ? rule_broken : rule_held;
    }

private:
    static std::string key_of(int version) { return common::concat("key-", version); }

    void put_configuration(int version)
    {
        auto it = base_configuration(version);
        it["routes"] = {route("/stock/", "safe", "order-desk", 800, 150, 2)};
        it["services"] = {
            {{"name", "order-desk"}, {"healthPath", "/health"}, {"maxConnections", 110}}};
        it["tenants"] = {{{"name", "desk"}, {"apiKeys", {"key-of-all", key_of(version)}}}};
        m_deployment.store().put("op/config", it.dump());
        m_record.line(common::concat("version ", version, " is confirmed; keys: key-of-all, ",
                                     key_of(version)));
    }

    request_ptr probe(std::size_t gateway, const std::string& key)
    {
        const auto id = common::concat("r", ++m_requests);
        return m_deployment.send(gateway, {"GET",
                                           "/stock/coils",
                                           {},
                                           {{"Host", "desk.example"},
                                            {"X-Request-Id", id},
                                            {"X-Deadline-Ms", "1500"},
                                            {"Authorization", "Bearer " + key}},
                                           {}});
    }

    /// True when both gateways take the key of a version.
    bool know(int version)
    {
        return std::ranges::all_of(std::vector<std::size_t>{0, 1},
                                   [&](std::size_t i)
                                   {
                                       const auto it = probe(i, key_of(version));
                                       m_deployment.wait_until([&] { return it->ended; },
                                                               milliseconds{3000});
                                       return it->status == 200;
                                   });
    }

    bool play(int version)
    {
        if (!m_deployment.wait_until([&] { return know(version); }, milliseconds{8000}))
            return false;
        m_deployment.run_for(quiet_time + milliseconds{m_phase(m_random)});
        const auto silent_at = common::now();
        if (has_trouble())
        {
            for (std::size_t i = 0; i < m_deployment.gateways(); ++i)
                m_deployment.store_relay(i).lose_open_connections();
            m_record.line("the open channels to the store go silent");
        }
        m_deployment.run_for(change_delay);
        put_configuration(version + 1);
        const auto judged_from =
            std::max(silent_at + contact_time, common::now() + config_apply_time) + margin;
        m_deployment.run_for(judged_from - common::now());
        return judge(version);
    }

    /// Sends requests with the key that is gone.
    bool judge(int version)
    {
        std::vector<request_ptr> sent;
        const auto start = common::now();
        while (common::now() - start < probe_time)
        {
            for (std::size_t i = 0; i < m_deployment.gateways(); ++i)
                sent.push_back(probe(i, key_of(version)));
            m_deployment.run_for(probe_period);
        }
        const auto ended = [&]
        { return std::ranges::all_of(sent, [](const auto& it) { return it->ended; }); };
        if (!m_deployment.wait_until(ended, milliseconds{3000}))
            return false;
        int broken = 0;
        for (const auto& it : sent)
        {
            ++m_judged;
            if (std::ranges::find(m_ran, it->id) == m_ran.end())
                continue;
            ++broken;
            m_record.line(common::concat("ran with ", key_of(version), ": ", it->id, ", sent ",
                                         (it->sent_at - start + margin).count(),
                                         " ms after the bound, answered ", it->status));
        }
        m_broken += broken;
        m_broken_rounds += broken > 0 ? 1 : 0;
        m_record.line(
            common::concat("round ", version, ": ", sent.size(), " sent, ", broken, " run"));
        return true;
    }

    record m_record;
    deployment m_deployment;
    std::mt19937 m_random{std::random_device{}()};
    std::uniform_int_distribution<int> m_phase{0, 2500};
    std::vector<std::string> m_ran;
    int m_requests = 0;
    int m_judged = 0;
    int m_broken = 0;
    int m_broken_rounds = 0;
};

} // namespace

} // namespace kumquatgap::review

int main(int argc, char** argv)
{
    using namespace kumquatgap::review;
    try
    {
        return silent_store{option(argc, argv, "bin"), option(argc, argv, "record")}.run();
    }
    catch (const std::exception& e)
    {
        std::fprintf(stderr, "%s\n", e.what());
        return could_not_run;
    }
}
