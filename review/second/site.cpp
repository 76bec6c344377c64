#include "site.hpp"

#include "common/settings.hpp"
#include "common/text.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace kumquatgap::review
{

using nlohmann::json;

namespace
{

constexpr milliseconds check_period{5};
constexpr auto zones = std::to_array<const char*>({"ub-east", "ub-west", "ub-south"});

std::string read_file(const std::string& path)
{
    std::ifstream file{path};
    if (!file)
        throw std::runtime_error{"can't read " + path};
    std::stringstream out;
    out << file.rdbuf();
    return out.str();
}

/// A port of this loopback address that nothing listens on.
std::string free_address_on(const std::string& ip)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in own{};
    own.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &own.sin_addr);
    socklen_t size = sizeof own;
    const bool is_bound = ::bind(fd, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0 &&
                          ::getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size) == 0;
    ::close(fd);
    if (!is_bound)
        throw std::runtime_error{"no free port on " + ip};
    return common::concat(ip, ":", ntohs(own.sin_port));
}

/// Fills in a settings template as the platform does.
std::string fill_in(std::string text, const replacements& fields)
{
    for (const auto& [name, value] : fields)
    {
        for (auto at = text.find(name); at != std::string::npos; at = text.find(name))
            text.replace(at, name.size(), value);
    }
    if (text.find("{{") != std::string::npos)
        throw std::runtime_error{"the template has a field that this case does not know"};
    return text;
}

json route(const char* prefix, const char* kind, const char* service, int timeout_ms, int attempts)
{
    const bool is_stream = std::string_view{kind} == "streaming";
    json out = {{"name", prefix},    {"host", "shop.example"},  {"prefix", prefix},
                {"routeType", kind}, {"timeoutMs", timeout_ms}, {"goalMs", is_stream ? 500 : 150},
                {"priority", 1},     {"service", service},      {"maxAttempts", attempts},
                {"public", false}};
    if (is_stream)
    {
        out["streamResume"] = true;
        out["gapTargetMs"] = 120;
    }
    return out;
}

} // namespace

site::site(options how)
    : m_record{"record.txt"}, m_directory{make_temp_directory()},
      m_store{std::make_unique<stand_ins::platform_store>(m_loop, failures::free_address())}
{
    for (int i = 0; i < how.gateways; ++i)
    {
        auto store_address = m_store->address();
        if (how.has_store_relays)
        {
            m_store_relays.push_back(
                std::make_unique<failures::relay>(m_loop, failures::free_address(), store_address));
            store_address = m_store_relays.back()->address();
        }
        start_gateway(store_address);
    }
}

