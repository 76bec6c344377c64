#include "agent/exchange.hpp"

#include "common/text.hpp"

#include "agent/agent.hpp"
#include "common/hash.hpp"
#include "common/log.hpp"

namespace kumquatgap::agent
{

using common::failure;
using common::result_code;

namespace
{

constexpr std::string_view event_stream = "text/event-stream";
/// A response that is not a stream is sent to the router in parts of this size.
constexpr std::size_t body_part_bytes = std::size_t{64} << 10;
/// The attempt fails when the router leaves more bytes than this unread.
constexpr std::size_t max_unsent_bytes = std::size_t{8} << 20;
/// The longest response body that is buffered; applies to responses that are not streams.
constexpr std::size_t max_answer_bytes = std::size_t{16} << 20;
constexpr int first_server_error = 500;

failure to_failure(io::call_outcome outcome)
{
    if (outcome == io::call_outcome::not_connected)
        return {result_code::target_unreachable, ""};
    if (outcome == io::call_outcome::silent)
        return {result_code::target_timeout, "the target fell silent"};
    if (outcome == io::call_outcome::oversized)
        return {result_code::answer_too_long, ""};
    return {result_code::stream_cut, "the connection to the target was lost"};
}

} // namespace

exchange::exchange(agent& owner, std::uint64_t id, protocol::agent_call call,
                   io::responder_ptr router, std::shared_ptr<io::memory_charge> charge)
    : m_agent{owner}, m_id{id}, m_request{std::move(call)}, m_charge{std::move(charge)},
      m_router{std::move(router)},
      m_resources{owner.resources()}, m_service{m_resources->find_service(m_request.service)},
      m_hop{common::start_span(m_request.traceparent, common::now())},
      m_deadline{common::now() + m_request.time_left}
{
}

void exchange::start()
{
    m_router->on_caller_gone([this] { router_disconnected(); });
    m_heartbeat = m_agent.loop().every(m_agent.settings().heartbeat,
                                       [this]
                                       {
                                           if (!std::exchange(m_sent_since_heartbeat, false))
                                               send(protocol::response_heartbeat{});
                                       });
    if (m_service == nullptr)
        return refuse({result_code::wrong_target, "the service's resource is gone"});
    const auto queued =
        m_agent.queue().offer({.id = m_id,
                               .team = m_request.team,
                               .level = m_request.level,
                               .predicted = m_request.predicted,
                               .start_by = m_deadline,
                               .preemptible = m_service->is_model() && m_request.streams},
                              common::now());
    if (!queued)
        return refuse(queued.error());
    m_agent.start_ready_calls();
}

void exchange::run()
{
    if (m_request.idempotency_key.empty())
        send_to_target();
    else
        claim();
}

std::optional<common::milliseconds> exchange::preempt()
{
    if (!m_running || m_finished)
        return std::nullopt;
    const auto body = nlohmann::json::parse(m_request.body, nullptr, false);
    const auto remaining_request = body.is_object() ? m_delivered.continuation(body) : std::nullopt;
    if (!remaining_request)
        return std::nullopt;
    m_call.reset();
    m_running = false;
    m_request.body =
        remaining_request->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    m_delivered = {};
    m_agent.counters().count("kqg_pauses_total");
    const auto elapsed = common::now() - m_started;
    m_request.predicted = std::max(common::milliseconds{1}, m_request.predicted - elapsed);
    return m_request.predicted;
}

void exchange::expired()
{
    refuse({result_code::deadline_unreachable, "no slot was free in time"});
}

void exchange::refuse_waiting()
{
    const bool has_run = m_started != common::timestamp{};
    if (!m_finished && !has_run && m_agent.queue().withdraw(m_id))
        refuse({result_code::target_draining, "the agent shuts down"});
}

void exchange::claim()
{
    const auto fingerprint = common::sha256_hex(
        common::concat(m_request.method, "\n", m_request.path, "\n", m_request.query, "\n",
                       m_request.service, "\n", m_request.body));
    ledger::attempt attempt{common::concat(m_request.attempt, "/", m_agent.instance_id()),
                            fingerprint,
                            {.claim_timeout = m_agent.settings().claim_timeout}};
    m_ledger = std::make_shared<ledger_session>(
        m_agent, ledger::store_key(m_request.member, m_request.idempotency_key), std::move(attempt),
        ledger_events{[this] { send_to_target(); }, [this](const failure& error) { refuse(error); },
                      [this](const ledger::stored_response& stored)
                      { deliver_response(stored.status, stored.content_type, stored.body); }});
    m_ledger->begin();
}

void exchange::send_to_target()
{
    m_running = true;
    m_started = common::now();
    m_splitter = {};
    io::http_request request{m_request.method, m_request.path, m_request.query, {}, m_request.body};
    if (!m_request.content_type.empty())
        request.headers.add("Content-Type", m_request.content_type);
    if (!m_request.idempotency_key.empty())
        request.headers.add("Idempotency-Key", m_request.idempotency_key);
    request.headers.add("X-Request-Id", m_request.call_id);
    request.headers.add("traceparent", common::traceparent(m_hop));
    const auto& settings = m_agent.settings();
    m_call =
        m_agent.client().send(settings.target_address, request,
                              {[this](const io::http_response& head) { head_received(head); },
                               [this](std::string_view bytes) { data_received(bytes); },
                               [this](io::call_outcome outcome, const io::http_response& response)
                               { call_ended(outcome, response); }},
                              {.connect_timeout = settings.target_connect,
                               .silence_timeout = settings.target_silence,
                               .reuse_connection = m_service->is_model()});
}

std::string exchange::expected_id() const
{
    return m_service->echoes_request_id ? protocol::completion_id(m_request.call_id) : "";
}

void exchange::head_received(const io::http_response& response)
{
    const auto type = response.headers.find("content-type");
    if (!m_service->is_model() || !type.starts_with(event_stream))
        return;
    m_stream.emplace(expected_id());
    if (std::exchange(m_head_sent, true))
        return;
    send(protocol::response_head{response.status, std::string{event_stream}});
}

void exchange::data_received(std::string_view bytes)
{
    if (!m_stream)
    {
        m_response_body += bytes;
        if (m_response_body.size() > max_answer_bytes)
            target_failed({result_code::answer_too_long, ""}, true);
        return;
    }
    const auto self = shared_from_this();
    const bool within_limit = m_splitter.feed(bytes,
                                              [this](std::string_view text)
                                              {
                                                  const auto event = io::parse_event(text);
                                                  if (!m_finished && !event.data.empty())
                                                      token_received(event.data);
                                              });
    if (!within_limit && !m_finished)
        target_failed({result_code::answer_too_long, "an event has no end"}, true);
}

void exchange::token_received(std::string_view data)
{
    const auto step = m_stream->take(data);
    if (!step)
        return target_failed(step.error(), true);
    if (step.value() == protocol::engine_stream::step::chunk)
    {
        send(protocol::response_token{++m_sent_parts, data});
        m_delivered.add(data);
        m_agent.counters().count("kqg_chunks_total");
        if (m_router->unsent_bytes() > max_unsent_bytes)
            target_failed({result_code::caller_gone, "the router reads too slowly"}, true);
        return;
    }
    send(protocol::response_end{m_request.attempt, m_sent_parts, m_agent.load()});
    finish(result_code::ok);
}

void exchange::call_ended(io::call_outcome outcome, const io::http_response& response)
{
    if (m_finished)
        return;
    if (outcome != io::call_outcome::complete)
        return target_failed(to_failure(outcome), outcome != io::call_outcome::not_connected);
    if (m_stream)
        return target_failed({result_code::stream_cut, "the engine closed before the end"}, true);
    response_received(response);
}

void exchange::response_received(const io::http_response& response)
{
    const bool is_completion = m_service->is_model() && response.status < 400;
    if (is_completion)
    {
        if (const auto violation = protocol::check_completion(m_response_body, expected_id()))
            return target_failed(*violation, true);
    }
    if (m_service->is_model() && response.status >= first_server_error)
        return target_failed({result_code::bad_target_answer, "the engine reported an error"},
                             true);
    const std::string type{response.headers.find("content-type")};
    if (m_ledger)
        m_ledger->responded({response.status, type, m_response_body, true});
    deliver_response(response.status, type, m_response_body);
}

void exchange::deliver_response(int status, const std::string& content_type,
                                const std::string& body)
{
    send(protocol::response_head{status, content_type});
    for (std::size_t at = 0; at < body.size(); at += body_part_bytes)
        send(protocol::response_body{++m_sent_parts, body.substr(at, body_part_bytes)});
    send(protocol::response_end{m_request.attempt, m_sent_parts, m_agent.load()});
    finish(result_code::ok);
}

void exchange::target_failed(const failure& error, bool was_delivered)
{
    // The ledger session refuses the call after it has recorded that the call was not executed.
    if (m_ledger && !was_delivered)
        return m_ledger->not_delivered();
    if (m_ledger)
        m_ledger->response_lost();
    refuse(error);
}

void exchange::router_disconnected()
{
    if (m_finished)
        return;
    const bool may_have_run = m_running || (m_ledger && !m_ledger->withdraw());
    // An at-most-once call continues, so that a retry finds its response in the ledger.
    if (m_ledger && may_have_run)
        return;
    m_agent.queue().withdraw(m_id);
    finish(result_code::caller_gone);
}

void exchange::send(const protocol::response_event& event)
{
    m_sent_since_heartbeat = true;
    m_router->write(protocol::to_text(event));
}

void exchange::refuse(const failure& error)
{
    send(protocol::response_failure{error, m_agent.load()});
    finish(error.code);
}

void exchange::finish(result_code code)
{
    if (std::exchange(m_finished, true))
        return;
    m_router->on_caller_gone(nullptr);
    m_router->end();
    m_heartbeat.reset();
    m_call.reset();
    m_ledger.reset();
    const auto now = common::now();
    m_agent.counters().count(
        common::concat("kqg_attempts_total{code=\"", common::number(code), "\"}"));
    m_agent.counters().measure("kqg_attempt_ms",
                               static_cast<double>((now - m_hop.started).count()));
    common::end_span(m_hop, "agent", now, common::number(code));
    m_agent.remove(m_id);
}

} // namespace kumquatgap::agent
