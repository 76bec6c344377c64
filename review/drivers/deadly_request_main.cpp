#include "deployment.hpp"

#include "common/text.hpp"
#include "io/http_codec.hpp"

#include <algorithm>
#include <cstdio>
#include <exception>
#include <list>

/// One request crashes each rank of a group that begins to run it, and comes again and again.
namespace kumquatgap::review
{

using stand_ins::scripted_target;
using reply = scripted_target::reply;

namespace
{

constexpr std::size_t ranks = 4;
constexpr int slots = 12;
constexpr int events = 24;
constexpr milliseconds event_gap{60};
constexpr milliseconds first_token_delay{90};
constexpr milliseconds restart_time{3000};
constexpr milliseconds expiry_time{3600};
constexpr milliseconds stall_time{1500};
constexpr milliseconds form_time{600};
constexpr milliseconds sound_period{200};
constexpr milliseconds deadly_period{2500};
constexpr milliseconds warm_up{3000};
constexpr milliseconds length{70'000};
constexpr int free_crashes = 3;
constexpr int free_retries = 3;
constexpr std::string_view deadly_body = "{\"quote\":\"deadly\"}";

/// A request at a rank: it waits until it gets its first token, then writes.
struct run
{
    io::http_request request;
    std::size_t rank = 0;
    reply out;
    timestamp begins_at;
    /// When a rank that waits for a lost one gives the request up.
    std::optional<timestamp> given_up_at = std::nullopt;
    int next = 1;
    bool has_begun = false;
    bool ended = false;
};

class deadly_request
{
public:
    deadly_request(const std::string& binaries, const std::string& record_path)
        : m_record{record_path}, m_deployment{binaries, m_record, 2, false}
    {
    }

    int run_case()
    {
        for (std::size_t i = 0; i < ranks; ++i)
        {
            m_ranks.push_back({});
            m_ranks.back().address = failures::free_address();
            start_rank(i);
        }
        m_is_open = true;
        auto it = base_configuration(1);
        it["routes"] = {route("/quote/", "streaming", "kumquat-pool", 8000, 500, 2)};
        it["services"] = {{{"name", "kumquat-pool"},
                           {"healthPath", "/health"},
                           {"maxConnections", 258},
                           {"engine", group_engine(slots)}}};
        m_deployment.store().put("op/config", it.dump());
        if (!m_deployment.wait_ready())
            return could_not_run;
        m_deployment.every(milliseconds{10}, [this] { step(); });
        m_deployment.every(sound_period, [this] { send(false); });
        m_deployment.run_for(warm_up);
        m_deployment.every(deadly_period, [this] { send(true); });
        m_deployment.run_for(length);
        return judge();
    }

private:
    struct rank
    {
        std::string id;
        std::string address;
        int starts = 0;
        bool is_up = false;
        std::unique_ptr<scripted_target> process;
    };

    void start_rank(std::size_t i)
    {
        auto& it = m_ranks[i];
        it.id = common::concat("i-", i, "-", ++it.starts);
        it.is_up = true;
        if (it.process)
            m_ended.push_back(std::move(it.process));
        it.process = std::make_unique<scripted_target>(
            m_deployment.loop(), it.address,
            [this, i](const auto& request, const auto& out) { arrive(i, request, out); });
        m_deployment.put_entry(it.id, "kumquat-pool", it.address, slots, ++m_born);
        m_record.line("rank starts: " + it.id);
    }

    void send(bool is_deadly)
    {
        const auto n = ++m_requests;
        const auto id = common::concat(is_deadly ? "deadly-" : "sound-", n);
        // Without the disruption, the request that repeats is a sound one.
        const auto is_sound_repeat = is_deadly && !has_trouble();
        const auto body = is_deadly && !is_sound_repeat
                              ? std::string{deadly_body}
                              : common::concat("{\"quote\":", is_deadly ? 0 : n, "}");
        const auto own_part = is_deadly ? std::string{"dead01:634"} : common::concat(n, "b:634");
        m_deployment.send(
            static_cast<std::size_t>(n) % m_deployment.gateways(),
            {"POST",
             "/quote/draft",
             {},
             {{"Host", "desk.example"},
              {"X-Request-Id", id},
              {"X-Deadline-Ms", "8000"},
              {"X-Model", "m"},
              {"X-Token-Usage", "674,96"},
              {"X-Prompt-Prefix", "5c1e07a2:40," + own_part},
              {"Authorization", "Bearer key-1"}},
             body},
            [this, is_deadly](const open_request& it)
            {
                const bool is_whole = it.status == 200 && it.how == io::call_outcome::complete;
                if (!is_deadly)
                    ++(is_whole ? m_sound_whole
                                : (it.status == 200 ? m_sound_cut : m_sound_refused));
                if (is_deadly)
                    m_record.line(common::concat("answered ", it.id, ": status ", it.status,
                                                 is_whole ? ", complete" : ""));
            });
        if (is_deadly)
            m_record.line("sent " + id);
    }

    void arrive(std::size_t i, const io::http_request& request, const reply& out)
    {
        if (request.path == "/health")
            return out.write(stand_ins::whole_answer(
                request, 200, "", common::concat("X-Instance-Id: ", m_ranks[i].id, "\r\n")));
        if (request.headers.find("x-expect-instance") != m_ranks[i].id)
            return out.write(stand_ins::whole_answer(
                request, 421, "",
                common::concat("X-Not-Executed: 1\r\nX-Instance-Id: ", m_ranks[i].id, "\r\n")));
        const auto now = common::now();
        if (request.body == deadly_body)
        {
            m_deadly_arrivals.push_back(now);
            m_record.line(common::concat("at rank ", m_ranks[i].id, ": ",
                                         request.headers.find("x-request-id")));
        }
        run it{.request = request, .rank = i, .out = out, .begins_at = now + first_token_delay};
        if (!m_is_open)
            it.given_up_at = now + stall_time;
        m_runs.push_back(std::move(it));
    }

    /// Goes on with all runs, as the passes of the group do.
    void step()
    {
        const auto now = common::now();
        for (auto& it : m_runs)
            go_on(it, now);
        m_runs.remove_if([](const run& it) { return it.ended; });
    }

    void go_on(run& it, timestamp now)
    {
        if (it.ended)
            return;
        if (!it.out.is_open())
        {
            it.ended = true;
            return;
        }
        if (it.given_up_at)
        {
            if (now >= *it.given_up_at)
                give_up(it);
            return;
        }
        if (now < it.begins_at)
            return;
        if (it.request.body == deadly_body)
            return crash(it.rank, now);
        if (!std::exchange(it.has_begun, true))
            it.out.write(stand_ins::stream_head(it.request));
        it.begins_at = now + event_gap;
        it.out.write(stand_ins::stream_event(it.next++));
        if (it.next <= events)
            return;
        it.out.write(io::last_chunk);
        it.ended = true;
    }

    /// A run that waited for a lost rank is cut off, or rejected if it had not begun.
    void give_up(run& it)
    {
        it.ended = true;
        if (it.has_begun)
            return it.out.reset();
        it.out.write(stand_ins::whole_answer(
            it.request, 503, "",
            common::concat("X-Not-Executed: 1\r\nAt-Server: ", m_lost, "\r\n")));
    }

    void crash(std::size_t i, timestamp now)
    {
        auto& it = m_ranks[i];
        it.is_up = false;
        m_is_open = false;
        m_lost = it.id;
        m_crashes.push_back(now);
        m_record.line(common::concat("rank crashes: ", it.id, " (crash ", m_crashes.size(), ")"));
        it.process->crash();
        for (auto& r : m_runs)
        {
            if (r.rank == i)
                r.ended = true;
            else if (!r.given_up_at)
                r.given_up_at = now + stall_time;
        }
        m_deployment.after(expiry_time,
                           [this, id = it.id] { m_deployment.store().remove("servers/" + id); });
        m_deployment.after(restart_time,
                           [this, i]
                           {
                               start_rank(i);
                               m_deployment.after(form_time, [this] { open(); });
                           });
    }

    void open()
    {
        m_is_open = std::ranges::all_of(m_ranks, &rank::is_up);
        m_record.line(m_is_open ? "the group is open" : "the group lacks a rank");
    }

    int judge()
    {
        m_record.line(common::concat("sound requests: ", m_sound_whole, " served, ", m_sound_cut,
                                     " cut, ", m_sound_refused, " refused or failed"));
        m_record.line(common::concat("crashes: ", m_crashes.size(),
                                     ", arrivals of the request at "
                                     "ranks: ",
                                     m_deadly_arrivals.size()));
        if (m_crashes.size() < free_crashes)
            return m_sound_whole > 0 ? rule_held : could_not_run;
        const auto judged_from = m_crashes[free_crashes - 1] + contact_time;
        const auto late = std::ranges::count_if(m_deadly_arrivals,
                                                [&](timestamp at) { return at > judged_from; });
        m_record.line(common::concat("arrivals later than ", contact_time.count(),
                                     " ms after the third crash: ", late));
        return late > free_retries ? rule_broken : rule_held;
    }

    record m_record;
    deployment m_deployment;
    std::vector<rank> m_ranks;
    std::vector<std::unique_ptr<scripted_target>> m_ended;
    std::list<run> m_runs;
    std::vector<timestamp> m_crashes;
    std::vector<timestamp> m_deadly_arrivals;
    std::string m_lost;
    std::int64_t m_born = 1'000;
    bool m_is_open = false;
    int m_requests = 0;
    int m_sound_whole = 0;
    int m_sound_cut = 0;
    int m_sound_refused = 0;
};

} // namespace

} // namespace kumquatgap::review

int main(int argc, char** argv)
{
    using namespace kumquatgap::review;
    try
    {
        return deadly_request{option(argc, argv, "bin"), option(argc, argv, "record")}.run_case();
    }
    catch (const std::exception& e)
    {
        std::fprintf(stderr, "%s\n", e.what());
        return could_not_run;
    }
}
