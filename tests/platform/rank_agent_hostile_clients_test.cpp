#include "hostile_clients.hpp"
#include "process.hpp"

#include "common/text.hpp"
#include "io/event_loop.hpp"
#include "io/http_client.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

/// Guards against callers of the metrics address that make a rank's agent run out of memory or
/// descriptors: its group would lose a rank.
using namespace kumquatgap;
using failures::client_script;
using failures::hostile_clients;

namespace
{

constexpr std::int64_t host_memory_mb = 64;
constexpr std::size_t host_descriptors = 512;
constexpr std::int64_t kb_per_mb = 1024;
constexpr common::milliseconds step_period{5};
constexpr common::milliseconds response_time{1000};
constexpr common::milliseconds max_wait{20'000};
constexpr auto fields = "Host: h\r\n";

/// An agent on a small host, without a store.
class small_agent
{
public:
    small_agent() : m_metrics_address{failures::free_address()}
    {
        auto name = (std::filesystem::temp_directory_path() / "kqg-rank-XXXXXX").string();
        cr_assert(::mkdtemp(name.data()) != nullptr);
        m_directory = name;
        std::ofstream{m_directory + "/agent.ini"}
            << "[process]\nhost = h\ndata_centre = a\ndeployment_token = t\nmemory_mb = "
            << host_memory_mb << "\nmax_fds = " << host_descriptors
            << "\n[store]\naddress = " << failures::free_address()
            << "\n[control]\nlisten = " << failures::free_address()
            << "\n[rank]\ntarget = 127.0.0.1:9\nservice = s\nmetrics_listen = " << m_metrics_address
            << "\n";
        m_agent = std::make_unique<failures::process>(
            std::vector<std::string>{std::string{BINARY_FOLDER} + "/kqg-rank-agent",
                                     "--config=" + m_directory + "/agent.ini"},
            m_directory + "/agent.log");
        cr_assert(wait_until([this] { return answers(); }));
    }
    small_agent(const small_agent&) = delete;
    small_agent& operator=(const small_agent&) = delete;
    ~small_agent()
    {
        m_agent.reset();
        std::error_code ec;
        std::filesystem::remove_all(m_directory, ec);
    }

    void survives(std::size_t count, const client_script& script)
    {
        hostile_clients crowd{m_metrics_address, count, script};
        wait_until(
            [&]
            {
                crowd.step();
                return crowd.is_done() || m_agent->has_ended();
            });
        run_for(response_time);
        cr_assert(not m_agent->has_ended(), "status %d", m_agent->status());
        const auto descriptors = failures::open_descriptors(m_agent->id());
        cr_expect(answers());
        const auto memory_kb = failures::peak_memory_kb(m_agent->id());
        cr_expect_lt(memory_kb, host_memory_mb * kb_per_mb, "%ld kB", static_cast<long>(memory_kb));
        cr_expect_lt(descriptors, host_descriptors, "%zu descriptors", descriptors);
    }

private:
    bool answers()
    {
        bool has_ended = false;
        int status = 0;
        const auto call = m_client.send(m_metrics_address, {"GET", "/metrics"},
                                        {.on_end =
                                             [&](io::call_outcome, const io::http_response& it)
                                         {
                                             has_ended = true;
                                             status = it.status;
                                         }},
                                        {.silence_timeout = max_wait, .reuse_connection = false});
        wait_until([&] { return has_ended; });
        return status == 200;
    }
    bool wait_until(const std::function<bool()>& condition)
    {
        const auto end = common::now() + max_wait;
        while (!condition())
        {
            if (common::now() > end)
                return false;
            run_for(step_period);
        }
        return true;
    }
    void run_for(common::milliseconds time)
    {
        const auto timer = m_loop.after(time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    io::event_loop m_loop;
    io::http_client m_client{m_loop};
    std::string m_metrics_address;
    std::string m_directory;
    std::unique_ptr<failures::process> m_agent;
};

} // namespace

Test(rank_agent_hostile_clients, bodies_by_length_that_stop_short)
{
    small_agent agent;
    agent.survives(150, {.bytes = failures::to_text({"/metrics", fields, 1'000'000, 0, 1})});
}

Test(rank_agent_hostile_clients, chunks_of_one_byte_that_stop_short)
{
    small_agent agent;
    agent.survives(150, {.bytes = failures::to_text({"/metrics", fields, 1'000'000, 1, 1})});
}

Test(rank_agent_hostile_clients, more_connections_than_descriptors)
{
    small_agent agent;
    agent.survives(900, {.bytes = failures::shared_text("GET /metrics HTTP/1.1\r\nHost: ")});
}
