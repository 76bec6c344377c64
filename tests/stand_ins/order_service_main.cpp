#include "fault_gate.hpp"
#include "serve.hpp"

#include "common/log.hpp"
#include "io/event_loop.hpp"
#include "io/http_server.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <map>

ABSL_FLAG(std::string, listen, "127.0.0.1:9000", "ip:port");

namespace kumquatgap::stand_ins
{

using nlohmann::json;

namespace
{

/// A plain service that carries out orders and counts how often each one ran.
class order_server
{
public:
    order_server()
        : m_server{m_loop,
                   {},
                   [this](const io::received_request& received, const io::responder_ptr& answer)
                   { handle(received.request, answer); }}
    {
    }

    int run(const std::string& address) { return serve(m_loop, m_server, address); }

private:
    void handle(const io::http_request& request, const io::responder_ptr& answer)
    {
        if (m_gate.take_order(request, answer))
            return;
        if (request.path == "/stand_in/executions")
            return answer->reply({200, {}, json(m_executions).dump()});
        m_gate.pass(request, answer, [this, request] { return carry_out(request); });
    }

    io::http_response carry_out(const io::http_request& request)
    {
        const io::header_list type = {{"Content-Type", "application/json"}};
        common::log(common::log_level::info, "call",
                    {{"path", request.path}, {"traceparent", request.headers.find("traceparent")}});
        if (request.method == "GET")
            return {200, type, json{{"path", request.path}, {"in_stock", 42}}.dump()};
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("order_id"))
            return {400, type, R"({"error":"order_id is missing"})"};
        const auto id = body["order_id"].get<std::string>();
        const auto n = ++m_executions[id];
        return {201, type, json{{"order_id", id}, {"execution", n}}.dump()};
    }

    io::event_loop m_loop;
    fault_gate m_gate{m_loop};
    std::map<std::string, int> m_executions;
    io::http_server m_server;
};

} // namespace
} // namespace kumquatgap::stand_ins

/// A stand-in for an order service.
int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    kumquatgap::common::start_log("stand_in_order_service", "info");
    return kumquatgap::stand_ins::order_server{}.run(absl::GetFlag(FLAGS_listen));
}
