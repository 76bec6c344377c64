#include "site.hpp"

#include "common/text.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// All open channels to the store go silent for good, without a reset, while new ones work. Then
/// the operator takes a tenant's key away.
namespace
{

using namespace kumquatgap;
using namespace kumquatgap::review;

/// `contactMs` and `configApplyMs` of a small deployment.
constexpr milliseconds contact_time{3000};
constexpr milliseconds config_apply_time{2000};
constexpr int gateways = 4;
constexpr int runners_of_desk = 3;
constexpr milliseconds calm_time{4000};
/// From the change of a runner's entry, after which each gateway polls the store anew.
constexpr milliseconds silent_after_change{100};
constexpr milliseconds change_after_silence{50};
constexpr milliseconds request_period{50};
constexpr milliseconds watched_time{7000};
/// For the way from this process to a gateway on a busy machine.
constexpr milliseconds margin{50};

class silent_channels_case
{
public:
    verdict run()
    {
        for (int i = 1; i <= runners_of_desk; ++i)
            m_site.add_runner(common::concat("desk-", i), "order-desk",
                              [this](const auto& request, const auto& out)
                              { serve(request, out); });
        auto c = site::config(1);
        m_site.put_config(c);
        if (!m_site.wait_ready())
            return verdict::could_not_run;
        m_site.run_for(calm_time);
        m_site.store().put("servers/pool-1",
                           site::entry("kumquat-pool", failures::free_address()).dump());
        m_site.record("runner: the entry of pool-1 changes");
        m_site.run_for(silent_after_change);
        const auto silent_at = m_site.elapsed();
        if (has_trouble())
            silence();
        m_site.run_for(change_after_silence);
        c["version"] = 2;
        c["tenants"][0]["apiKeys"] = {"key-3"};
        m_site.put_config(c);
        const auto confirmed_at = m_site.elapsed();
        send_requests(silent_at + watched_time);
        return judge(std::max(silent_at + contact_time, confirmed_at + config_apply_time) + margin);
    }

private:
    void serve(const io::http_request& request, const scripted_target::reply& out)
    {
        const std::string id{request.headers.find("x-request-id")};
        m_runs.insert(id);
        m_site.record(
            common::concat("runner: runs ", id, " for tenant ", request.headers.find("x-tenant")));
        out.write(stand_ins::whole_answer(request, 200, "reserved"));
    }

    void silence()
    {
        for (std::size_t i = 0; i < m_site.gateways(); ++i)
            m_site.store_relay(i).lose_open_connections();
        m_site.record("the open channels to the store go silent");
    }

    /// Sends requests with the key that is taken away.
    void send_requests(milliseconds end)
    {
        while (m_site.elapsed() < end)
        {
            for (std::size_t i = 0; i < m_site.gateways(); ++i)
            {
                const auto id = common::concat("r", m_calls.size() + 1);
                const auto at = m_site.elapsed();
                m_calls.emplace_back(at, m_site.send(site::request("/reserve/coil", id, "{}"), i));
            }
            m_site.run_for(request_period);
        }
        m_site.wait_until(
            [&] {
                return std::ranges::all_of(m_calls,
                                           [](const auto& it) { return it.second->ended; });
            });
    }

    verdict judge(milliseconds from)
    {
        milliseconds last{0};
        int stale = 0;
        for (const auto& [at, it] : m_calls)
        {
            if (!m_runs.contains(it->id))
                continue;
            last = std::max(last, at);
            stale += at > from ? 1 : 0;
        }
        m_site.record(common::concat("requests that are sent after ", from.count(),
                                     " ms must not run; ", stale, " did, the last one sent at ",
                                     last.count(), " ms"));
        return stale > 0 ? verdict::broken : verdict::held;
    }

    site m_site{{.gateways = gateways, .has_store_relays = true}};
    std::vector<std::pair<milliseconds, call_ptr>> m_calls;
    std::set<std::string> m_runs;
};

} // namespace

int main()
{
    return run_case([] { return silent_channels_case{}.run(); });
}
