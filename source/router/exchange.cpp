#include "router/exchange.hpp"

#include "common/text.hpp"

#include "common/log.hpp"
#include "router/router.hpp"

#include <algorithm>

namespace kumquatgap::router
{

using common::failure;
using common::milliseconds;
using common::result_code;

namespace
{

/// A caller with more unread response bytes than this is disconnected.
constexpr std::size_t max_unsent_bytes = std::size_t{8} << 20;

constexpr int agent_accepted_call = 200;

constexpr std::string_view closing_event = "data: [DONE]\n\n";

failure to_failure(io::call_outcome outcome)
{
    if (outcome == io::call_outcome::not_connected)
        return {result_code::target_unreachable, ""};
    if (outcome == io::call_outcome::silent)
        return {result_code::target_timeout, "the agent fell silent"};
    if (outcome == io::call_outcome::oversized)
        return {result_code::answer_too_long, ""};
    return {result_code::stream_cut, "the connection to the agent was lost"};
}

} // namespace

exchange::exchange(router& owner, io::received_request received, io::responder_ptr caller)
    : m_router{owner}, m_caller{std::move(caller)}, m_resources{owner.resources()}
{
    m_context.hop = common::start_span(received.request.headers.find("traceparent"), common::now());
    m_context.received = std::move(received);
}

void exchange::start()
{
    const auto refused =
        filters::run_chain(filters::default_chain(), m_context, m_router.environment(*m_resources));
    if (refused)
        return respond_with_failure(*refused);
    m_call_id = common::random_id();
    m_plan.emplace(m_context.rule, policy::retry_options{});
    m_router.retries().earn();
    const auto time = m_context.service->deadline;
    m_deadline = common::now() + time;
    m_deadline_timer = m_router.loop().after(
        time,
        [this]
        {
            attempt_failed({result_code::target_timeout, "the call's time is over"},
                           policy::attempt_result::answered);
        });
    m_caller->on_caller_gone([this] { finish(result_code::caller_gone); });
    m_request_body = std::move(m_context.received.request.body);
    start_attempt();
}

void exchange::start_attempt()
{
    const auto* target = m_router.pick(*m_resources, m_context.service->name, m_tried_targets);
    if (target == nullptr)
        return execute_step(m_plan->no_target_left());
    send_attempt(*target);
}

protocol::agent_call exchange::make_call(const config::target& target) const
{
    const auto& request = m_context.received.request;
    return {.call_id = m_call_id,
            .attempt = m_attempt_id,
            .team = m_context.team->name,
            .member = m_context.team->member,
            .service = m_context.service->name,
            .target = target.name,
            .level = m_context.level,
            .predicted = m_context.predicted,
            .time_left = std::max(milliseconds{0}, m_deadline - common::now()),
            .streams = m_context.streams,
            .idempotency_key = m_context.idempotency_key,
            .traceparent = common::traceparent(m_context.hop),
            .method = request.method,
            .path = request.path,
            .query = request.query,
            .content_type = std::string{request.headers.find("content-type")},
            .body = m_request_body};
}

void exchange::send_attempt(const config::target& target)
{
    m_target = target.name;
    m_attempt_id = common::random_id();
    m_check.emplace(m_attempt_id);
    m_splitter = {};
    m_response_body.clear();
    m_router.picker().sent(m_target, common::now());
    const auto request =
        protocol::to_request(make_call(target), m_router.settings().common.deployment_token);
    m_call = m_router.client().send(
        target.agent_address, request,
        {{},
         [this](std::string_view bytes) { data_received(bytes); },
         [this](io::call_outcome outcome, const io::http_response& response)
         { agent_response_ended(outcome, response); }},
        {.connect_timeout = m_router.settings().agent_connect,
         .silence_timeout = m_router.settings().agent_silence,
         .reuse_connection = m_context.rule == policy::retry_rule::idempotent});
}

void exchange::data_received(std::string_view bytes)
{
    const auto self = shared_from_this();
    const auto attempt_id = m_attempt_id;
    m_router.picker().heard(m_target, common::now());
    const bool within_limit = m_splitter.feed(bytes,
                                              [&](std::string_view text)
                                              {
                                                  if (attempt_id == m_attempt_id && !m_finished)
                                                      event_received(text);
                                              });
    if (attempt_id != m_attempt_id || m_finished)
        return;
    flush();
    if (!within_limit)
        attempt_failed({result_code::bad_target_answer, "an event is too long"},
                       policy::attempt_result::transport_failure);
}

void exchange::event_received(std::string_view text)
{
    const auto event = protocol::from_text(text);
    if (!event)
        return attempt_failed({result_code::bad_target_answer, "a malformed event"},
                              policy::attempt_result::transport_failure);
    update_load(*event);
    const auto violation = m_check->take(*event);
    if (violation)
    {
        const bool refused = std::holds_alternative<protocol::response_failure>(*event);
        return attempt_failed(*violation, refused ? policy::attempt_result::refused
                                                  : policy::attempt_result::transport_failure);
    }
    deliver(*event);
}

void exchange::update_load(const protocol::response_event& event)
{
    const auto now = common::now();
    if (const auto* end = std::get_if<protocol::response_end>(&event))
        m_router.picker().reported(m_target, end->load, now);
    if (const auto* failed = std::get_if<protocol::response_failure>(&event))
        m_router.picker().reported(m_target, failed->load, now);
}

void exchange::deliver(const protocol::response_event& event)
{
    if (const auto* head = std::get_if<protocol::response_head>(&event))
        m_head = *head;
    else if (const auto* token = std::get_if<protocol::response_token>(&event))
        deliver_token(*token);
    else if (const auto* body = std::get_if<protocol::response_body>(&event))
        m_response_body += body->bytes;
    else if (std::holds_alternative<protocol::response_end>(event))
        complete_response();
}

void exchange::deliver_token(const protocol::response_token& token)
{
    if (!m_caller->is_started())
    {
        m_caller->start_stream(m_head.status,
                               {{"Content-Type", "text/event-stream"},
                                {"traceparent", common::traceparent(m_context.hop)}});
        m_router.counters().measure(
            "kqg_first_token_ms",
            static_cast<double>((common::now() - m_context.hop.started).count()));
    }
    m_unwritten_events += common::concat("data: ", token.data, "\n\n");
    m_delivered.add(token.data);
}

void exchange::flush()
{
    m_caller->write(m_unwritten_events);
    m_unwritten_events.clear();
    if (m_caller->unsent_bytes() <= max_unsent_bytes)
        return;
    m_caller->cut();
    finish(result_code::caller_gone);
}

void exchange::complete_response()
{
    m_router.picker().ended(m_target, policy::attempt_result::answered, common::now());
    m_target.clear();
    if (m_caller->is_started())
    {
        m_unwritten_events += closing_event;
        m_caller->write(m_unwritten_events);
        m_unwritten_events.clear();
        m_caller->end();
    }
    else
    {
        m_caller->reply({m_head.status,
                         {{"Content-Type", m_head.content_type},
                          {"traceparent", common::traceparent(m_context.hop)}},
                         m_response_body});
    }
    finish(result_code::ok);
}

void exchange::agent_response_ended(io::call_outcome outcome, const io::http_response& response)
{
    if (m_finished)
        return;
    // An agent that accepts a call responds with this status, whatever the call's outcome.
    if (outcome == io::call_outcome::complete && response.status != agent_accepted_call)
        return attempt_failed({result_code::wrong_target, "the agent refused the router"},
                              policy::attempt_result::transport_failure);
    const auto health = outcome == io::call_outcome::complete
                            ? policy::attempt_result::answered
                            : policy::attempt_result::transport_failure;
    attempt_failed(to_failure(outcome), health);
}

void exchange::attempt_failed(const failure& error, policy::attempt_result health)
{
    const auto self = shared_from_this();
    const auto now = common::now();
    if (!m_target.empty())
        m_router.picker().ended(m_target, health, now);
    common::log(common::log_level::info, "attempt_failed",
                {{"trace_id", m_context.hop.trace_id},
                 {"target", m_target},
                 {"code", common::number(error.code)},
                 {"detail", error.detail}});
    m_router.counters().count(
        common::concat("kqg_attempts_failed_total{code=\"", common::number(error.code), "\"}"));
    m_tried_targets.insert(std::exchange(m_target, {}));
    m_call.reset();
    m_attempt_id.clear();
    flush();
    if (m_finished)
        return;
    const bool is_late = now >= m_deadline;
    policy::retry_budget nothing_left{0, 0};
    execute_step(
        m_plan->failed(error, !m_delivered.empty(), is_late ? nothing_left : m_router.retries()));
}

void exchange::execute_step(const policy::retry_decision& step)
{
    if (std::holds_alternative<policy::try_another_target>(step))
        return start_attempt();
    if (const auto* ask = std::get_if<policy::query_outcome>(&step))
    {
        // Every agent reads the same ledger, so any target can report the call's outcome.
        m_tried_targets.clear();
        m_retry_timer = m_router.loop().after(ask->pause, [this] { start_attempt(); });
        return;
    }
    if (const auto* last = std::get_if<policy::fail_call>(&step))
        return respond_with_failure(last->what);
    const auto remaining_request = m_delivered.continuation(m_context.body);
    if (!remaining_request)
        return respond_with_failure({result_code::stream_cut, "the rest can't be asked for"});
    m_request_body =
        remaining_request->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    start_attempt();
}

void exchange::respond_with_failure(const failure& error)
{
    if (m_caller->is_started())
    {
        m_caller->write(shell::to_stream_event(error));
        // A chunked response without its last chunk can't be mistaken for a complete one.
        m_caller->cut_after_sending();
    }
    else
    {
        auto response = shell::to_response(error);
        response.headers.add("traceparent", common::traceparent(m_context.hop));
        m_caller->reply(response);
    }
    finish(error.code);
}

void exchange::end_unanswered()
{
    if (!m_finished)
        respond_with_failure({result_code::outcome_unknown, "the router shuts down"});
}

void exchange::finish(result_code code)
{
    if (std::exchange(m_finished, true))
        return;
    const auto now = common::now();
    if (!m_target.empty())
        m_router.picker().ended(m_target, policy::attempt_result::answered, now);
    m_caller->on_caller_gone(nullptr);
    m_call.reset();
    m_deadline_timer.reset();
    m_retry_timer.reset();
    const auto length = now - m_context.hop.started;
    m_router.counters().count(
        common::concat("kqg_calls_total{code=\"", common::number(code), "\"}"));
    m_router.counters().measure("kqg_call_ms", static_cast<double>(length.count()));
    common::end_span(m_context.hop, "router", now, common::number(code));
    m_router.remove(this);
}

} // namespace kumquatgap::router
