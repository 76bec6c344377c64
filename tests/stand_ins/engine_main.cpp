#include "fault_gate.hpp"
#include "serve.hpp"

#include "common/hash.hpp"
#include "common/log.hpp"
#include "common/text.hpp"
#include "io/event_loop.hpp"
#include "io/http_server.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <list>
#include <memory>

ABSL_FLAG(std::string, listen, "127.0.0.1:8000", "ip:port");
ABSL_FLAG(int, slots, 8, "sequences that run at once");
ABSL_FLAG(int, token_ms, 5, "time between two tokens; 0 for as fast as possible");
ABSL_FLAG(int, first_token_ms, 20, "time to the first token");

namespace kumquatgap::stand_ins
{

using nlohmann::json;

namespace
{

/// The n-th token of the answer to a prompt; the same on every engine.
std::string token_text(const std::string& prompt, std::int64_t n)
{
    return "w" + std::to_string(common::hash64(prompt, static_cast<std::uint64_t>(n)) % 1000) + " ";
}

/// A request that runs or waits.
struct sequence
{
    io::responder_ptr answer;
    std::string id;
    std::string prompt;
    bool streams = false;
    /// Counts up to `begin` while the prompt is read.
    std::int64_t next = 0;
    std::int64_t begin = 0;
    std::int64_t end = 0;
    std::string text;
};

/// A model engine with continuous batching: all running sequences get a token in each step.
class engine_server
{
public:
    engine_server()
        : m_server{m_loop,
                   {},
                   [this](const io::received_request& received, const io::responder_ptr& answer)
                   { handle(received.request, answer); }}
    {
    }

    int run(const std::string& address)
    {
        const common::milliseconds period{std::max(1, absl::GetFlag(FLAGS_token_ms))};
        const auto step_timer = m_loop.every(period, [this] { step(); });
        return serve(m_loop, m_server, address);
    }

private:
    void handle(const io::http_request& request, const io::responder_ptr& answer)
    {
        if (m_gate.take_order(request, answer))
            return;
        if (request.path == "/stand_in/cut")
            return cut_all(request, answer);
        if (request.path == "/health")
            return answer->reply({200, {}, ""});
        if (request.path == "/metrics")
            return answer->reply({200, {}, metrics()});
        switch (m_gate.next(request))
        {
        case fault::down:
            return answer->cut();
        case fault::hang:
            return;
        default:
            start(request, answer);
        }
    }

    /// Closes every running answer: `?after_last_token=true` does so between the last token and
    /// the end of the next answers.
    void cut_all(const io::http_request& request, const io::responder_ptr& answer)
    {
        m_cut_before_end = io::query_parameter(request.query, "after_last_token") == "true";
        m_wrong_id = io::query_parameter(request.query, "wrong_id") == "true";
        if (!m_cut_before_end && !m_wrong_id)
        {
            for (const auto& it : m_running)
                it.answer->cut();
        }
        answer->reply({200, {}, "ok\n"});
    }

    std::string metrics() const
    {
        return common::concat("vllm:num_requests_running ", m_running.size(),
                              "\nvllm:num_requests_waiting ", m_waiting.size(),
                              "\nstand_in_calls_total ", m_calls, "\n");
    }

    void start(const io::http_request& request, const io::responder_ptr& answer)
    {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("messages"))
            return answer->reply({400, {}, R"({"error":{"message":"bad request"}})"});
        ++m_calls;
        common::log(common::log_level::info, "call",
                    {{"request_id", request.headers.find("x-request-id")},
                     {"traceparent", request.headers.find("traceparent")}});
        sequence it;
        it.answer = answer;
        it.id = "chatcmpl-" + std::string{request.headers.find("x-request-id")};
        it.streams = body.value("stream", false);
        if (m_wrong_id)
            it.id = "chatcmpl-of-another-request";
        const auto& messages = body["messages"];
        it.prompt = messages.at(0).dump();
        it.end = body.value("max_tokens", 16);
        if (body.value("continue_final_message", false))
        {
            // Each token of the stand-in ends with a space, so the spaces are counted.
            const auto given = messages.back().value("content", "");
            it.next = std::ranges::count(given, ' ');
            it.end += it.next;
        }
        it.begin = it.next;
        it.next -= absl::GetFlag(FLAGS_first_token_ms) / std::max(1, absl::GetFlag(FLAGS_token_ms));
        m_waiting.push_back(std::move(it));
    }

    void step()
    {
        while (!m_waiting.empty() && std::cmp_less(m_running.size(), absl::GetFlag(FLAGS_slots)))
        {
            m_running.splice(m_running.end(), m_waiting, m_waiting.begin());
            auto& it = m_running.back();
            if (it.streams)
                it.answer->start_stream(200, {{"Content-Type", "text/event-stream"}});
        }
        std::erase_if(m_waiting, [](const sequence& it) { return !it.answer->is_open(); });
        std::erase_if(m_running, [this](sequence& it) { return advance(it); });
    }

    /// Makes one token; true when the sequence is over.
    bool advance(sequence& it)
    {
        if (!it.answer->is_open())
            return true;
        const auto n = it.next++;
        if (n < it.begin)
            return false;
        if (n < it.end)
        {
            emit(it, token_text(it.prompt, n), nullptr);
            return false;
        }
        if (m_cut_before_end)
        {
            it.answer->cut();
            return true;
        }
        finish(it);
        return true;
    }

    void emit(sequence& it, const std::string& text, const json& finish_reason)
    {
        it.text += text;
        if (!it.streams)
            return;
        const json choice = {
            {"index", 0}, {"delta", {{"content", text}}}, {"finish_reason", finish_reason}};
        const json chunk = {
            {"id", it.id}, {"object", "chat.completion.chunk"}, {"choices", json::array({choice})}};
        it.answer->write("data: " + chunk.dump() + "\n\n");
    }

    void finish(sequence& it)
    {
        if (it.streams)
        {
            emit(it, "", "stop");
            it.answer->write("data: [DONE]\n\n");
            return it.answer->end();
        }
        const json choice = {{"index", 0},
                             {"message", {{"role", "assistant"}, {"content", it.text}}},
                             {"finish_reason", "stop"}};
        const json body = {
            {"id", it.id}, {"object", "chat.completion"}, {"choices", json::array({choice})}};
        it.answer->reply({200, {{"Content-Type", "application/json"}}, body.dump()});
    }

    io::event_loop m_loop;
    fault_gate m_gate{m_loop};
    std::list<sequence> m_waiting;
    std::list<sequence> m_running;
    std::int64_t m_calls = 0;
    bool m_cut_before_end = false;
    bool m_wrong_id = false;
    io::http_server m_server;
};

} // namespace
} // namespace kumquatgap::stand_ins

/// A stand-in for a model engine.
int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    kumquatgap::common::start_log("stand_in_engine", "info");
    return kumquatgap::stand_ins::engine_server{}.run(absl::GetFlag(FLAGS_listen));
}