site::~site()
{
    m_gateways.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

void site::start_gateway(const std::string& store_address)
{
    const auto n = m_gateways.size();
    const auto* zone = zones.at(n % zones.size());
    const auto name = common::concat("front-", zone, "-", n / zones.size() + 1);
    const auto ip = common::concat("127.0.1.", n + 1);
    m_names.push_back(name);
    m_fronts.push_back(free_address_on(ip));
    m_ready_addresses.push_back(free_address_on(ip));
    const auto control = common::parse_address(free_address_on(ip));
    const auto metrics = common::parse_address(free_address_on(ip));
    const auto settings = fill_in(read_file("../../deploy/gateway.ini"),
                                  {{"{{nodeName}}", name},
                                   {"{{zone}}", zone},
                                   {"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}",
                                    "ub-east:ulaanbaatar,ub-west:ulaanbaatar,ub-south:ulaanbaatar"},
                                   {"{{limits.memoryMb}}", "260"},
                                   {"{{limits.maxFds}}", "4100"},
                                   {"{{platform.address}}", store_address},
                                   {"{{internalPorts.0}}", common::concat(control.port)},
                                   {"{{listen.front}}", m_fronts.back()},
                                   {"{{listen.ready}}", m_ready_addresses.back()},
                                   {"{{ip}}:9464", common::concat(ip, ":", metrics.port)},
                                   {"{{ip}}", ip},
                                   {"{{bounds.graceS}}", "8"},
                                   {"{{bounds.budgetRatio}}", "0.2"},
                                   {"{{bounds.budgetExtra}}", "92"},
                                   {"{{bounds.budgetWindowS}}", "10"}});
    const auto path = common::concat(m_directory, "/", name, ".ini");
    std::ofstream{path} << settings;
    m_gateways.push_back(std::make_unique<failures::process>(
        std::vector<std::string>{"../../target/bin/kqg-gateway", "--config=" + path},
        common::concat(m_directory, "/", name, ".log")));
    record(common::concat("gateway ", name, " started at ", m_fronts.back()));
}

scripted_target& site::add_runner(const std::string& id, const std::string& service,
                                  scripted_target::script fn, const std::string& zone)
{
    m_runners.push_back(
        std::make_unique<scripted_target>(m_loop, failures::free_address(), std::move(fn)));
    const auto& address = m_runners.back()->address();
    m_store->put("servers/" + id, entry(service, address, zone).dump());
    record(common::concat("runner ", id, " of ", service, " started at ", address));
    return *m_runners.back();
}

json site::entry(const std::string& service, const std::string& address, const std::string& zone)
{
    return {{"service", service},   {"address", address}, {"zone", zone},
            {"version", "v1"},      {"slots", 12},        {"state", "ready"},
            {"coldRemainingMs", 0}, {"sequence", 1},      {"born", 1'790'000'000'000}};
}

json site::config(std::int64_t version)
{
    return {{"version", version},
            {"routes",
             {route("/draft/", "streaming", "kumquat-pool", 8000, 2),
              route("/reserve/", "unsafe", "order-desk", 800, 1),
              route("/stock/", "safe", "order-desk", 800, 2)}},
            {"services",
             {{{"name", "kumquat-pool"}, {"healthPath", "/health"}, {"maxConnections", 258}},
              {{"name", "order-desk"}, {"healthPath", "/health"}, {"maxConnections", 110}}}},
            {"limits",
             {{"maxHeaderBytes", 8192},
              {"maxBodyBytes", 4'194'304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15'000}}},
            {"tenants",
             {{{"name", "shop-1"}, {"apiKeys", {"key-1"}}},
              {{"name", "shop-2"}, {"apiKeys", {"key-2"}}}}}};
}

void site::put_config(const json& it)
{
    m_store->put("op/config", it.dump());
    record(common::concat("operator: configuration ", it.at("version").get<std::int64_t>(),
                          " written and confirmed"));
}

io::http_response site::admin_call(std::size_t i, const std::string& path)
{
    bool ended = false;
    io::http_response out;
    const auto handle =
        m_client.send(m_ready_addresses.at(i), {"GET", path, {}, {}, {}},
                      {.on_end = [&](io::call_outcome /*how*/, const io::http_response& answer)
                       {
                           ended = true;
                           out = answer;
                       }});
    wait_until([&] { return ended; });
    return out;
}

bool site::is_ready(std::size_t i)
{
    return admin_call(i, "/readyz").status == 200;
}

std::string site::metrics(std::size_t i)
{
    return admin_call(i, "/metrics").body;
}

bool site::wait_ready()
{
    for (std::size_t i = 0; i < m_gateways.size(); ++i)
    {
        if (!wait_until([&] { return is_ready(i); }))
            return false;
    }
    record("all gateways are ready");
    return true;
}

io::http_request site::request(const std::string& path, const std::string& id,
                               const std::string& body, const std::string& deadline_ms)
{
    return {path.starts_with("/stock/") ? "GET" : "POST",
            path,
            {},
            {{"Host", "shop.example"},
             {"X-Request-Id", id},
             {"X-Deadline-Ms", deadline_ms},
             {"Authorization", "Bearer key-1"}},
            body};
}

call_ptr site::send(const io::http_request& it, std::size_t i)
{
    auto out = std::make_shared<requester_call>();
    out->id = it.headers.find("x-request-id");
    out->path = it.path;
    out->sent_at = common::now();
    record(common::concat("requester: ", out->id, " ", it.method, " ", it.path, " sent to ",
                          m_names.at(i)));
    out->handle = m_client.send(
        m_fronts.at(i), it,
        {.on_head =
             [raw = out.get()](const io::http_response& head)
         {
             raw->head = head;
             raw->status = head.status;
         },
         .on_data = [raw = out.get()](std::string_view bytes) { raw->body += bytes; },
         .on_end =
             [this, raw = out.get()](io::call_outcome how, const io::http_response& answer)
         {
             raw->ended = true;
             raw->ended_at = common::now();
             raw->how = how;
             raw->status = answer.status;
             record(common::concat("requester: ", raw->id, " ended after ",
                                   (raw->ended_at - raw->sent_at).count(),
                                   " ms: ", io::name_of(how), ", status ", answer.status, ", ",
                                   raw->body.size(), " bytes"));
         }});
    return out;
}

bool site::wait_until(const std::function<bool()>& condition, milliseconds limit)
{
    const auto start = common::now();
    while (!condition())
    {
        if (common::now() - start > limit)
            return false;
        run_for(check_period);
    }
    return true;
}

void site::run_for(milliseconds time)
{
    const auto timer = m_loop.after(time, [this] { m_loop.stop(); });
    m_loop.run();
}

void site::record(const std::string& text)
{
    m_record << elapsed().count() << " ms  " << text << std::endl;
}

std::string filled_template(const std::string& path, const replacements& fields)
{
    return fill_in(read_file(path), fields);
}

std::string make_temp_directory()
{
    auto name = (std::filesystem::temp_directory_path() / "kqg-review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error{"no temporary folder"};
    return name;
}

bool has_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view{text} != "0";
}

int run_case(const std::function<verdict()>& fn)
{
    auto out = verdict::could_not_run;
    try
    {
        out = fn();
    }
    catch (const std::exception& e)
    {
        std::cerr << "the case could not run: " << e.what() << "\n";
    }
    constexpr auto names = std::to_array<const char*>({"held", "broken", "not checked"});
    std::cout << "the rule: " << names.at(static_cast<std::size_t>(out)) << "\n";
    return static_cast<int>(out);
}

} // namespace kumquatgap::review
