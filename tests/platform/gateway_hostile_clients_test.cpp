#include "gateway_deployment.hpp"
#include "hostile_clients.hpp"

#include "common/text.hpp"
#include "io/http_codec.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>

/// Guards against callers that make the gateway's process run out of memory or descriptors: large
/// bodies that stop just before their end, heads that never end, responses that are never read.
using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using failures::body_plan;
using failures::client_script;
using failures::hostile_clients;
using failures::to_text;
using stand_ins::scripted_target;

namespace
{

using reply = scripted_target::reply;

/// The limits of the gateway's host, as its settings name them. Exceeding them would end it there.
constexpr std::int64_t host_memory_mb = 64;
constexpr std::size_t host_descriptors = 512;
constexpr std::int64_t kb_per_mb = 1024;
constexpr std::size_t max_body_bytes = 1'000'000;
constexpr std::size_t max_header_bytes = 16'000;
constexpr std::size_t body_clients = 150;
constexpr int last_event = 4;
/// More than the kernel buffers for a caller who doesn't read, and below the limit for one
/// response.
constexpr std::size_t large_response_bytes = std::size_t{3} << 20;

/// Time for the targets' responses to reach the gateway after the last request has been sent.
constexpr common::milliseconds response_time{1500};

constexpr auto caller_fields = "Host: site.example\r\nX-Request-Id: r\r\nX-Deadline-Ms: 5000\r\n"
                               "Authorization: Bearer key-1\r\n";

/// A gateway on a small host, with a target for the hostile calls and one for ordinary calls.
class small_host
{
public:
    explicit small_host(scripted_target::script fn)
    {
        m_deployment.change_settings(
            "log_level = debug", common::concat("log_level = info\nmemory_mb = ", host_memory_mb,
                                                "\nmax_fds = ", host_descriptors));
        m_deployment.restart_gateway(0);
        m_deployment.add_target("t-0", "plain", std::move(fn));
        m_deployment.add_target("e-0", "engine",
                                [](const io::http_request& request, const reply& out)
                                {
                                    out.write(stream_head(request));
                                    for (int i = 1; i <= last_event; ++i)
                                        out.write(stream_event(i));
                                    out.write(io::last_chunk);
                                });
        auto config = m_deployment.config(5);
        config["limits"] = {{"maxHeaderBytes", max_header_bytes},
                            {"maxBodyBytes", max_body_bytes},
                            {"headerTimeoutMs", 30'000},
                            {"idleTimeoutMs", 60'000}};
        m_deployment.put_config(config);
        cr_assert(m_deployment.wait_ready());
    }

    gateway_deployment& deployment() { return m_deployment; }

    /// Runs a crowd of clients until it has nothing left to send, then checks the process, its
    /// memory and descriptors, and an ordinary call. The connections stay open meanwhile.
    void survives(std::size_t count, const client_script& script)
    {
        survives_at(m_deployment.address(), count, script);
    }

    /// The same with a crowd at another address of the gateway.
    void survives_at(const std::string& address, std::size_t count, const client_script& script)
    {
        hostile_clients crowd{address, count, script};
        std::size_t descriptors = 0;
        m_deployment.wait_until(
            [&]
            {
                crowd.step();
                descriptors =
                    std::max(descriptors, failures::open_descriptors(m_deployment.gateway().id()));
                return crowd.is_done() || m_deployment.gateway().has_ended();
            });
        m_deployment.run_for(response_time);
        descriptors =
            std::max(descriptors, failures::open_descriptors(m_deployment.gateway().id()));
        cr_assert(not m_deployment.gateway().has_ended(), "status %d",
                  m_deployment.gateway().status());
        const auto answer =
            m_deployment.call(m_deployment.request("/draft/x", "ordinary", "{}")).answer;
        cr_expect_eq(answer.body, events_text(1, last_event), "%d %s", answer.status,
                     answer.body.c_str());
        const auto memory_kb = failures::peak_memory_kb(m_deployment.gateway().id());
        cr_expect_lt(memory_kb, host_memory_mb * kb_per_mb, "%ld kB", static_cast<long>(memory_kb));
        cr_expect_lt(descriptors, host_descriptors, "%zu descriptors", descriptors);
    }

private:
    gateway_deployment m_deployment;
};

void never_answer(const io::http_request& /*request*/, const reply& /*out*/) {}

void answer_large(const io::http_request& request, const reply& out)
{
    out.write(whole_answer(request, 200, std::string(large_response_bytes, 'a')));
}

body_plan post(std::size_t chunk_bytes = 0, std::size_t missing = 1)
{
    return {"/act/x", caller_fields, max_body_bytes, chunk_bytes, missing};
}

std::string get(const std::string& path)
{
    return common::concat("GET ", path, " HTTP/1.1\r\n", caller_fields, "\r\n");
}

} // namespace

Test(gateway_hostile_clients, bodies_by_length_that_stop_short)
{
    small_host host{never_answer};
    host.survives(body_clients, {.bytes = to_text(post())});
}

Test(gateway_hostile_clients, bodies_by_length_in_pieces_that_stop_short)
{
    small_host host{never_answer};
    host.survives(body_clients, {.bytes = to_text(post()), .piece_bytes = 8192});
}

Test(gateway_hostile_clients, whole_bodies_that_no_target_answers)
{
    small_host host{never_answer};
    host.survives(body_clients, {.bytes = to_text(post(0, 0))});
}

Test(gateway_hostile_clients, chunks_of_one_byte_that_stop_short)
{
    small_host host{never_answer};
    host.survives(body_clients, {.bytes = to_text(post(1))});
}

Test(gateway_hostile_clients, chunks_of_a_megabyte_that_stop_short)
{
    small_host host{never_answer};
    host.survives(body_clients, {.bytes = to_text(post(max_body_bytes))});
}

Test(gateway_hostile_clients, bodies_after_expect_continue_that_stop_short)
{
    small_host host{never_answer};
    auto plan = post();
    plan.fields += "Expect: 100-continue\r\n";
    host.survives(body_clients, {.bytes = to_text(plan)});
}

Test(gateway_hostile_clients, bodies_announced_far_over_the_limit)
{
    small_host host{never_answer};
    const auto text = failures::shared_text(
        common::concat("POST /act/x HTTP/1.1\r\n", caller_fields,
                       "Content-Length: 100000000000\r\n\r\n", std::string(max_body_bytes, 'x')));
    host.survives(body_clients, {.bytes = text});
}

Test(gateway_hostile_clients, bodies_sent_far_over_the_limit)
{
    small_host host{never_answer};
    const auto head = common::concat("POST /act/x HTTP/1.1\r\n", caller_fields,
                                     "Transfer-Encoding: chunked\r\n\r\n");
    const auto chunk = io::to_chunk(std::string(65'536, 'x'));
    host.survives(body_clients, {.bytes = failures::shared_text(head + chunk),
                                 .repeat_from = head.size(),
                                 .total_bytes = 8 * max_body_bytes,
                                 .reads = false});
}

Test(gateway_hostile_clients, heads_of_many_small_fields_that_do_not_end)
{
    small_host host{never_answer};
    auto text = common::concat("GET /read/x HTTP/1.1\r\n", caller_fields);
    // Below the limit, which counts names and values.
    constexpr std::size_t fields = 7500;
    for (std::size_t i = 0; i < fields; ++i)
        text += "a:b\r\n";
    host.survives(400, {.bytes = failures::shared_text(std::move(text))});
}

Test(gateway_hostile_clients, more_connections_than_descriptors)
{
    small_host host{never_answer};
    host.survives(900, {.bytes = failures::shared_text("GET /read/x HTTP/1.1\r\nHost: ")});
}

Test(gateway_hostile_clients, bodies_for_the_probes_that_stop_short)
{
    small_host host{never_answer};
    host.survives_at(host.deployment().ready_address(), body_clients, {.bytes = to_text(post())});
}

Test(gateway_hostile_clients, more_connections_for_the_probes_than_descriptors)
{
    small_host host{never_answer};
    host.survives_at(host.deployment().ready_address(), 900,
                     {.bytes = failures::shared_text("GET /readyz HTTP/1.1\r\nHost: ")});
}

Test(gateway_hostile_clients, pipelined_requests_whose_responses_are_not_read)
{
    small_host host{answer_large};
    std::string text;
    for (int i = 0; i < 30; ++i)
        text += get("/read/x");
    host.survives(10, {.bytes = failures::shared_text(std::move(text)), .reads = false});
}

Test(gateway_hostile_clients, large_responses_that_are_not_read)
{
    small_host host{answer_large};
    host.survives(60, {.bytes = failures::shared_text(get("/read/x")), .reads = false});
}

Test(gateway_hostile_clients, one_body_at_the_limit_is_served)
{
    small_host host{[](const io::http_request& request, const reply& out) {
        out.write(whole_answer(request, 200, std::to_string(request.body.size())));
    }};
    auto& deployment = host.deployment();
    for (const std::size_t chunk_bytes : {std::size_t{0}, std::size_t{1}, max_body_bytes})
    {
        const auto text = to_text(post(chunk_bytes, 0));
        const auto answer = deployment.raw_call(*text, std::to_string(max_body_bytes));
        cr_expect(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
    }
}
