#include "deployment.hpp"

#include "common/hash.hpp"
#include "common/text.hpp"
#include "io/sse.hpp"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>

namespace kumquatgap::failures
{

using common::concat;
using common::milliseconds;
using nlohmann::json;

namespace
{

constexpr milliseconds longest_wait{30'000};
constexpr auto team_token = "test-team";
constexpr auto operator_token = "test-operator";

std::string program(const std::string& name)
{
    return concat(BINARY_ROOT, "/", name);
}

io::header_list caller_headers()
{
    return {{"Authorization", concat("Bearer ", team_token)}, {"Content-Type", "application/json"}};
}

/// What the stand-in engine hashes: the first message.
std::string first_message(const std::string& prompt)
{
    return json{{"role", "user"}, {"content", prompt}}.dump();
}

} // namespace

int outcome::code() const
{
    const auto value = json::parse(body, nullptr, false);
    if (!value.is_object() || !value.contains("error"))
        return 0;
    return value["error"].value("code", 0);
}

bool outcome::says_not_run() const
{
    const auto value = json::parse(body, nullptr, false);
    return code() != 0 && value["error"].value("not_run", false);
}

std::string outcome::text() const
{
    const auto whole = json::parse(body, nullptr, false);
    if (whole.is_object())
        return whole.contains("choices") ? whole["choices"][0]["message"].value("content", "") : "";
    std::string out;
    io::sse_splitter splitter;
    splitter.feed(body,
                  [&](std::string_view event)
                  {
                      const auto chunk = json::parse(io::parse_event(event).data, nullptr, false);
                      if (chunk.is_object() && chunk.contains("choices"))
                          out += chunk["choices"][0]["delta"].value("content", "");
                  });
    return out;
}

bool outcome::is_whole_stream() const
{
    return how == io::call_outcome::complete && body.ends_with("data: [DONE]\n\n");
}

deployment::deployment(plan p) : m_spreads_config{p.spreads_config}
{
    auto folder = (std::filesystem::temp_directory_path() / "kqg-test-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr)
        throw std::runtime_error{"no temporary folder"};
    m_folder = folder;

    m_addresses["store"] = free_address();
    start("store", {program("stand_in_store"), concat("--listen=", address("store"))});
    m_addresses["orders"] = free_address();
    start("orders", {program("stand_in_order_service"), concat("--listen=", address("orders"))});
    start_daemon("kqg-api", "api",
                 concat("[api]\noperator_token=", operator_token, "\nreader_token=reader\n",
                        p.api_settings));
    for (int i = 0; i < p.routers; ++i)
        start_daemon("kqg-router", concat("router-", i), "[router]\n" + p.router_settings);
    for (const auto& it : p.targets)
    {
        auto target_address = p.order_service_via.empty() ? address("orders") : p.order_service_via;
        if (it.service == "assistant")
        {
            target_address = free_address();
            m_addresses[it.name] = target_address;
            std::vector<std::string> command{program("stand_in_engine"),
                                             concat("--listen=", target_address)};
            command.insert(command.end(), p.engine_flags.begin(), p.engine_flags.end());
            start(it.name, command);
        }
        start_daemon("kqg-agent", "agent-" + it.name,
                     concat("[agent]\ntarget=", it.name, "\ntarget_address=", target_address, "\n",
                            p.agent_settings));
        if (p.relays)
            m_relays[it.name] =
                std::make_unique<relay>(m_loop, free_address(), address("agent-" + it.name));
    }
    apply_resources(p);
}

deployment::~deployment()
{
    if (std::getenv("KQG_SHOW_LOGS") != nullptr)
    {
        for (const auto& it : std::filesystem::directory_iterator{m_folder})
        {
            if (it.path().extension() == ".log")
                std::cerr << "==> " << it.path() << "\n" << std::ifstream{it.path()}.rdbuf();
        }
    }
    m_processes.clear();
    std::filesystem::remove_all(m_folder);
}

std::string deployment::common_settings(const std::string& host)
{
    std::string control;
    if (m_spreads_config && host != "api")
    {
        // Each daemon knows the first ones, in case the store is out when it starts.
        const auto address = m_addresses[host + "/control"] = free_address();
        if (m_seeds.size() < 2)
            m_seeds.push_back(address);
        control = concat("[control]\nlisten=", address, "\nseeds=", m_seeds.front(), ",",
                         m_seeds.back(), "\n");
    }
    return concat("[process]\nhost=", host,
                  "\ndata_centre=ub-1\ndeployment_token=secret\nlog_level=debug\n",
                  "[store]\naddress=", address("store"), "\ntimeout_ms=500\n", control);
}

void deployment::start(const std::string& name, std::vector<std::string> command)
{
    m_processes.emplace(name, process{command, m_folder + "/" + name + ".log"});
    m_commands[name] = std::move(command);
}

void deployment::start_daemon(const std::string& program_name, const std::string& name,
                              const std::string& settings)
{
    m_addresses[name] = free_address();
    const auto path = concat(m_folder, "/", name, ".ini");
    std::ofstream{path} << common_settings(name) << settings << "listen=" << address(name) << "\n";
    start(name, {program(program_name), concat("--config=", path)});
    if (name != "api")
        m_daemons.push_back(name);
}

void deployment::restart(const std::string& name)
{
    const auto command = m_commands.at(name);
    m_processes.at(name).kill();
    m_processes.erase(name);
    start(name, command);
}

void deployment::apply_resources(const plan& p)
{
    // The API takes no write before the store has started.
    const json team = {{"member", "tt"}, {"token_sha256", common::sha256_hex(team_token)}};
    if (!wait_until([&] { return put("team", "shop-1", team).status == 200; }))
        throw std::runtime_error{"the API and the store do not start"};
    put("service", "assistant",
        {{"type", "model"},
         {"model", "assistant"},
         {"echoes_request_id", true},
         {"deadline_ms", 20'000}});
    put("service", "orders",
        {{"type", "plain"},
         {"path", "/orders"},
         {"deadline_ms", 10'000},
         {"once_only", json::array({{{"method", "POST"}, {"path", "/orders"}}})}});
    if (m_spreads_config)
        std::ranges::for_each(m_daemons, [this](const auto& it) { list_host(it, "live"); });
    for (const auto& it : p.targets)
        put("target", it.name,
            {{"service", it.service},
             {"host", "agent-" + it.name},
             {"data_centre", "ub-1"},
             {"agent", p.relays ? m_relays.at(it.name)->address() : address("agent-" + it.name)},
             {"slots", it.slots}});
    if (!wait_for_config())
        throw std::runtime_error{"the configuration does not come into force"};
    // Agents can be ready before the targets beside them listen.
    for (const auto& it : p.targets)
    {
        const auto target = address(it.service == "assistant" ? it.name : "orders");
        if (!wait_until([&] { return call(target, {"GET", "/metrics"}).status != 0; }))
            throw std::runtime_error{"a target does not start"};
    }
}

std::shared_ptr<open_call> deployment::begin(const std::string& address,
                                             const io::http_request& request)
{
    auto out = std::make_shared<open_call>();
    out->handle =
        m_client.send(address, request,
                      {{},
                       [it = out.get()](std::string_view data) { it->so_far += data; },
                       [it = out.get()](io::call_outcome how, const io::http_response& answer)
                       {
                           it->result = {how, answer.status, it->so_far};
                           it->ended = true;
                       }},
                      {.silence_timeout = longest_wait, .reuse_connection = false});
    return out;
}

outcome deployment::call(const std::string& address, const io::http_request& request)
{
    const auto it = begin(address, request);
    wait_until([&] { return it->ended; });
    return it->result;
}

bool deployment::wait_until(const std::function<bool()>& condition)
{
    const auto end = common::now() + longest_wait;
    while (!condition())
    {
        if (common::now() > end)
            return false;
        run_for(milliseconds{2});
    }
    return true;
}

void deployment::run_for(milliseconds time)
{
    const auto timer = m_loop.after(time, [this] { m_loop.stop(); });
    m_loop.run();
}

outcome deployment::put(const std::string& kind, const std::string& name, const json& spec,
                        const std::string& version)
{
    const json body = {{"spec", spec}, {"resourceVersion", version}};
    auto out = call(address("api"), {"PUT",
                                     concat("/v1/", kind, "/", name),
                                     {},
                                     {{"Authorization", concat("Bearer ", operator_token)}},
                                     body.dump()});
    const auto value = json::parse(out.body, nullptr, false);
    if (out.status == 200)
        common::parse_number(value.value("resourceVersion", ""), m_last_version);
    return out;
}

outcome deployment::erase(const std::string& kind, const std::string& name)
{
    const io::header_list headers = {{"Authorization", concat("Bearer ", operator_token)}};
    const auto path = concat("/v1/", kind, "/", name);
    const auto found = json::parse(call(address("api"), {"GET", path, {}, headers}).body);
    const auto version = found.value("resourceVersion", "");
    return call(address("api"), {"DELETE", path, "resourceVersion=" + version, headers});
}

void deployment::list_host(const std::string& name, const std::string& state)
{
    const json value = {{"state", state},
                        {"data_centre", "ub-1"},
                        {"control_address", m_addresses[name + "/control"]}};
    const json body = {{"key", common::base64_encode("/kqg/hosts/" + name)},
                       {"value", common::base64_encode(value.dump())}};
    call(address("store"), {"POST", "/v3/kv/put", {}, {}, body.dump()});
}

bool deployment::wait_for_revision(const std::string& name, std::int64_t revision)
{
    return wait_until([&] { return metric(name, "kqg_config_revision") >= revision; });
}

void deployment::order_fault(const std::string& stand_in, const std::string& query)
{
    call(address(stand_in), {"POST", "/stand_in/fault", query});
}

std::map<std::string, int> deployment::executions()
{
    return json::parse(call(address("orders"), {"GET", "/stand_in/executions"}).body, nullptr,
                       false)
        .get<std::map<std::string, int>>();
}

std::int64_t deployment::metric(const std::string& name, const std::string& metric_name)
{
    const auto out = call(address(name), {"GET", "/metrics"});
    const auto at = out.body.find(metric_name + " ");
    if (out.status != 200 || at == std::string::npos)
        return -1;
    const auto begin = at + metric_name.size() + 1;
    std::int64_t n = -1;
    common::parse_number(
        std::string_view{out.body}.substr(begin, out.body.find('\n', begin) - begin), n);
    return n;
}

bool deployment::wait_for_config()
{
    return std::ranges::all_of(m_daemons, [this](const std::string& it)
                               { return wait_for_revision(it, m_last_version); });
}

io::http_request chat(const std::string& prompt, int tokens, bool streams)
{
    const json body = {{"model", "assistant"},
                       {"messages", json::array({{{"role", "user"}, {"content", prompt}}})},
                       {"max_tokens", tokens},
                       {"stream", streams}};
    return {"POST", "/v1/chat/completions", {}, caller_headers(), body.dump()};
}

std::string expected_text(const std::string& prompt, int tokens)
{
    std::string out;
    for (int n = 0; n < tokens; ++n)
        out += concat(
            "w", common::hash64(first_message(prompt), static_cast<std::uint64_t>(n)) % 1000, " ");
    return out;
}

io::http_request order(const std::string& id)
{
    auto headers = caller_headers();
    headers.add("Idempotency-Key", id);
    return {"POST", "/orders", {}, std::move(headers), json{{"order_id", id}}.dump()};
}

} // namespace kumquatgap::failures
