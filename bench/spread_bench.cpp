#include "common/hash.hpp"
#include "common/text.hpp"
#include "config/resource.hpp"
#include "config/view.hpp"
#include "membership/gossip_node.hpp"
#include "membership/message.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <queue>

using namespace kumquatgap;
using namespace kumquatgap::membership;

namespace
{

constexpr milliseconds latency{1};
constexpr milliseconds store_latency{5};
constexpr std::size_t change_count = 30;
constexpr milliseconds change_period{10'000};

/// What one run of a data centre has cost.
struct costs
{
    double messages_per_s = 0;
    double bytes_per_s = 0;
    double store_calls_per_s = 0;
    double duplicate_share = 0;
    /// Watches that were started although both watchers were there.
    std::uint64_t needless_takeovers = 0;
    std::vector<double> times_to_all_ms;
};

/// The spreaders of one data centre, driven by hand: a queue of messages with one latency, a store
/// as a list of changes. No sockets and no clocks.
class data_centre
{
public:
    explicit data_centre(std::size_t n) : m_host_count{n}
    {
        std::vector<peer> peers;
        for (std::size_t i = 0; i < n; ++i)
            peers.push_back({common::concat("host-", i), std::to_string(i)});
        for (std::size_t i = 0; i < n; ++i)
        {
            m_processes.emplace_back(peers[i], gossip_options{}, i + 1);
            m_processes.back().set_peers(peers);
        }
        m_watching.resize(n);
    }

    costs run()
    {
        for (std::size_t i = 0; i < m_host_count; ++i)
        {
            carry_out(i, m_processes[i].begin(m_now));
            m_timers.push(m_now + milliseconds{1 + static_cast<std::int64_t>(i * 997 % 1000)}, i);
        }
        run_until(m_now + milliseconds{5000});
        m_messages = m_bytes = m_store_calls = m_duplicates = m_deltas = m_takeovers = 0;
        costs out;
        const auto began = m_now;
        for (std::size_t c = 0; c < change_count; ++c)
            out.times_to_all_ms.push_back(make_change());
        const auto seconds = static_cast<double>((m_now - began).count()) / 1000;
        const auto n = static_cast<double>(m_host_count);
        out.messages_per_s = static_cast<double>(m_messages) / seconds / n;
        out.bytes_per_s = static_cast<double>(m_bytes) / seconds / n;
        out.store_calls_per_s = static_cast<double>(m_store_calls) / seconds;
        out.duplicate_share =
            m_deltas == 0 ? 0 : static_cast<double>(m_duplicates) / static_cast<double>(m_deltas);
        out.needless_takeovers = m_takeovers;
        return out;
    }

private:
    /// Calls of processes' ticks in order of time.
    struct timer_queue
    {
        using entry = std::pair<timestamp, std::size_t>;
        std::priority_queue<entry, std::vector<entry>, std::greater<>> entries;
        void push(timestamp at, std::size_t n) { entries.emplace(at, n); }
    };

    /// Writes one resource and returns the time until every process has it.
    double make_change()
    {
        const auto written_at = m_now;
        ++m_revision;
        const std::string spec(200, 'x');
        const kv::change c{common::concat(config::resource_prefix, "team/t-", m_revision % 50),
                           spec, m_revision};
        m_items[c.key] = {c.key, *c.value, c.mod_revision};
        for (std::size_t i = 0; i < m_host_count; ++i)
        {
            if (m_watching[i])
                carry_out(i, m_processes[i].store_changed({m_revision - 1, m_revision, {c}},
                                                          m_now + store_latency,
                                                          m_now + store_latency));
        }
        m_all_have_it_at.reset();
        run_until(written_at + change_period);
        return m_all_have_it_at ? static_cast<double>((*m_all_have_it_at - written_at).count())
                                : -1;
    }

    void run_until(timestamp end)
    {
        while (true)
        {
            const auto tick_at = m_timers.entries.top().first;
            const auto message_at = m_in_flight.empty() ? end : m_in_flight.begin()->first;
            if (std::min(tick_at, message_at) >= end)
                break;
            if (message_at <= tick_at)
                deliver();
            else
                tick();
            note_if_all_have_it();
        }
        m_now = end;
    }

    void note_if_all_have_it()
    {
        if (m_all_have_it_at || m_behind_check == m_now)
            return;
        m_behind_check = m_now;
        if (std::ranges::all_of(m_processes, [this](const gossip_node& it)
                                { return it.replica().as_of() >= m_revision; }))
            m_all_have_it_at = m_now;
    }

    void tick()
    {
        const auto [at, n] = m_timers.entries.top();
        m_timers.entries.pop();
        m_now = at;
        if (m_watching[n])
        {
            // The check of the head key, every two seconds.
            m_store_calls += (at.time_since_epoch().count() / 1000) % 2 == 0 ? 1 : 0;
            m_processes[n].store_responded(at);
        }
        carry_out(n, m_processes[n].tick(at));
        m_timers.push(at + milliseconds{1000}, n);
    }

    void deliver()
    {
        const auto it = m_in_flight.begin();
        m_now = it->first;
        const auto sent = it->second;
        m_in_flight.erase(it);
        auto& to = m_processes[std::stoul(sent.address)];
        const auto before = to.replica().as_of();
        const bool carries_changes = !std::holds_alternative<digest>(sent.payload);
        carry_out(std::stoul(sent.address), to.handle(sent.payload, m_now));
        m_deltas += carries_changes ? 1 : 0;
        m_duplicates += carries_changes && to.replica().as_of() == before ? 1 : 0;
    }

    void carry_out(std::size_t n, const actions& list)
    {
        for (const auto& it : list)
            std::visit([&](const auto& action) { take(n, action); }, it);
    }
    void take(std::size_t, const send_message& it)
    {
        ++m_messages;
        // Sent here and received there.
        m_bytes += 2 * to_bytes(it.payload, "deployment-token").size();
        m_in_flight.emplace(m_now + latency, it);
    }
    void take(std::size_t n, const read_store&)
    {
        ++m_store_calls;
        kv::range_response all{m_revision, {}};
        for (const auto& [key, it] : m_items)
            all.items.push_back(it);
        carry_out(n, m_processes[n].read_finished(all, m_now + store_latency));
    }
    void take(std::size_t n, const start_watch&)
    {
        ++m_store_calls;
        ++m_takeovers;
        m_watching[n] = true;
    }
    void take(std::size_t n, const stop_watch&) { m_watching[n] = false; }

    std::size_t m_host_count;
    timestamp m_now{milliseconds{1'000'000}};
    std::vector<gossip_node> m_processes;
    std::vector<bool> m_watching;
    timer_queue m_timers;
    std::multimap<timestamp, send_message> m_in_flight;
    kv::revision m_revision = 1;
    std::map<std::string, kv::key_value> m_items;
    std::optional<timestamp> m_all_have_it_at;
    timestamp m_behind_check;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_store_calls = 0;
    std::uint64_t m_takeovers = 0;
    std::uint64_t m_deltas = 0;
    std::uint64_t m_duplicates = 0;
};

double quantile(std::vector<double> values, double q)
{
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

void measure_spreading()
{
    std::cout << "spreading in one data centre, one change in 10 s, 30 changes, 1 ms latency\n"
              << "processes  messages/s  bytes/s  store_calls/s  duplicate_deltas  to_all_p50_ms  "
                 "to_all_max_ms  needless_takeovers\n";
    for (const std::size_t n : {10, 25, 50, 100, 209})
    {
        const auto c = data_centre{n}.run();
        std::cout << fmt::format(
            "{:9}  {:10.2f}  {:7.0f}  {:13.2f}  {:16.2f}  {:13.0f}  {:13.0f}  {:18}\n", n,
            c.messages_per_s, c.bytes_per_s, c.store_calls_per_s, c.duplicate_share,
            quantile(c.times_to_all_ms, 0.5), quantile(c.times_to_all_ms, 1), c.needless_takeovers);
    }
    constexpr int processes = 2300;
    std::cout << fmt::format("other ways at {} processes, by arithmetic: a watch each holds {} "
                             "calls; polling every 15 s makes {:.0f} calls/s\n",
                             processes, processes, processes / 15.0);
}

/// A replica with a share of the resources of the size to design for.
config::replica sample_replica(double part)
{
    std::vector<kv::key_value> items;
    const auto add = [&](config::kind k, const std::string& name, nlohmann::json spec)
    {
        const auto n = static_cast<kv::revision>(items.size() + 1);
        items.push_back({config::key_of(k, name),
                         config::serialize({k, name, std::move(spec), 0, std::string(32, 'w')}),
                         n});
    };
    const auto count = [part](int full) { return static_cast<int>(full * part); };
    for (int i = 0; i < count(270); ++i)
        add(config::kind::team, common::concat("team-", i),
            {{"member", "m"}, {"token_sha256", common::sha256_hex(std::to_string(i))}});
    for (int i = 0; i < count(22); ++i)
        add(config::kind::service, common::concat("service-", i),
            {{"type", "model"}, {"model", common::concat("model-", i)}});
    for (int i = 0; i < count(1900); ++i)
        add(config::kind::target, common::concat("target-", i),
            {{"service", common::concat("service-", i % 22)},
             {"host", common::concat("host-", i)},
             {"data_centre", common::concat("dc-", i % 11)},
             {"agent", "10.0.0.1:7000"},
             {"slots", 32}});
    for (int i = 0; i < count(2700); ++i)
        add(config::kind::share, common::concat("share-", i),
            {{"team", common::concat("team-", i % 270)},
             {"service", common::concat("service-", i % 22)},
             {"percent", 1}});
    for (int i = 0; i < count(2300); ++i)
        items.push_back(
            {common::concat(config::host_prefix, "host-", i),
             R"({"state":"live","data_centre":"dc-1","control_address":"10.0.0.1:7001"})",
             static_cast<kv::revision>(items.size() + 1)});
    config::replica out;
    const auto as_of = static_cast<kv::revision>(items.size() + 1);
    out.update({as_of, std::move(items)});
    return out;
}

/// Memory that this process holds, in kB.
long rss_kb()
{
    std::ifstream file{"/proc/self/status"};
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with("VmRSS:"))
            return std::stol(line.substr(6));
    }
    return 0;
}

void measure_view()
{
    std::cout << "\nresources: what a change costs a daemon\n"
              << "items  snapshot_kB  view_rebuild_ms  replica_and_view_MB\n";
    for (const double part : {1.0, 0.5, 0.25, 0.1})
    {
        const auto memory_before = rss_kb();
        const auto replica = sample_replica(part);
        const config::view held{replica};
        const auto memory = static_cast<double>(rss_kb() - memory_before) / 1000;
        snapshot_message all{{replica.as_of(), {}, replica.era()}};
        for (const auto& [key, it] : replica.items())
            all.state.items.push_back(it);
        const auto bytes = to_bytes(all, "t").size();
        constexpr int rounds = 10;
        const auto began = std::chrono::steady_clock::now();
        std::size_t kept = 0;
        for (int i = 0; i < rounds; ++i)
            kept += config::view{replica}.hosts().size();
        const std::chrono::duration<double, std::milli> took =
            std::chrono::steady_clock::now() - began;
        std::cout << fmt::format("{:5}  {:11.0f}  {:15.1f}  {:19.1f}\n", replica.items().size(),
                                 static_cast<double>(bytes) / 1000,
                                 kept == 0 ? 0 : took.count() / rounds, memory);
    }
}

} // namespace

/// What spreading the configuration costs, by driving the decision classes without I/O.
int main()
{
    measure_spreading();
    measure_view();
}
