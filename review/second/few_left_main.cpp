#include "site.hpp"

#include "common/text.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// All but two of 24 gateways are lost at once, and then the operator takes a tenant's key away.
/// The two that are left did not watch the store themselves before.
namespace
{

using namespace kumquatgap;
using namespace kumquatgap::review;

/// `configApplyMs` of the deployment.
constexpr milliseconds config_apply_time{3000};
constexpr int gateways = 24;
constexpr std::size_t gateways_left = 2;
constexpr int runners_of_desk = 3;
/// Longer than `contactMs` (4,000 ms), so that the gateways that are left are in touch.
constexpr milliseconds calm_time{12'000};
/// Longer than a watch call of a gateway waits.
constexpr milliseconds count_time{4000};
constexpr milliseconds change_after_loss{300};
constexpr milliseconds request_period{100};
constexpr milliseconds watched_time{18'000};
/// For the way from this process to a gateway on a busy machine.
constexpr milliseconds margin{100};

class few_left_case
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
        const auto left = not_watching();
        if (left.size() < gateways_left)
            return verdict::could_not_run;
        if (has_trouble())
            kill_all_but(left);
        m_site.run_for(change_after_loss);
        c["version"] = 2;
        c["tenants"][0]["apiKeys"] = {"key-3"};
        m_site.put_config(c);
        const auto confirmed_at = m_site.elapsed();
        send_requests(left, confirmed_at + watched_time);
        return judge(confirmed_at);
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

    /// The number of watch calls that a gateway has made, by its metrics.
    std::string watch_calls(std::size_t i)
    {
        const auto text = m_site.metrics(i);
        const auto at = text.find("kqg_store_calls{kind=\"watch\"}");
        return at == std::string::npos ? "" : text.substr(at, text.find('\n', at) - at);
    }

    /// Two gateways that make no watch calls.
    std::vector<std::size_t> not_watching()
    {
        std::vector<std::string> before;
        for (std::size_t i = 0; i < m_site.gateways(); ++i)
            before.push_back(watch_calls(i));
        m_site.run_for(count_time);
        std::vector<std::size_t> out;
        for (std::size_t i = 0; i < m_site.gateways(); ++i)
        {
            if (watch_calls(i) == before[i])
                out.push_back(i);
        }
        m_site.record(common::concat(out.size(), " of ", m_site.gateways(),
                                     " gateways don't watch the store"));
        out.resize(std::min(out.size(), gateways_left));
        return out;
    }

    void kill_all_but(const std::vector<std::size_t>& left)
    {
        for (std::size_t i = 0; i < m_site.gateways(); ++i)
        {
            if (std::ranges::find(left, i) == left.end())
                m_site.gateway(i).kill();
        }
        m_site.record(common::concat("all gateways but ", m_site.name(left.front()), " and ",
                                     m_site.name(left.back()), " are killed"));
    }

    /// Sends requests with the key that is taken away.
    void send_requests(const std::vector<std::size_t>& to, milliseconds end)
    {
        while (m_site.elapsed() < end)
        {
            for (const auto i : to)
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

    verdict judge(milliseconds confirmed_at)
    {
        milliseconds last{0};
        int stale = 0;
        for (const auto& [at, it] : m_calls)
        {
            if (!m_runs.contains(it->id))
                continue;
            last = std::max(last, at);
            stale += at > confirmed_at + config_apply_time + margin ? 1 : 0;
        }
        m_site.record(common::concat("the key was taken away at ", confirmed_at.count(), " ms; ",
                                     stale, " requests that were sent more than ",
                                     config_apply_time.count(),
                                     " ms later ran, the last one sent at ", last.count(), " ms"));
        return stale > 0 ? verdict::broken : verdict::held;
    }

    site m_site{{.gateways = gateways}};
    std::vector<std::pair<milliseconds, call_ptr>> m_calls;
    std::set<std::string> m_runs;
};

} // namespace

int main()
{
    return run_case([] { return few_left_case{}.run(); });
}
