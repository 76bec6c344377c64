#include "site.hpp"

#include "common/text.hpp"
#include "io/http_codec.hpp"

#include <algorithm>
#include <csignal>
#include <list>
#include <map>
#include <string>
#include <vector>

/// A model runner runs short of memory while a gateway shuts down, preempts its newest stream and
/// goes on with it later. The other runner is full: others than the gateways call it too.
namespace
{

using namespace kumquatgap;
using namespace kumquatgap::review;

constexpr int streams = 16;
constexpr int events_of_stream = 50;
constexpr milliseconds event_period{100};
/// Requests that a runner runs at once, and that wait there.
constexpr int slots = 12;
constexpr int waiting_places = 24;
/// After the first requests.
constexpr milliseconds term_time{500};
constexpr milliseconds preemption_after_term{500};
constexpr milliseconds preemption_time{1500};
constexpr milliseconds watched_time{8000};
constexpr std::string_view deadline_ms = "8000";

class refused_resumption_case
{
public:
    verdict run()
    {
        for (const auto* id : {"pool-1", "pool-2"})
            m_second = &m_site.add_runner(id, "kumquat-pool",
                                          [this, id](const auto& request, const auto& out)
                                          { stream(id, request, out); });
        m_site.put_config(site::config(1));
        if (!m_site.wait_ready())
            return verdict::could_not_run;
        for (int i = 1; i <= streams; ++i)
        {
            m_calls.push_back(m_site.send(site::request("/draft/wall", common::concat("s", i), "{}",
                                                        std::string{deadline_ms})));
            m_site.run_for(milliseconds{10});
        }
        m_site.run_for(term_time);
        if (m_streams.size() != streams)
            return verdict::could_not_run;
        m_site.gateway(0).signal(SIGTERM);
        m_site.record("the gateway gets SIGTERM");
        m_site.run_for(preemption_after_term);
        if (has_trouble())
        {
            fill_other_runner();
            preempt_newest();
        }
        m_site.wait_until([&] { return std::ranges::all_of(m_calls, &requester_call::ended); },
                          watched_time);
        return judge();
    }

private:
    struct open_stream
    {
        std::string runner;
        std::string id;
        scripted_target::reply out;
        int next = 1;
        io::timer_handle timer = nullptr;
    };

    void stream(const std::string& runner, const io::http_request& request,
                const scripted_target::reply& out)
    {
        const std::string id{request.headers.find("x-request-id")};
        auto& at = m_held[runner];
        if (at >= slots + waiting_places)
        {
            m_site.record(common::concat("runner ", runner, ": is full and refuses ", id,
                                         " with 503, not run"));
            return out.write(stand_ins::whole_answer(request, 503, "", "X-Not-Executed: 1\r\n"));
        }
        if (++at > slots)
            return m_site.record(common::concat("runner ", runner, ": ", id, " waits"));
        m_site.record(common::concat("runner ", runner, ": runs ", id));
        out.write(stand_ins::stream_head(request));
        m_streams.push_back({runner, id, out});
        begin_events(m_streams.back());
    }

    void begin_events(open_stream& it)
    {
        it.timer = m_site.loop().every(event_period, [this, &it] { send_event(it); });
    }

    void send_event(open_stream& it)
    {
        if (it.next <= events_of_stream)
            return it.out.write(stand_ins::stream_event(it.next++));
        it.out.write(io::last_chunk);
        --m_held[it.runner];
        m_site.record(common::concat("runner ", it.runner, ": has ended ", it.id));
        m_site.loop().defer([&it] { it.timer.reset(); });
    }

    /// Other callers take all slots and waiting places of the second runner that are free.
    void fill_other_runner()
    {
        const int free = slots + waiting_places - m_held["pool-2"];
        for (int i = 1; i <= free; ++i)
        {
            const auto id = common::concat("other-", i);
            auto it = site::request("/draft/other", id, "{}", std::string{deadline_ms});
            m_others.push_back(m_client.send(m_second->address(), it, {}));
        }
        m_site.record(common::concat("others send ", free, " requests to pool-2"));
        m_site.run_for(milliseconds{50});
    }

    /// The newest stream of the first runner pauses; the runner goes on with it later.
    void preempt_newest()
    {
        const auto newest =
            std::ranges::find_if(m_streams.rbegin(), m_streams.rend(),
                                 [](const auto& it) { return it.runner == "pool-1"; });
        auto& it = *newest;
        m_site.record(
            common::concat("runner pool-1: preempts ", it.id, " after ", it.next - 1, " events"));
        it.timer.reset();
        m_resumption = m_site.loop().after(
            preemption_time,
            [this, &it]
            {
                m_site.record(common::concat("runner pool-1: goes on with ", it.id,
                                             it.out.is_open() ? "" : ", whose channel is closed"));
                begin_events(it);
            });
    }

    verdict judge()
    {
        int lost = 0;
        for (const auto& it : m_calls)
        {
            const bool is_whole =
                it->ended && it->how == io::call_outcome::complete && it->status == 200;
            lost += is_whole ? 0 : 1;
        }
        m_site.record(common::concat(m_calls.size(), " streams, ", lost, " ended incomplete"));
        return lost > 0 ? verdict::broken : verdict::held;
    }

    site m_site{{.gateways = 1}};
    std::vector<call_ptr> m_calls;
    std::list<open_stream> m_streams;
    io::timer_handle m_resumption;
    io::http_client m_client{m_site.loop()};
    std::vector<io::call_handle> m_others;
    scripted_target* m_second = nullptr;
    /// The requests that each runner runs or lets wait.
    std::map<std::string, int> m_held;
};

} // namespace

int main()
{
    return run_case([] { return refused_resumption_case{}.run(); });
}
