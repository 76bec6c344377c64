#include "failures/deployment.hpp"

#include "common/text.hpp"

#include <spdlog/fmt/fmt.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace kumquatgap;
using namespace kumquatgap::failures;
using common::milliseconds;

namespace
{

using clock_type = std::chrono::steady_clock;

double elapsed_ms(clock_type::time_point since)
{
    return std::chrono::duration<double, std::milli>(clock_type::now() - since).count();
}

double quantile(std::vector<double> values, double q)
{
    std::ranges::sort(values);
    return values.empty()
               ? 0
               : values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

/// Processor time that a process has used, in seconds.
double cpu_s(const process& p)
{
    std::ifstream file{common::concat("/proc/", p.id(), "/stat")};
    std::string text;
    std::getline(file, text);
    std::istringstream fields{text.substr(text.rfind(')') + 2)};
    std::string skipped;
    constexpr int fields_before = 11;
    for (int i = 0; i < fields_before; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

/// Memory that a process holds, in kB.
long rss_kb(const process& p)
{
    std::ifstream file{common::concat("/proc/", p.id(), "/status")};
    for (std::string line; std::getline(file, line);)
    {
        if (line.starts_with("VmRSS:"))
            return std::stol(line.substr(6));
    }
    return 0;
}

/// Makes calls with so many open at once; returns each one's length in ms.
std::vector<double> make_calls(deployment& d, const std::string& address, int count, int at_once,
                               const std::function<io::http_request(int)>& request)
{
    struct timed
    {
        std::shared_ptr<open_call> call;
        clock_type::time_point began;
    };
    std::vector<timed> open;
    std::vector<double> lengths;
    int sent = 0;
    int failed = 0;
    while (std::cmp_less(lengths.size(), count))
    {
        while (std::cmp_less(open.size(), at_once) && sent < count)
            open.push_back({d.begin(address, request(sent++)), clock_type::now()});
        d.run_for(milliseconds{0});
        std::erase_if(open,
                      [&](const timed& it)
                      {
                          if (!it.call->ended)
                              return false;
                          lengths.push_back(elapsed_ms(it.began));
                          failed += it.call->result.status >= 300 ? 1 : 0;
                          return true;
                      });
    }
    if (failed > 0)
        std::cout << failed << " of " << count << " calls failed\n";
    return lengths;
}

io::http_request stock_look()
{
    auto out = order("x");
    out.method = "GET";
    out.path = "/orders/stock/coils";
    out.body.clear();
    return out;
}

void measure_latency()
{
    plan p;
    p.targets = {{"engine-a", "assistant"}, {"orders-a", "orders", 64}};
    p.engine_flags = {"--token_ms=1", "--first_token_ms=0"};
    deployment d{p};
    const auto look = [](int) { return stock_look(); };
    constexpr int calls = 1000;
    std::cout << "one call at a time, new connection each: p50 and p99 in ms\n";
    make_calls(d, d.address("router-0"), 50, 1, look);
    const auto direct = make_calls(d, d.address("orders"), calls, 1, look);
    const auto path = make_calls(d, d.address("router-0"), calls, 1, look);
    std::cout << fmt::format("  look-up direct            {:.2f}  {:.2f}\n", quantile(direct, 0.5),
                             quantile(direct, 0.99));
    std::cout << fmt::format("  look-up router and agent  {:.2f}  {:.2f}\n", quantile(path, 0.5),
                             quantile(path, 0.99));
    const auto orders = make_calls(d, d.address("router-0"), calls, 1,
                                   [](int i) { return order(common::concat("one-", i)); });
    std::cout << fmt::format("  order with its ledger     {:.2f}  {:.2f}\n", quantile(orders, 0.5),
                             quantile(orders, 0.99));
}

void measure_calls()
{
    std::cout << "\nprocessor time a call (64 at once), and the store's calls for orders\n"
              << "kind     calls  calls/s  router_us  agent_us  store_calls_an_order\n";
    for (const int calls : {2000, 6000})
    {
        for (const bool orders : {false, true})
        {
            plan p;
            p.targets = {{"orders-a", "orders", 64}};
            deployment d{p};
            auto& router = d.at("router-0");
            auto& agent = d.at("agent-orders-a");
            const double router_before = cpu_s(router);
            const double agent_before = cpu_s(agent);
            const auto store_before = d.metric("agent-orders-a", "kqg_store_calls{kind=\"write\"}");
            const auto began = clock_type::now();
            make_calls(d, d.address("router-0"), calls, 64,
                       [&](int i)
                       { return orders ? order(common::concat("o-", i)) : stock_look(); });
            const double seconds = elapsed_ms(began) / 1000;
            const auto store_calls =
                d.metric("agent-orders-a", "kqg_store_calls{kind=\"write\"}") - store_before;
            const auto us_a_call = [&](double cpu) { return cpu * 1e6 / calls; };
            std::cout << fmt::format(
                "{:7}  {:5}  {:7.0f}  {:9.0f}  {:8.0f}  {:20.3f}\n", orders ? "order" : "look-up",
                calls, calls / seconds, us_a_call(cpu_s(router) - router_before),
                us_a_call(cpu_s(agent) - agent_before), static_cast<double>(store_calls) / calls);
        }
    }
}

void measure_streams()
{
    std::cout << "\nstreams of 400 tokens through one router and four agents\n"
              << "streams  tokens/s  router_cpu_s  tokens_a_router_core_s  agent_us_a_token  "
                 "router_MB  MB_before\n";
    for (const int streams : {100, 250, 500, 1000})
    {
        plan p;
        p.targets = {{"engine-a", "assistant", 256},
                     {"engine-b", "assistant", 256},
                     {"engine-c", "assistant", 256},
                     {"engine-d", "assistant", 256}};
        p.engine_flags = {"--token_ms=25", "--first_token_ms=0", "--slots=256"};
        deployment d{p};
        constexpr int tokens = 400;
        auto& router = d.at("router-0");
        auto& agent = d.at("agent-engine-a");
        const auto memory_before = rss_kb(router);
        const double router_before = cpu_s(router);
        const double agent_before = cpu_s(agent);
        const auto began = clock_type::now();
        std::vector<std::shared_ptr<open_call>> calls;
        calls.reserve(static_cast<std::size_t>(streams));
        for (int i = 0; i < streams; ++i)
            calls.push_back(d.begin(d.address("router-0"), chat(std::to_string(i), tokens, true)));
        long memory = 0;
        while (!std::ranges::all_of(calls, [](const auto& it) { return it->ended; }))
        {
            d.run_for(milliseconds{50});
            memory = std::max(memory, rss_kb(router));
        }
        const auto whole = std::ranges::count_if(calls, [](const auto& it)
                                                 { return it->result.is_whole_stream(); });
        const double total = static_cast<double>(whole) * tokens;
        const double cpu = cpu_s(router) - router_before;
        const double agent_tokens = total / 4;
        std::cout << fmt::format(
            "{:7}  {:8.0f}  {:12.2f}  {:22.0f}  {:16.1f}  {:9.1f}  {:9.1f}{}\n", streams,
            total / elapsed_ms(began) * 1000, cpu, total / cpu,
            (cpu_s(agent) - agent_before) * 1e6 / agent_tokens, static_cast<double>(memory) / 1000,
            static_cast<double>(memory_before) / 1000,
            whole == streams ? "" : " (some streams not whole)");
    }
}

void measure_idle()
{
    std::cout << "\ndaemons without traffic for 10 s, configuration spread among them\n"
              << "daemons  cpu_percent_of_a_core  control_bytes/s  MB  watchers\n";
    for (const int routers : {4, 12, 24})
    {
        plan p;
        p.spreads_config = true;
        p.routers = routers;
        p.targets = {{"orders-a", "orders"}, {"orders-b", "orders"}};
        deployment d{p};
        constexpr milliseconds settle{8000};
        constexpr milliseconds period{10'000};
        d.run_for(settle);
        double cpu = 0;
        std::int64_t bytes = 0;
        for (const auto& it : d.daemons())
        {
            cpu -= cpu_s(d.at(it));
            bytes -= d.metric(it, "kqg_control_bytes");
        }
        d.run_for(period);
        double memory = 0;
        std::int64_t watchers = 0;
        for (const auto& it : d.daemons())
        {
            cpu += cpu_s(d.at(it));
            bytes += d.metric(it, "kqg_control_bytes");
            memory = std::max(memory, static_cast<double>(rss_kb(d.at(it))) / 1000);
            watchers += d.metric(it, "kqg_is_watching");
        }
        const auto n = static_cast<double>(d.daemons().size());
        std::cout << fmt::format("{:7}  {:21.2f}  {:15.0f}  {:.1f}  {}\n", d.daemons().size(),
                                 cpu / n / 10 * 100, static_cast<double>(bytes) / n / 10, memory,
                                 watchers);
    }
}

} // namespace

/// Speed and cost of the real processes on loopback; an argument names one part.
int main(int argc, char** argv)
{
    const std::map<std::string, void (*)()> parts = {{"1-latency", measure_latency},
                                                     {"2-calls", measure_calls},
                                                     {"3-streams", measure_streams},
                                                     {"4-idle", measure_idle}};
    for (const auto& [name, run] : parts)
    {
        if (argc < 2 || name == argv[1])
            run();
        std::cout << std::flush;
    }
}
