#include "platform_store.hpp"
#include "scripted_target.hpp"
#include "target_answers.hpp"

#include "common/text.hpp"
#include "io/event_loop.hpp"
#include "io/http_codec.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <list>
#include <memory>
#include <string>
#include <vector>

ABSL_FLAG(std::string, store, "127.0.0.1:8000", "ip:port of the key-value service");
ABSL_FLAG(std::vector<std::string>, drafts, {}, "ip:port of each target that streams");
ABSL_FLAG(std::vector<std::string>, orders, {}, "ip:port of each target of the order service");
ABSL_FLAG(int, event_ms, 30, "time between two events of a stream");
ABSL_FLAG(int, events, 12, "events of a stream");

namespace kumquatgap::stand_ins
{

using nlohmann::json;

namespace
{

json route(const char* prefix, const char* kind, const char* service)
{
    return {{"name", prefix},    {"host", "shop.example"}, {"prefix", prefix},
            {"routeType", kind}, {"timeoutMs", 8000},      {"goalMs", 500},
            {"priority", 1},     {"service", service},     {"maxAttempts", 2},
            {"public", false},   {"streamResume", true},   {"gapTargetMs", 120}};
}

/// One host with a route of each kind, and one team with one key.
json configuration()
{
    return {{"version", 1},
            {"routes",
             {route("/drafts/", "streaming", "drafts"), route("/orders/", "unsafe", "orders"),
              route("/stock/", "safe", "orders")}},
            {"services", {{{"name", "drafts"}}, {{"name", "orders"}}}},
            {"limits",
             {{"maxHeaderBytes", 8192},
              {"maxBodyBytes", 1000000},
              {"headerTimeoutMs", 2000},
              {"idleTimeoutMs", 30000}}},
            {"tenants", {{{"name", "shop-1"}, {"apiKeys", {"demo-team"}}}}}};
}

/// The users' platform in small: its store, with the operators' configuration, and targets.
class platform
{
public:
    explicit platform(io::event_loop& loop)
        : m_loop{loop}, m_store{loop, absl::GetFlag(FLAGS_store)}
    {
        m_store.put("op/config", configuration().dump());
        for (const auto& it : absl::GetFlag(FLAGS_drafts))
            add_target(it, "drafts",
                       [this](const io::http_request& request, const scripted_target::reply& out)
                       { stream(request, out); });
        for (const auto& it : absl::GetFlag(FLAGS_orders))
            add_target(it, "orders",
                       [it](const io::http_request& request, const scripted_target::reply& out)
                       {
                           const json body = {{"done_by", it}, {"bytes", request.body.size()}};
                           out.write(whole_answer(request, 200, body.dump()));
                       });
    }

private:
    /// A stream under way.
    struct open_stream
    {
        scripted_target::reply out;
        int next = 1;
        io::timer_handle timer;
    };

    void add_target(const std::string& address, const std::string& service,
                    scripted_target::script fn)
    {
        m_targets.push_back(std::make_unique<scripted_target>(m_loop, address, std::move(fn)));
        const auto id = common::concat(service, "-", m_targets.size());
        const json entry = {{"service", service}, {"address", address}, {"zone", "ub-1"},
                            {"slots", 8},         {"state", "ready"},   {"sequence", 1}};
        m_store.put("servers/" + id, entry.dump());
    }

    /// Sends the events behind the one that the request names, one after the other.
    void stream(const io::http_request& request, const scripted_target::reply& out)
    {
        m_streams.push_back({out, 1, nullptr});
        auto& it = m_streams.back();
        int seen = 0;
        if (common::parse_number(request.headers.find("last-event-id"), seen))
            it.next = seen + 1;
        out.write(stream_head(request));
        it.timer = m_loop.every(common::milliseconds{absl::GetFlag(FLAGS_event_ms)},
                                [this, &it] { send_event(it); });
    }

    void send_event(open_stream& it)
    {
        if (it.out.is_open() && it.next <= absl::GetFlag(FLAGS_events))
            return it.out.write(stream_event(it.next++));
        it.out.write(io::last_chunk);
        m_loop.defer([this, &it]
                     { m_streams.remove_if([&](const open_stream& s) { return &s == &it; }); });
    }

    io::event_loop& m_loop;
    platform_store m_store;
    std::vector<std::unique_ptr<scripted_target>> m_targets;
    std::list<open_stream> m_streams;
};

} // namespace

} // namespace kumquatgap::stand_ins

/// A stand-in of the users' platform, for the demo.
int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    kumquatgap::io::event_loop loop;
    const kumquatgap::stand_ins::platform it{loop};
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
