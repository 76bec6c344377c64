#include "deployment.hpp"
#include "hostile_clients.hpp"

#include "common/text.hpp"
#include "io/http_codec.hpp"
#include "protocol/agent_call.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

/// Guards against callers that make the router, an agent or the API run out of memory or
/// descriptors.
using namespace kumquatgap;
using namespace kumquatgap::failures;

namespace
{

/// The limits of a daemon's host, as its settings name them.
constexpr std::int64_t host_memory_mb = 64;
constexpr std::size_t host_descriptors = 512;
constexpr std::int64_t kb_per_mb = 1024;
constexpr std::size_t body_bytes = 1'000'000;
constexpr std::size_t body_clients = 150;
constexpr common::milliseconds response_time{1000};

constexpr auto host_settings = "[process]\nmemory_mb = 64\nmax_fds = 512\n";

/// A daemon of the deployment, and the requests that its callers send.
struct daemon_case
{
    const char* name;
    std::string path;
    std::string fields;
};

daemon_case router_case()
{
    return {"router-0", "/v1/chat/completions", "Host: h\r\nAuthorization: Bearer test-team\r\n"};
}

daemon_case agent_case()
{
    return {"agent-engine-a", std::string{protocol::call_path},
            "Host: h\r\nAuthorization: Bearer secret\r\n"};
}

daemon_case api_case()
{
    return {"api", "/v1/team/shop-2", "Host: h\r\nAuthorization: Bearer test-operator\r\n"};
}

plan small_hosts()
{
    plan out;
    out.targets = {{"engine-a", "assistant"}};
    out.router_settings = common::concat(host_settings, "[router]\n");
    out.agent_settings = common::concat(host_settings, "[agent]\n");
    out.api_settings = common::concat(host_settings, "[api]\n");
    return out;
}

/// Sends an ordinary request to a daemon, to an agent through the router; true when it is answered.
bool answers(deployment& d, const std::string& name)
{
    if (name == "api")
        return d.put("team", "shop-3", {{"member", "tt"}, {"token_sha256", std::string(64, 'a')}})
                   .status == 200;
    const auto out = d.call(d.address("router-0"), chat("ordinary", 3, false));
    return out.text() == expected_text("ordinary", 3);
}

/// Runs a crowd of clients until it has nothing left to send, then checks the process, its memory
/// and descriptors, and an ordinary request. The connections stay open meanwhile.
void survives(const daemon_case& daemon, std::size_t count, const client_script& script)
{
    deployment d{small_hosts()};
    hostile_clients crowd{d.address(daemon.name), count, script};
    auto& process = d.at(daemon.name);
    std::size_t descriptors = 0;
    d.wait_until(
        [&]
        {
            crowd.step();
            descriptors = std::max(descriptors, open_descriptors(process.id()));
            return crowd.is_done() || process.has_ended();
        });
    d.run_for(response_time);
    descriptors = std::max(descriptors, open_descriptors(process.id()));
    cr_assert(not process.has_ended(), "%s: status %d", daemon.name, process.status());
    cr_expect(answers(d, daemon.name), "%s: no answer", daemon.name);
    cr_expect_lt(peak_memory_kb(process.id()), host_memory_mb * kb_per_mb, "%s: %ld kB",
                 daemon.name, static_cast<long>(peak_memory_kb(process.id())));
    cr_expect_lt(descriptors, host_descriptors, "%s: %zu descriptors", daemon.name, descriptors);
}

client_script short_bodies(const daemon_case& it, std::size_t chunk_bytes)
{
    return {.bytes = to_text({it.path, it.fields, body_bytes, chunk_bytes, 1})};
}

client_script bodies_after_expect(const daemon_case& it)
{
    return {.bytes = to_text({it.path, it.fields + "Expect: 100-continue\r\n", body_bytes, 0, 1})};
}

client_script bodies_over_the_limit(const daemon_case& it)
{
    const auto head = common::concat("POST ", it.path, " HTTP/1.1\r\n", it.fields,
                                     "Transfer-Encoding: chunked\r\n\r\n");
    return {.bytes = shared_text(head + io::to_chunk(std::string(65'536, 'x'))),
            .repeat_from = head.size(),
            .total_bytes = 8 * body_bytes,
            .reads = false};
}

client_script endless_heads(const daemon_case& it)
{
    auto text = common::concat("GET ", it.path, " HTTP/1.1\r\n", it.fields);
    // Below the limit, which counts names and values.
    constexpr int fields = 7500;
    for (int i = 0; i < fields; ++i)
        text += "a:b\r\n";
    return {.bytes = shared_text(std::move(text))};
}

client_script no_request()
{
    return {.bytes = shared_text("GET / HTTP/1.1\r\nHost: ")};
}

/// Well-formed completion requests whose prompts take up to the limit.
client_script whole_prompts(const daemon_case& it)
{
    const auto body = chat(std::string(body_bytes, 'p'), 100, false).body;
    return {.bytes =
                shared_text(common::concat("POST ", it.path, " HTTP/1.1\r\n", it.fields,
                                           "Content-Length: ", body.size(), "\r\n\r\n", body))};
}

/// JSON that takes many times its bytes once it is parsed.
client_script nested_lists(const daemon_case& it)
{
    std::string list = "[0";
    while (list.size() < body_bytes)
        list += ",[]";
    const auto body = common::concat(R"({"model":"assistant","messages":[{}],"x":)", list, "]}");
    return {.bytes =
                shared_text(common::concat("POST ", it.path, " HTTP/1.1\r\n", it.fields,
                                           "Content-Length: ", body.size(), "\r\n\r\n", body))};
}

} // namespace

Test(router_hostile_clients, bodies_by_length_that_stop_short)
{
    survives(router_case(), body_clients, short_bodies(router_case(), 0));
}

Test(router_hostile_clients, chunks_of_one_byte_that_stop_short)
{
    survives(router_case(), body_clients, short_bodies(router_case(), 1));
}

Test(router_hostile_clients, chunks_of_a_megabyte_that_stop_short)
{
    survives(router_case(), body_clients, short_bodies(router_case(), body_bytes));
}

Test(router_hostile_clients, bodies_after_expect_continue)
{
    survives(router_case(), body_clients, bodies_after_expect(router_case()));
}

Test(router_hostile_clients, bodies_sent_far_over_the_limit)
{
    survives(router_case(), body_clients, bodies_over_the_limit(router_case()));
}

Test(router_hostile_clients, heads_that_do_not_end)
{
    survives(router_case(), 400, endless_heads(router_case()));
}

Test(router_hostile_clients, more_connections_than_descriptors)
{
    survives(router_case(), 900, no_request());
}

Test(router_hostile_clients, whole_prompts_at_the_limit)
{
    survives(router_case(), body_clients, whole_prompts(router_case()));
}

Test(router_hostile_clients, bodies_that_grow_when_parsed)
{
    survives(router_case(), 30, nested_lists(router_case()));
}

Test(agent_hostile_clients, bodies_by_length_that_stop_short)
{
    survives(agent_case(), body_clients, short_bodies(agent_case(), 0));
}

Test(agent_hostile_clients, chunks_of_one_byte_that_stop_short)
{
    survives(agent_case(), body_clients, short_bodies(agent_case(), 1));
}

Test(agent_hostile_clients, heads_that_do_not_end)
{
    survives(agent_case(), 400, endless_heads(agent_case()));
}

Test(agent_hostile_clients, more_connections_than_descriptors)
{
    survives(agent_case(), 900, no_request());
}

Test(api_hostile_clients, bodies_by_length_that_stop_short)
{
    survives(api_case(), body_clients, short_bodies(api_case(), 0));
}

Test(api_hostile_clients, chunks_of_one_byte_that_stop_short)
{
    survives(api_case(), body_clients, short_bodies(api_case(), 1));
}

Test(api_hostile_clients, heads_that_do_not_end)
{
    survives(api_case(), 400, endless_heads(api_case()));
}

Test(api_hostile_clients, more_connections_than_descriptors)
{
    survives(api_case(), 900, no_request());
}
