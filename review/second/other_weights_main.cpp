#include "site.hpp"

#include "common/text.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

/// Some requests carry X-Expect-Version for weights that the runners no longer have; the runners
/// answer these with 421, as the protocol says. All other requests go on as before.
namespace
{

using namespace kumquatgap;
using namespace kumquatgap::review;

constexpr milliseconds request_period{100};
constexpr milliseconds calm_time{3000};
constexpr milliseconds trouble_time{3000};
constexpr milliseconds watched_time{30'000};
constexpr int runners_of_pool = 12;
constexpr int runners_of_desk = 3;
/// Of the requests of the trouble, one in this many expects the old weights.
constexpr std::size_t requests_each_expecting = 4;
constexpr std::string_view weights = "2";
/// A kind of request is starved when it is served less than this fraction as often as all requests.
constexpr double starved_fraction = 0.25;

struct tally
{
    int sent = 0;
    int served = 0;

    double fraction() const { return sent == 0 ? 1 : static_cast<double>(served) / sent; }
};

using tallies = std::map<std::string, tally>;

class other_weights_case
{
public:
    verdict run()
    {
        for (int i = 1; i <= runners_of_pool; ++i)
            m_site.add_runner(common::concat("pool-", i), "kumquat-pool",
                              [this](const auto& request, const auto& out)
                              { stream(request, out); });
        for (int i = 1; i <= runners_of_desk; ++i)
            m_site.add_runner(common::concat("desk-", i), "order-desk",
                              [this](const auto& request, const auto& out)
                              { serve(request, out); });
        m_site.put_config(site::config(1));
        if (!m_site.wait_ready())
            return verdict::could_not_run;
        const auto before = play(calm_time, false);
        play(trouble_time, has_trouble());
        const auto after = play(watched_time, false);
        for (const auto& [path, it] : before)
        {
            if (it.fraction() < 1)
                return verdict::could_not_run;
        }
        return judge(after);
    }

private:
    void serve(const io::http_request& request, const scripted_target::reply& out)
    {
        m_site.record(common::concat("runner: runs ", request.headers.find("x-request-id")));
        out.write(stand_ins::whole_answer(request, 200, std::string(800, 'o')));
    }

    void stream(const io::http_request& request, const scripted_target::reply& out)
    {
        const auto expected = request.headers.find("x-expect-version");
        const auto id = request.headers.find("x-request-id");
        if (!expected.empty() && expected != weights)
        {
            m_site.record(
                common::concat("runner: answers ", id, " with 421, its weights are ", weights));
            return out.write(stand_ins::whole_answer(
                request, 421, "",
                common::concat("X-Not-Executed: 1\r\nAt-Server: ",
                               request.headers.find("x-expect-instance"), "\r\n")));
        }
        m_site.record(common::concat("runner: runs ", id));
        out.write(stand_ins::stream_head(request) + stand_ins::stream_event(1) +
                  stand_ins::stream_event(2) + "0\r\n\r\n");
    }

    /// Sends a request of each kind in turn; returns how many of each kind were served, of those
    /// that expect no weights.
    tallies play(milliseconds time, bool some_expect_old_weights)
    {
        std::vector<call_ptr> calls;
        const auto end = m_site.elapsed() + time;
        for (std::size_t n = 0; m_site.elapsed() < end; ++n)
        {
            const auto gateway = n % m_site.gateways();
            for (const auto* path : {"/draft/wall", "/reserve/coil", "/stock/coil"})
                calls.push_back(
                    m_site.send(site::request(path, common::concat("r", ++m_sent), "{}"), gateway));
            if (some_expect_old_weights && n / m_site.gateways() % requests_each_expecting == 0)
            {
                auto it = site::request("/draft/wall", common::concat("old-", ++m_sent), "{}");
                it.headers.add("X-Expect-Version", "1");
                m_expecting.push_back(m_site.send(it, gateway));
            }
            m_site.run_for(request_period);
        }
        m_site.wait_until([&] { return std::ranges::all_of(calls, &requester_call::ended); });
        tallies out;
        for (const auto& it : calls)
        {
            ++out[it->path].sent;
            out[it->path].served +=
                it->how == io::call_outcome::complete && it->status == 200 ? 1 : 0;
        }
        return out;
    }

    verdict judge(const tallies& after)
    {
        tally all;
        for (const auto& [path, it] : after)
        {
            m_site.record(
                common::concat("kind ", path, ": ", it.served, " of ", it.sent, " served"));
            all.sent += it.sent;
            all.served += it.served;
        }
        const bool is_starved = std::ranges::any_of(
            after, [&](const auto& it)
            { return it.second.fraction() < starved_fraction * all.fraction(); });
        return is_starved ? verdict::broken : verdict::held;
    }

    site m_site{{.gateways = 2}};
    std::vector<call_ptr> m_expecting;
    int m_sent = 0;
};

} // namespace

int main()
{
    return run_case([] { return other_weights_case{}.run(); });
}
