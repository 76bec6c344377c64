#include "deployment.hpp"

#include "common/settings.hpp"
#include "common/text.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <regex>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace kumquatgap::review
{

using nlohmann::json;

namespace
{

constexpr milliseconds start_limit{15'000};
constexpr milliseconds check_period{5};

std::string read_file(const std::string& path)
{
    std::ifstream file{path};
    if (!file)
        throw std::runtime_error{"can't read " + path};
    std::stringstream out;
    out << file.rdbuf();
    return out.str();
}

std::string make_temp_directory()
{
    auto name = (std::filesystem::temp_directory_path() / "kqg-review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error{"no temporary folder"};
    return name;
}

void replace_all(std::string& text, const std::string& from, const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

/// The settings of one process: the deploy file's template with figures of tuuz-router's sheet.
std::string make_settings(const std::string& settings_template,
                          const std::map<std::string, std::string>& own)
{
    auto text = read_file(settings_template);
    replace_all(text,
                "{{#bounds.requireFencing}}true{{/bounds.requireFencing}}"
                "{{^bounds.requireFencing}}false{{/bounds.requireFencing}}",
                "true");
    replace_all(text, "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}",
                "ub-east:ulaanbaatar,ub-west:ulaanbaatar,ub-south:ulaanbaatar");
    std::map<std::string, std::string> values{
        {"zone", "ub-east"},           {"limits.memoryMb", "260"},    {"limits.maxFds", "4100"},
        {"bounds.graceS", "8"},        {"bounds.budgetRatio", "0.2"}, {"bounds.budgetExtra", "92"},
        {"bounds.budgetWindowS", "10"}};
    values.insert(own.begin(), own.end());
    for (const auto& [name, value] : values)
        replace_all(text, "{{" + name + "}}", value);
    if (text.find("{{") != std::string::npos)
        throw std::runtime_error{"the template has a field that this case does not know"};
    return text;
}

/// The command of a role in the deploy file, with another settings file.
std::vector<std::string> command_of(const std::string& role, const std::string& settings)
{
    const auto deploy = read_file("deploy/system.toml");
    std::smatch found;
    const std::regex pattern{"\\[roles\\." + role + "\\]\\s*run = \"([^\"]*)\""};
    if (!std::regex_search(deploy, found, pattern))
        throw std::runtime_error{"the deploy file names no command for " + role};
    std::istringstream words{found[1].str()};
    std::vector<std::string> out;
    for (std::string word; words >> word;)
        out.push_back(word.starts_with("--config=") ? "--config=" + settings : word);
    return out;
}

} // namespace

json make_route(const std::string& prefix, const std::string& kind, const std::string& service,
                int timeout_ms, int max_attempts)
{
    return {{"name", prefix},
            {"host", "shop.example"},
            {"prefix", prefix},
            {"routeType", kind},
            {"timeoutMs", timeout_ms},
            {"goalMs", kind == "streaming" ? 500 : 150},
            {"priority", 1},
            {"service", service},
            {"maxAttempts", max_attempts},
            {"public", false},
            {"streamResume", kind == "streaming"},
            {"gapTargetMs", 120}};
}

sequential_target::sequential_target(io::event_loop& loop, std::string address, script fn)
    : m_script{std::move(fn)}, m_target{loop, std::move(address),
                                        [this](const io::http_request& request, const reply& out)
                                        { accept(request, out); }}
{
}

void sequential_target::accept(const io::http_request& request, const reply& out)
{
    const void* connection = out.connection.lock().get();
    auto& waiting = m_open[connection];
    waiting.push_back({request, out});
    if (waiting.size() == 1)
        run_next(connection);
}

void sequential_target::run_next(const void* connection)
{
    const auto found = m_open.find(connection);
    if (found == m_open.end())
        return;
    if (found->second.empty())
    {
        m_open.erase(found);
        return;
    }
    const auto it = found->second.front();
    // A target drops a request whose connection has been closed.
    if (!it.out.is_open())
    {
        found->second.pop_front();
        return run_next(connection);
    }
    m_script(it.request, it.out,
             [this, connection]
             {
                 const auto done = m_open.find(connection);
                 if (done == m_open.end())
                     return;
                 done->second.pop_front();
                 run_next(connection);
             });
}

small_deployment::small_deployment(const case_options& options, int gateways)
    : m_directory{make_temp_directory()}, m_record{options.folder + "/record.txt"},
      m_started_at{common::now()}, m_store{std::make_unique<stand_ins::platform_store>(
                                       m_loop, failures::free_address())}
{
    ::setenv("KQG_STORE_APPLY_MS", "2000", 1);
    for (int i = 0; i < gateways; ++i)
    {
        m_addresses.push_back(failures::free_address());
        m_ready_addresses.push_back(failures::free_address());
        const auto control = failures::free_address();
        const auto metrics = failures::free_address();
        const auto path = common::concat(m_directory, "/gateway-", i, ".ini");
        auto text = make_settings("deploy/gateway.ini",
                                  {{"nodeName", common::concat("front-ub-east-", i + 1)},
                                   {"platform.address", m_store->address()},
                                   {"listen.front", m_addresses.back()},
                                   {"listen.ready", m_ready_addresses.back()},
                                   {"ip", "127.0.0.1"},
                                   {"internalPorts.0", control.substr(control.find(':') + 1)}});
        // All gateways share one loopback address, so each gets a metrics port of its own.
        replace_all(text, "metrics_listen = 127.0.0.1:9464", "metrics_listen = " + metrics);
        std::ofstream{path} << text;
        m_gateways.push_back(std::make_unique<failures::process>(
            command_of("gateway", path), common::concat(m_directory, "/gateway-", i, ".log")));
    }
}

small_deployment::~small_deployment()
{
    m_gateways.clear();
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

void small_deployment::add_target(const std::string& id, const std::string& service, int slots,
                                  sequential_target::script fn)
{
    m_targets.push_back(
        std::make_unique<sequential_target>(m_loop, failures::free_address(), std::move(fn)));
    const json entry = {{"service", service},   {"address", m_targets.back()->address()},
                        {"zone", "ub-east"},    {"version", "v1"},
                        {"slots", slots},       {"state", "ready"},
                        {"coldRemainingMs", 0}, {"born", 1'796'000'000'000},
                        {"sequence", 1}};
    m_store->put("servers/" + id, entry.dump());
}

bool small_deployment::start_serving(const json& routes)
{
    json services = json::array();
    for (const auto* name : {"order-desk", "kumquat-pool"})
        services.push_back({{"name", name}, {"healthPath", "/health"}, {"maxConnections", 110}});
    const json config = {{"version", 7},
                         {"routes", routes},
                         {"services", services},
                         {"limits",
                          {{"maxHeaderBytes", 8192},
                           {"maxBodyBytes", 4'194'304},
                           {"headerTimeoutMs", 2000},
                           {"idleTimeoutMs", 20'000}}},
                         {"tenants", {{{"name", "shop-1"}, {"apiKeys", {"key-1"}}}}}};
    m_store->put("op/config", config.dump());
    return wait_until(
        [this]
        {
            for (std::size_t i = 0; i < size(); ++i)
            {
                if (!is_ready(i))
                    return false;
            }
            return true;
        },
        start_limit);
}

bool small_deployment::is_ready(std::size_t gateway)
{
    bool has_ended = false;
    int status = 0;
    // The platform's readiness question.
    const auto call =
        m_client.send(m_ready_addresses.at(gateway), {"GET", "/readyz", {}, {}, {}},
                      {.on_end = [&](io::call_outcome /*how*/, const io::http_response& a)
                       {
                           has_ended = true;
                           status = a.status;
                       }});
    constexpr milliseconds answer_limit{1000};
    wait_until([&] { return has_ended; }, answer_limit);
    return status == 200;
}

void small_deployment::run_for(milliseconds time)
{
    const auto timer = m_loop.after(time, [this] { m_loop.stop(); });
    m_loop.run();
}

bool small_deployment::wait_until(const std::function<bool()>& condition, milliseconds longest)
{
    const auto start = common::now();
    while (!condition())
    {
        if (common::now() - start > longest)
            return false;
        run_for(check_period);
    }
    return true;
}

io::http_request small_deployment::make_request(const std::string& method, const std::string& path,
                                                const std::string& id, int deadline_ms,
                                                const std::string& body)
{
    return {method,
            path,
            {},
            {{"Host", "shop.example"},
             {"X-Request-Id", id},
             {"X-Deadline-Ms", std::to_string(deadline_ms)},
             {"Authorization", "Bearer key-1"}},
            body};
}

void small_deployment::record(const std::string& line)
{
    m_record << (common::now() - m_started_at).count() << " ms " << line << std::endl;
}

rank_deployment::rank_deployment(const case_options& options)
    : m_directory{make_temp_directory()}, m_record{options.folder + "/record.txt"},
      m_started_at{common::now()}, m_store{m_loop, failures::free_address()}
{
}

rank_deployment::~rank_deployment()
{
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

std::unique_ptr<failures::process> rank_deployment::start_agent(const std::string& name,
                                                                const std::string& control_address,
                                                                const std::string& target)
{
    auto text =
        make_settings("deploy/rank_agent.ini",
                      {{"nodeName", name},
                       {"limits.memoryMb", "128"},
                       {"limits.maxFds", "2048"},
                       {"limits.linkMbps", "20"},
                       {"platform.address", m_store.address()},
                       {"ip", "127.0.0.1"},
                       {"internalPorts.0", control_address.substr(control_address.find(':') + 1)},
                       {"app", target},
                       {"service", "kumquat-pool"}});
    replace_all(text, "metrics_listen = 127.0.0.1:9464",
                "metrics_listen = " + failures::free_address());
    const auto path = common::concat(m_directory, "/", name, ".ini");
    std::ofstream{path} << text;
    return std::make_unique<failures::process>(command_of("rank", path),
                                               common::concat(m_directory, "/", name, ".log"));
}

void rank_deployment::run_for(milliseconds time)
{
    const auto timer = m_loop.after(time, [this] { m_loop.stop(); });
    m_loop.run();
}

bool rank_deployment::wait_until(const std::function<bool()>& condition, milliseconds longest)
{
    const auto start = common::now();
    while (!condition())
    {
        if (common::now() - start > longest)
            return false;
        run_for(check_period);
    }
    return true;
}

void rank_deployment::record(const std::string& line)
{
    m_record << (common::now() - m_started_at).count() << " ms " << line << std::endl;
}

raw_connection::raw_connection(const std::string& address, int receive_buffer)
    : m_fd{::socket(AF_INET, SOCK_STREAM, 0)}
{
    if (receive_buffer > 0)
        ::setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const auto at = common::parse_address(address);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &peer.sin_addr);
    m_is_connected = ::connect(m_fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) == 0;
}

raw_connection::~raw_connection()
{
    ::close(m_fd);
}

bool raw_connection::send(std::string_view bytes) const
{
    return ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == std::ssize(bytes);
}

void raw_connection::read(std::size_t most)
{
    std::string buf(most, '\0');
    while (most > 0 && !m_has_ended)
    {
        const auto n = ::recv(m_fd, buf.data(), most, MSG_DONTWAIT);
        if (n > 0)
        {
            m_received.append(buf.data(), static_cast<std::size_t>(n));
            most -= static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && errno == EAGAIN)
            return;
        m_has_ended = true;
        m_error = n < 0 ? errno : 0;
    }
}

std::string to_bytes(const io::http_request& request)
{
    auto out = common::concat(request.method, " ", request.path, " HTTP/1.1\r\n");
    for (const auto& [name, value] : request.headers)
        out += common::concat(name, ": ", value, "\r\n");
    if (!request.body.empty())
        out += common::concat("Content-Length: ", request.body.size(), "\r\n");
    return common::concat(out, "\r\n", request.body);
}

} // namespace kumquatgap::review
