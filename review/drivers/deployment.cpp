#include "deployment.hpp"

#include "common/text.hpp"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace kumquatgap::review
{

using nlohmann::json;

namespace
{

constexpr milliseconds check_period{5};
constexpr milliseconds max_start_time{15'000};

std::string make_temp_folder()
{
    auto name = (std::filesystem::temp_directory_path() / "kqg-review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error{"no temporary folder"};
    return name;
}

} // namespace

bool has_trouble()
{
    const char* text = std::getenv("TROUBLE");
    return text == nullptr || std::string_view{text} != "0";
}

record::record(const std::string& path) : m_start{common::now()}, m_file{path}
{
    if (!m_file)
        throw std::runtime_error{"the record can't be written"};
}

void record::line(const std::string& text)
{
    m_file << now_ms() << " ms: " << text << "\n";
    m_file.flush();
}

deployment::deployment(const std::string& binaries, record& to, int gateways, bool has_relays)
    : m_record{to}, m_folder{make_temp_folder()}, m_store{
                                                      std::make_unique<stand_ins::platform_store>(
                                                          m_loop, failures::free_address())}
{
    for (int i = 0; i < gateways; ++i)
    {
        m_addresses.push_back(failures::free_address());
        m_ready_addresses.push_back(failures::free_address());
        auto store_address = m_store->address();
        if (has_relays)
        {
            m_relays.push_back(
                std::make_unique<failures::relay>(m_loop, failures::free_address(), store_address));
            store_address = m_relays.back()->address();
        }
        const auto path = common::concat(m_folder, "/gateway-", i, ".ini");
        std::ofstream{path} << "[process]\nhost = front-" << i
                            << "\ndata_centre = ub-east\nlog_level = info\n"
                            << "deployment_token = kumquatgap-gateways\n"
                            << "[store]\naddress = " << store_address << "\ntimeout_ms = 1500\n"
                            << "[control]\nlisten = " << failures::free_address() << "\n"
                            << "[gateway]\nlisten = " << m_addresses.back()
                            << "\nready_listen = " << m_ready_addresses.back()
                            << "\nmetrics_listen = " << failures::free_address()
                            << "\ngrace_ms = " << grace_time.count() << "\n"
                            << "[retries]\nratio = 0.2\nextra = 92\nwindow_ms = 10000\n";
        m_gateways.push_back(std::make_unique<failures::process>(
            std::vector<std::string>{binaries + "/kqg-gateway", "--config=" + path}, log_path(i)));
    }
}

deployment::~deployment()
{
    m_requests.clear();
    m_gateways.clear();
    std::error_code ec;
    if (const char* keep = std::getenv("KEEP_LOGS"); keep != nullptr)
        std::filesystem::copy(m_folder, keep,
                              std::filesystem::copy_options::recursive |
                                  std::filesystem::copy_options::overwrite_existing,
                              ec);
    std::filesystem::remove_all(m_folder, ec);
}

std::string deployment::log_path(std::size_t i) const
{
    return common::concat(m_folder, "/gateway-", i, ".log");
}

void deployment::put_entry(const std::string& id, const std::string& service,
                           const std::string& address, int slots, std::int64_t born)
{
    const json it = {{"service", service}, {"address", address}, {"zone", "ub-east"},
                     {"version", "v1"},    {"slots", slots},     {"state", "ready"},
                     {"sequence", 1},      {"born", born},       {"coldRemainingMs", 0}};
    m_store->put("servers/" + id, it.dump());
}

request_ptr deployment::send(std::size_t gateway, const io::http_request& request,
                             std::function<void(open_request&)> on_end)
{
    auto out = std::make_shared<open_request>();
    out->id = request.headers.find("x-request-id");
    out->sent_at = common::now();
    out->on_end = std::move(on_end);
    out->handle = m_client.send(
        m_addresses.at(gateway), request,
        {.on_head = [raw = out.get()](const io::http_response& head) { raw->status = head.status; },
         .on_data = [raw = out.get()](std::string_view bytes) { raw->body += bytes; },
         .on_end =
             [raw = out.get()](io::call_outcome how, const io::http_response&)
         {
             raw->ended = true;
             raw->how = how;
             raw->ended_at = common::now();
             if (raw->on_end)
                 raw->on_end(*raw);
         }});
    m_requests.push_back(out);
    return out;
}

bool deployment::is_ready(std::size_t i)
{
    bool ended = false;
    int status = 0;
    const auto handle = m_client.send(m_ready_addresses.at(i), {"GET", "/readyz", {}, {}, {}},
                                      {.on_end = [&](io::call_outcome, const io::http_response& it)
                                       {
                                           ended = true;
                                           status = it.status;
                                       }});
    wait_until([&] { return ended; }, max_start_time);
    return status == 200;
}

bool deployment::wait_ready()
{
    for (std::size_t i = 0; i < m_gateways.size(); ++i)
    {
        if (!wait_until([&] { return is_ready(i); }, max_start_time))
            return false;
    }
    m_record.line(common::concat(m_gateways.size(), " gateways are ready"));
    return true;
}

bool deployment::wait_until(const std::function<bool()>& condition, milliseconds limit)
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

void deployment::run_for(milliseconds time)
{
    const auto timer = m_loop.after(time, [this] { m_loop.stop(); });
    m_loop.run();
}

void deployment::after(milliseconds delay, std::function<void()> fn)
{
    m_timers.push_back(m_loop.after(delay, std::move(fn)));
}

void deployment::every(milliseconds period, std::function<void()> fn)
{
    m_timers.push_back(m_loop.every(period, std::move(fn)));
}

json base_configuration(std::int64_t version)
{
    return {{"version", version},
            {"routes", json::array()},
            {"services", json::array()},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants", {{{"name", "desk"}, {"apiKeys", {"key-1", "key-2"}}, {"priority", 1}}}}};
}

json route(const std::string& prefix, const std::string& kind, const std::string& service,
           int timeout_ms, int goal_ms, int max_attempts)
{
    json out = {{"name", prefix},    {"host", "desk.example"},  {"prefix", prefix},
                {"routeType", kind}, {"timeoutMs", timeout_ms}, {"goalMs", goal_ms},
                {"priority", 1},     {"service", service},      {"maxAttempts", max_attempts},
                {"public", false}};
    if (kind == "streaming")
    {
        out["sessionAffinity"] = true;
        out["streamResume"] = true;
        out["gapTargetMs"] = 120;
    }
    return out;
}

json group_engine(int slots)
{
    return {{"slots", slots},
            {"kvCapacity", 280000},
            {"kvTokenBytes", 35136},
            {"linkMbps", 180000.0},
            {"stride", 4},
            {"models", {{{"name", "m"}}}},
            {"step_ms", 4.55},
            {"per_seq_ms", 0.905},
            {"context_per_k", 0.0183},
            {"read_per_s", 61400.0},
            {"pairs_per_m", 0.525},
            {"chunk", 512},
            {"report_lag_ms", 200.0},
            {"usual", {{"prompt", 835}, {"answer", 97}}},
            {"sets", 4},
            {"experts", 72},
            {"placements", 8},
            {"spare", 3},
            {"expertMb", 2200.0},
            {"expertShare", 0.85},
            {"form_ms", 600.0}};
}

std::string option(int argc, char** argv, const std::string& name)
{
    const auto prefix = "--" + name + "=";
    for (int i = 1; i < argc; ++i)
    {
        const std::string_view it{argv[i]};
        if (it.starts_with(prefix))
            return std::string{it.substr(prefix.size())};
    }
    throw std::runtime_error{"the option --" + name + " is missing"};
}

} // namespace kumquatgap::review
