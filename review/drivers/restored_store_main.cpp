#include "deployment.hpp"

#include "common/text.hpp"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <set>

/// The store comes back from a copy that lacks the newest configuration, and the operator writes
/// that again some seconds later.
namespace kumquatgap::review
{

using stand_ins::scripted_target;

namespace
{

constexpr milliseconds copy_age{3000};
constexpr milliseconds away_time{1000};
constexpr milliseconds rewrite_delay{5000};
constexpr milliseconds beat_period{1200};
constexpr milliseconds probe_period{100};
constexpr milliseconds after_rewrite{2000};
constexpr milliseconds most_wait{5000};
constexpr std::string_view kept_key = "key-kept";
constexpr std::string_view revoked_key = "key-revoked";

class restored_store
{
public:
    restored_store(const std::string& binaries, const std::string& record_path)
        : m_record{record_path}, m_deployment{binaries, m_record, 2, false}
    {
    }

    int run_case()
    {
        scripted_target runner{m_deployment.loop(), failures::free_address(),
                               [this](const auto& request, const auto& out)
                               {
                                   m_ran.emplace(request.headers.find("x-request-id"));
                                   out.write(stand_ins::whole_answer(request, 200, "stock"));
                               }};
        m_deployment.put_entry("i-1", "order-desk", runner.address(), 6, 1);
        put_configuration(1);
        if (!m_deployment.wait_ready())
            return could_not_run;
        m_deployment.store().take_copy();
        m_record.line("a copy of the store is taken");
        put_configuration(2);
        m_deployment.run_for(copy_age);
        if (!has_seen_newest())
            return could_not_run;
        if (has_trouble())
        {
            m_deployment.store().set_mood(stand_ins::store_mood::refuses);
            m_record.line("the store is away");
            m_deployment.run_for(away_time);
            m_deployment.store().restore();
            m_deployment.store().set_mood(stand_ins::store_mood::serves);
            m_record.line("the store is back from the copy");
            m_deployment.every(beat_period, [this, address = runner.address()]
                               { m_deployment.put_entry("i-1", "order-desk", address, 6, 1); });
        }
        m_deployment.after(rewrite_delay, [this] { put_configuration(2); });
        for (const auto start = common::now();
             common::now() - start < rewrite_delay + after_rewrite;)
        {
            for (std::size_t i = 0; i < m_deployment.gateways(); ++i)
            {
                probe(i, revoked_key, "/stock/coils");
                probe(i, kept_key, "/prices/coils");
            }
            m_deployment.run_for(probe_period);
        }
        return judge();
    }

private:
    struct sent_probe
    {
        request_ptr request;
        bool has_revoked_key = false;
    };

    /// Version 2 adds a route and takes a key away.
    void put_configuration(int version)
    {
        auto it = base_configuration(version);
        const auto stock = route("/stock/", "safe", "order-desk", 800, 150, 2);
        const auto prices = route("/prices/", "safe", "order-desk", 800, 150, 2);
        it["routes"] = nlohmann::json::array({stock});
        nlohmann::json keys = {kept_key, revoked_key};
        if (version == 2)
        {
            it["routes"].push_back(prices);
            keys.erase(1);
        }
        it["services"] = {
            {{"name", "order-desk"}, {"healthPath", "/health"}, {"maxConnections", 110}}};
        it["tenants"] = {{{"name", "desk"}, {"apiKeys", keys}}};
        m_deployment.store().put("op/config", it.dump());
        m_record.line(common::concat("the operator writes version ", version));
    }

    request_ptr probe(std::size_t gateway, std::string_view key, const std::string& path)
    {
        const auto id = common::concat("r", ++m_requests);
        auto it = m_deployment.send(gateway, {"GET",
                                              path,
                                              {},
                                              {{"Host", "desk.example"},
                                               {"X-Request-Id", id},
                                               {"X-Deadline-Ms", "1500"},
                                               {"Authorization", common::concat("Bearer ", key)}},
                                              {}});
        m_probes.push_back({it, key == revoked_key});
        return it;
    }

    /// True when both gateways handle requests as version 2 has it, and the runner has seen that.
    bool has_seen_newest()
    {
        for (std::size_t i = 0; i < m_deployment.gateways(); ++i)
        {
            const auto revoked = probe(i, revoked_key, "/stock/coils");
            const auto added = probe(i, kept_key, "/prices/coils");
            m_deployment.wait_until([&] { return revoked->ended && added->ended; }, most_wait);
            if (revoked->status != 401 || !m_ran.contains(added->id))
                return false;
        }
        m_record.line("both gateways handle requests as version 2 has it");
        m_probes.clear();
        return true;
    }

    int judge()
    {
        int ran = 0;
        int refused = 0;
        for (const auto& it : m_probes)
        {
            const auto& r = *it.request;
            const bool is_stale = it.has_revoked_key ? m_ran.contains(r.id) : r.status == 404;
            if (!is_stale)
                continue;
            ++(it.has_revoked_key ? ran : refused);
            m_record.line(common::concat(it.has_revoked_key ? "ran with the revoked key: "
                                                            : "404 on the added route: ",
                                         r.id, ", answered ", r.status));
        }
        m_record.line(common::concat("requests: ", m_probes.size(), ", ran with the revoked key: ",
                                     ran, ", 404 on the added route: ", refused));
        return ran + refused > 0 ? rule_broken : rule_held;
    }

    record m_record;
    deployment m_deployment;
    std::set<std::string, std::less<>> m_ran;
    std::vector<sent_probe> m_probes;
    int m_requests = 0;
};

} // namespace

} // namespace kumquatgap::review

int main(int argc, char** argv)
{
    using namespace kumquatgap::review;
    try
    {
        return restored_store{option(argc, argv, "bin"), option(argc, argv, "record")}.run_case();
    }
    catch (const std::exception& e)
    {
        std::fprintf(stderr, "%s\n", e.what());
        return could_not_run;
    }
}
