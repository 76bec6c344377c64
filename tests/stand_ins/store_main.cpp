#include "fault_gate.hpp"
#include "key_value_table.hpp"
#include "serve.hpp"

#include "common/clock.hpp"
#include "common/log.hpp"
#include "common/text.hpp"
#include "io/event_loop.hpp"
#include "io/http_server.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <list>

ABSL_FLAG(std::string, listen, "127.0.0.1:2379", "ip:port");

namespace kumquatgap::stand_ins
{

using nlohmann::json;

namespace
{

/// A stand-in for the platform's key-value service.
class store_server
{
public:
    store_server()
        : m_server{m_loop,
                   {std::size_t{64} << 20, std::size_t{16} << 10},
                   [this](const io::received_request& received, const io::responder_ptr& answer)
                   { handle(received.request, answer); }}
    {
    }

    int run(const std::string& address)
    {
        const auto lease_timer = m_loop.every(common::milliseconds{200},
                                              [this]
                                              {
                                                  m_table.expire_leases(now_s());
                                                  notify();
                                              });
        return serve(m_loop, m_server, address);
    }

private:
    struct watcher
    {
        io::responder_ptr answer;
        std::string key;
        std::string end;
        std::size_t next = 0;
    };

    static std::int64_t now_s()
    {
        return std::chrono::duration_cast<std::chrono::seconds>(common::now().time_since_epoch())
            .count();
    }

    void handle(const io::http_request& request, const io::responder_ptr& answer)
    {
        if (m_gate.take_order(request, answer))
            return drop_watches_when_down();
        if (request.path == "/stand_in/calls")
            return answer->reply({200, {}, std::to_string(m_calls)});
        if (request.path == "/stand_in/compact")
        {
            m_table.compact(m_table.revision());
            return answer->reply({200, {}, "ok\n"});
        }
        if (request.path == "/stand_in/copy")
        {
            m_copy = m_table;
            return answer->reply({200, {}, "ok\n"});
        }
        if (request.path == "/stand_in/restore")
        {
            m_table.restore(m_copy);
            cut_watches();
            return answer->reply({200, {}, "ok\n"});
        }
        ++m_calls;
        const auto body = json::parse(request.body, nullptr, false);
        if (request.path == "/v3/watch")
            return start_watch(request, body, answer);
        m_gate.pass(request, answer, [this, request, body] { return carry_out(request, body); });
        notify();
    }

    io::http_response carry_out(const io::http_request& request, const json& body)
    {
        try
        {
            const auto out = dispatch(request.path, body);
            notify();
            return {200, {{"Content-Type", "application/json"}}, out.dump()};
        }
        catch (const std::exception& e)
        {
            return {400, {}, json{{"code", 3}, {"message", e.what()}}.dump()};
        }
    }

    json dispatch(const std::string& path, const json& body)
    {
        if (path == "/v3/kv/range")
            return m_table.range(body);
        if (path == "/v3/kv/txn")
            return m_table.transaction(body);
        if (path == "/v3/kv/put")
            return m_table.transaction({{"success", json::array({{{"request_put", body}}})}});
        if (path == "/v3/kv/deleterange")
            return m_table.transaction(
                {{"success", json::array({{{"request_delete_range", body}}})}});
        if (path == "/v3/lease/grant")
            return m_table.grant_lease(body, now_s());
        if (path == "/v3/lease/keepalive")
            return m_table.keep_lease(body, now_s());
        if (path == "/v3/lease/revoke")
            return m_table.revoke_lease(body);
        throw std::invalid_argument{"unknown path"};
    }

    void drop_watches_when_down()
    {
        const io::http_request probe{"POST", "/v3/watch"};
        if (m_gate.next(probe) == fault::down)
            cut_watches();
    }

    void cut_watches()
    {
        for (const auto& it : m_watchers)
            it.answer->cut();
        m_watchers.clear();
    }

    void start_watch(const io::http_request& request, const json& body,
                     const io::responder_ptr& answer)
    {
        if (m_gate.next(request) == fault::down)
            return answer->cut();
        const auto& create = body.at("create_request");
        watcher it{answer, "", ""};
        common::base64_decode(create.at("key").get<std::string>(), it.key);
        common::base64_decode(create.at("range_end").get<std::string>(), it.end);
        const auto from = std::stoll(create.value("start_revision", "0"));
        answer->start_stream(200, {{"Content-Type", "application/json"}});
        if (from > 0 && from <= m_table.compacted())
        {
            send(it,
                 {{"canceled", true}, {"compact_revision", std::to_string(m_table.compacted())}});
            return answer->end();
        }
        const auto& history = m_table.history();
        const auto first =
            std::ranges::lower_bound(history, from, {}, &key_value_table::event::revision);
        it.next = from == 0 ? history.size() : static_cast<std::size_t>(first - history.begin());
        send(it, {{"created", true}});
        m_watchers.push_back(std::move(it));
        notify();
    }

    void send(const watcher& it, json result)
    {
        result["header"] = m_table.header();
        it.answer->write(json{{"result", std::move(result)}}.dump() + "\n");
    }

    void notify()
    {
        std::erase_if(m_watchers, [](const watcher& it) { return !it.answer->is_open(); });
        for (auto& it : m_watchers)
            feed(it);
    }

    void feed(watcher& it)
    {
        json events = json::array();
        const auto& history = m_table.history();
        for (; it.next < history.size(); ++it.next)
        {
            const auto& e = history[it.next];
            if (e.key < it.key || e.key >= it.end)
                continue;
            json kv = {{"key", common::base64_encode(e.key)},
                       {"mod_revision", std::to_string(e.revision)}};
            if (e.value)
                kv["value"] = common::base64_encode(*e.value);
            json event = {{"kv", std::move(kv)}};
            if (!e.value)
                event["type"] = "DELETE";
            events.push_back(std::move(event));
        }
        if (!events.empty())
            send(it, {{"events", std::move(events)}});
    }

    io::event_loop m_loop;
    fault_gate m_gate{m_loop};
    key_value_table m_table;
    key_value_table m_copy;
    std::list<watcher> m_watchers;
    std::uint64_t m_calls = 0;
    io::http_server m_server;
};

} // namespace
} // namespace kumquatgap::stand_ins

/// A stand-in for the platform's key-value service.
int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    kumquatgap::common::start_log("stand_in_store", "info");
    return kumquatgap::stand_ins::store_server{}.run(absl::GetFlag(FLAGS_listen));
}
