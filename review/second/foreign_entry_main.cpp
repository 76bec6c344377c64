#include "site.hpp"

#include "common/text.hpp"

#include <map>
#include <string>
#include <vector>

/// Another writer lists the addresses of the order service's runners under a service that the
/// configuration does not name. The runners' own entries hold.
namespace
{

using namespace kumquatgap;
using namespace kumquatgap::review;

constexpr milliseconds request_period{100};
constexpr milliseconds calm_time{5000};
constexpr milliseconds watched_time{20'000};
constexpr milliseconds settle_time{3000};
/// A kind of request is starved when it is served less than this fraction as often as all requests.
constexpr double starved_fraction = 0.25;
constexpr int runners_of_service = 3;

struct tally
{
    int sent = 0;
    int served = 0;

    double fraction() const { return sent == 0 ? 1 : static_cast<double>(served) / sent; }
};

class foreign_entry_case
{
public:
    verdict run()
    {
        for (int i = 1; i <= runners_of_service; ++i)
        {
            m_desks.push_back(&m_site.add_runner(common::concat("desk-", i), "order-desk",
                                                 [this](const auto& request, const auto& out)
                                                 { serve(request, out); }));
            m_site.add_runner(common::concat("pool-", i), "kumquat-pool",
                              [this](const auto& request, const auto& out)
                              { stream(request, out); });
        }
        m_site.put_config(site::config(1));
        if (!m_site.wait_ready())
            return verdict::could_not_run;
        const auto before = play(calm_time);
        if (has_trouble())
            write_foreign_entries();
        m_site.run_for(settle_time);
        const auto after = play(watched_time);
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
        m_site.record(common::concat("runner: runs ", request.headers.find("x-request-id")));
        out.write(stand_ins::stream_head(request) + stand_ins::stream_event(1) +
                  stand_ins::stream_event(2) + "0\r\n\r\n");
    }

    void write_foreign_entries()
    {
        for (int i = 1; i <= runners_of_service; ++i)
        {
            const auto id = common::concat("inventory-", i);
            const auto& address = m_desks.at(static_cast<std::size_t>(i) - 1)->address();
            m_site.store().put("servers/" + id, site::entry("inventory", address).dump());
            m_site.record(
                common::concat("another writer: entry ", id, " of service inventory at ", address));
        }
    }

    /// Sends a request of each kind in turn, and returns how many of each were served.
    std::map<std::string, tally> play(milliseconds time)
    {
        std::vector<call_ptr> calls;
        const auto end = m_site.elapsed() + time;
        std::size_t n = 0;
        while (m_site.elapsed() < end)
        {
            ++n;
            for (const auto* path : {"/draft/wall", "/reserve/coil", "/stock/coil"})
                calls.push_back(
                    m_site.send(site::request(path, common::concat("r", ++m_sent), "{}"),
                                n % m_site.gateways()));
            m_site.run_for(request_period);
        }
        m_site.wait_until([&] { return std::ranges::all_of(calls, &requester_call::ended); });
        std::map<std::string, tally> out;
        for (const auto& it : calls)
        {
            ++out[it->path].sent;
            out[it->path].served +=
                it->how == io::call_outcome::complete && it->status == 200 ? 1 : 0;
        }
        return out;
    }

    verdict judge(const std::map<std::string, tally>& after)
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
    std::vector<scripted_target*> m_desks;
    int m_sent = 0;
};

} // namespace

int main()
{
    return run_case([] { return foreign_entry_case{}.run(); });
}
