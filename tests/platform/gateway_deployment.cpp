#include "gateway_deployment.hpp"

#include "common/settings.hpp"
#include "common/text.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace kumquatgap::platform_tests
{

using common::milliseconds;
using nlohmann::json;

namespace
{

constexpr milliseconds max_wait{20'000};
constexpr milliseconds check_period{5};

std::string make_temp_directory()
{
    auto name = (std::filesystem::temp_directory_path() / "kqg-site-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error{"no temporary folder"};
    return name;
}

std::string read_file(const std::string& path)
{
    std::ifstream file{path};
    std::stringstream out;
    out << file.rdbuf();
    return out.str();
}

json route(const char* prefix, const char* kind, const char* service, int timeout_ms, int attempts)
{
    return {{"name", prefix},    {"host", "site.example"},  {"prefix", prefix},
            {"routeType", kind}, {"timeoutMs", timeout_ms}, {"goalMs", 200},
            {"priority", 1},     {"service", service},      {"maxAttempts", attempts},
            {"public", false},   {"streamResume", true},    {"gapTargetMs", 100}};
}

} // namespace

gateway_deployment::gateway_deployment(int gateways, bool own_store_relays,
                                       const std::string& regions)
    : m_directory{make_temp_directory()}, m_store{std::make_unique<stand_ins::platform_store>(
                                              m_loop, failures::free_address())}
{
    for (int i = 0; i < gateways; ++i)
    {
        m_addresses.push_back(failures::free_address());
        m_ready_addresses.push_back(failures::free_address());
        const auto path = common::concat(m_directory, "/gateway-", i, ".ini");
        auto store_address = m_store->address();
        if (own_store_relays)
        {
            m_store_relays.push_back(
                std::make_unique<failures::relay>(m_loop, failures::free_address(), store_address));
            store_address = m_store_relays.back()->address();
        }
        std::ofstream{path} << "[process]\nhost = gateway-" << i
                            << "\ndata_centre = a\nregions = " << regions
                            << "\nlog_level = debug\ndeployment_token = t\n"
                            << "[store]\naddress = " << store_address << "\ntimeout_ms = 800\n"
                            << "[control]\nlisten = " << failures::free_address() << "\n"
                            << "[gateway]\nlisten = " << m_addresses.back()
                            << "\nready_listen = " << m_ready_addresses.back()
                            << "\ngrace_ms = 6000\n"
                            << "[retries]\nratio = 0.2\nextra = 20\nwindow_ms = 10000\n";
        m_gateways.push_back(nullptr);
        start_gateway(static_cast<std::size_t>(i));
    }
}

gateway_deployment::~gateway_deployment()
{
    m_gateways.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

void gateway_deployment::start_gateway(std::size_t i)
{
    m_gateways[i] = std::make_unique<failures::process>(
        std::vector<std::string>{std::string{BINARY_FOLDER} + "/kqg-gateway",
                                 common::concat("--config=", m_directory, "/gateway-", i, ".ini")},
        common::concat(m_directory, "/gateway-", i, ".log"));
}

void gateway_deployment::restart_gateway(std::size_t i)
{
    m_gateways[i].reset();
    start_gateway(i);
}

void gateway_deployment::change_settings(const std::string& old_text, const std::string& new_text,
                                         std::size_t i)
{
    const auto path = common::concat(m_directory, "/gateway-", i, ".ini");
    auto text = read_file(path);
    const auto at = text.find(old_text);
    if (at == std::string::npos)
        throw std::runtime_error{"the settings have no " + old_text};
    std::ofstream{path} << text.replace(at, old_text.size(), new_text);
}

std::string gateway_deployment::log(std::size_t i) const
{
    return read_file(common::concat(m_directory, "/gateway-", i, ".log"));
}

stand_ins::scripted_target& gateway_deployment::add_target(const std::string& id,
                                                           const std::string& service,
                                                           stand_ins::scripted_target::script fn,
                                                           const std::string& data_centre)
{
    m_targets.push_back(std::make_unique<stand_ins::scripted_target>(
        m_loop, failures::free_address(), std::move(fn)));
    put_entry(id, service, m_targets.back()->address(), "ready", data_centre);
    return *m_targets.back();
}

void gateway_deployment::put_entry(const std::string& id, const std::string& service,
                                   const std::string& address, const std::string& state,
                                   const std::string& data_centre)
{
    const json it = {{"service", service},   {"address", address}, {"zone", data_centre},
                     {"version", "v1"},      {"slots", 2},         {"state", state},
                     {"coldRemainingMs", 0}, {"sequence", 1}};
    m_store->put("servers/" + id, it.dump());
}

json gateway_deployment::config(std::int64_t version) const
{
    return {{"version", version},
            {"routes",
             {route("/read/", "safe", "plain", 2000, 2), route("/act/", "unsafe", "plain", 900, 1),
              route("/draft/", "streaming", "engine", 6000, 2)}},
            {"services",
             {{{"name", "plain"}, {"healthPath", "/health"}, {"maxConnections", 50}},
              {{"name", "engine"}, {"healthPath", "/health"}, {"maxConnections", 50}}}},
            {"limits",
             {{"maxHeaderBytes", 4096},
              {"maxBodyBytes", 100000},
              {"headerTimeoutMs", 700},
              {"idleTimeoutMs", 5000}}},
            {"tenants", {{{"name", "shop"}, {"apiKeys", {"key-1", "key-2"}}}}}};
}

void gateway_deployment::put_config(const json& it)
{
    m_store->put("op/config", it.dump());
}

bool gateway_deployment::is_ready(std::size_t i)
{
    return admin_call("/readyz", i).answer.status == 200;
}

std::string gateway_deployment::metrics(std::size_t i)
{
    return admin_call("/metrics", i).answer.body;
}

outcome gateway_deployment::admin_call(const std::string& path, std::size_t i)
{
    outcome out;
    const auto handle =
        m_client.send(m_ready_addresses.at(i), {"GET", path, {}, {}, {}},
                      {.on_end = [&](io::call_outcome how, const io::http_response& a) {
                          out = {true, how, a};
                      }});
    wait_until([&] { return out.ended; });
    return out;
}

bool gateway_deployment::wait_ready(std::size_t i)
{
    return wait_until([&] { return is_ready(i); });
}

io::http_request gateway_deployment::request(const std::string& path, const std::string& id,
                                             const std::string& body) const
{
    return {path.starts_with("/read/") ? "GET" : "POST",
            path,
            {},
            {{"Host", "site.example"},
             {"X-Request-Id", id},
             {"X-Deadline-Ms", "5000"},
             {"Authorization", "Bearer key-1"}},
            body};
}

std::shared_ptr<open_call> gateway_deployment::begin(const io::http_request& it, std::size_t i,
                                                     io::call_options how)
{
    auto out = std::make_shared<open_call>();
    out->handle = m_client.send(
        m_addresses.at(i), it,
        {.on_data = [raw = out.get()](std::string_view bytes) { raw->so_far += bytes; },
         .on_end =
             [raw = out.get()](io::call_outcome end, const io::http_response& answer)
         {
             raw->result = {true, end, answer};
             raw->result.answer.body = raw->so_far;
         }},
        std::move(how));
    return out;
}

outcome gateway_deployment::call(const io::http_request& it, std::size_t i)
{
    const auto open = begin(it, i);
    wait_until([&] { return open->result.ended; });
    return open->result;
}

std::string gateway_deployment::raw_call(std::string_view bytes, std::string_view end,
                                         std::size_t i)
{
    const auto fd = open_connection(i);
    std::string out;
    if (::send(*fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == std::ssize(bytes))
    {
        wait_until(
            [&]
            {
                std::array<char, 4096> buf{};
                const auto n = ::recv(*fd, buf.data(), buf.size(), MSG_DONTWAIT);
                if (n > 0)
                    out.append(buf.data(), static_cast<std::size_t>(n));
                return n == 0 || out.ends_with(end);
            });
    }
    return out;
}

std::shared_ptr<const int> gateway_deployment::open_connection(std::size_t i) const
{
    const auto at = common::parse_address(m_addresses.at(i));
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &peer.sin_addr);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0)
        throw std::runtime_error{"the gateway takes no connection"};
    return {new int{fd}, [](const int* it)
            {
                ::close(*it);
                delete it;
            }};
}

bool gateway_deployment::wait_until(const std::function<bool()>& condition)
{
    const auto start = common::now();
    while (!condition())
    {
        if (common::now() - start > max_wait)
            return false;
        run_for(check_period);
    }
    return true;
}

void gateway_deployment::run_for(milliseconds time)
{
    const auto timer = m_loop.after(time, [this] { m_loop.stop(); });
    m_loop.run();
}

} // namespace kumquatgap::platform_tests
