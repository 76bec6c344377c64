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

/// A caller that leaves this much of its answer unread is cut off.
constexpr std::size_t max_unsent_bytes = std::size_t{8} << 20;

constexpr int agent_took_call = 200;

constexpr std::string_view closing_event = "data: [DONE]\n\n";

failure to_failure(io::call_end how)
{
    if (how == io::call_end::not_connected)
        return {result_code::target_unreachable, ""};
    if (how == io::call_end::silent)
        return {result_code::target_timeout, "the agent fell silent"};
    if (how == io::call_end::oversized)
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
        return end_with(*refused);
    m_call_id = common::random_id();
    m_plan.emplace(m_context.rule, policy::plan_options{});
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
    m_body = m_context.received.request.body;
    attempt();
}

void exchange::attempt()
{
    const auto* target = m_router.pick(*m_resources, m_context.service->name, m_tried);
    if (target == nullptr)
        return follow(m_plan->no_target_left());
    send_to(*target);
}

protocol::agent_call exchange::make_call(const config::target& target) const
{
    const auto& request = m_context.received.request;
    return {.call_id = m_call_id,
            .attempt = m_attempt,
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
            .body = m_body};
}

void exchange::send_to(const config::target& target)
{
    m_target = target.name;
    m_attempt = common::random_id();
    m_check.emplace(m_attempt);
    m_splitter = {};
    m_whole_body.clear();
    m_router.picker().sent(m_target, common::now());
    const auto request =
        protocol::to_request(make_call(target), m_router.settings().common.deployment_token);
    m_call = m_router.client().send(
        target.agent_address, request,
        {{},
         [this](std::string_view bytes) { received(bytes); },
         [this](io::call_end how, const io::http_answer& answer) { attempt_ended(how, answer); }},
        {.connect_timeout = m_router.settings().agent_connect,
         .silence_timeout = m_router.settings().agent_silence,
         .reuse_connection = m_context.rule == policy::retry_rule::idempotent});
}

void exchange::received(std::string_view bytes)
{
    const auto self = shared_from_this();
    const auto attempt = m_attempt;
    m_router.picker().heard(m_target, common::now());
    const bool short_enough = m_splitter.feed(bytes,
                                              [&](std::string_view text)
                                              {
                                                  if (attempt == m_attempt && !m_finished)
                                                      received_event(text);
                                              });
    if (attempt != m_attempt || m_finished)
        return;
    flush();
    if (!short_enough)
        attempt_failed({result_code::bad_target_answer, "an event is too long"},
                       policy::attempt_result::transport_failure);
}

void exchange::received_event(std::string_view text)
{
    const auto event = protocol::from_text(text);
    if (!event)
        return attempt_failed({result_code::bad_target_answer, "a malformed event"},
                              policy::attempt_result::transport_failure);
    note_load(*event);
    const auto wrong = m_check->take(*event);
    if (wrong)
    {
        const bool refused = std::holds_alternative<protocol::answer_failure>(*event);
        return attempt_failed(*wrong, refused ? policy::attempt_result::refused
                                              : policy::attempt_result::transport_failure);
    }
    deliver(*event);
}

void exchange::note_load(const protocol::answer_event& event)
{
    const auto now = common::now();
    if (const auto* end = std::get_if<protocol::answer_end>(&event))
        m_router.picker().reported(m_target, end->load, now);
    if (const auto* failed = std::get_if<protocol::answer_failure>(&event))
        m_router.picker().reported(m_target, failed->load, now);
}

void exchange::deliver(const protocol::answer_event& event)
{
    if (const auto* head = std::get_if<protocol::answer_head>(&event))
        m_head = *head;
    else if (const auto* token = std::get_if<protocol::answer_token>(&event))
        deliver_token(*token);
    else if (const auto* body = std::get_if<protocol::answer_body>(&event))
        m_whole_body += body->bytes;
    else if (std::holds_alternative<protocol::answer_end>(event))
        answer_whole();
}

void exchange::deliver_token(const protocol::answer_token& token)
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
    m_outgoing += common::concat("data: ", token.data, "\n\n");
    m_delivered.add(token.data);
}

void exchange::flush()
{
    m_caller->write(m_outgoing);
    m_outgoing.clear();
    if (m_caller->unsent_bytes() <= max_unsent_bytes)
        return;
    m_caller->cut();
    finish(result_code::caller_gone);
}

void exchange::answer_whole()
{
    m_router.picker().ended(m_target, policy::attempt_result::answered, common::now());
    m_target.clear();
    if (m_caller->is_started())
    {
        m_outgoing += closing_event;
        m_caller->write(m_outgoing);
        m_outgoing.clear();
        m_caller->end();
    }
    else
    {
        m_caller->reply({m_head.status,
                         {{"Content-Type", m_head.content_type},
                          {"traceparent", common::traceparent(m_context.hop)}},
                         m_whole_body});
    }
    finish(result_code::ok);
}

void exchange::attempt_ended(io::call_end how, const io::http_answer& answer)
{
    if (m_finished)
        return;
    // An agent that takes a call says so with this status, whatever becomes of the call.
    if (how == io::call_end::complete && answer.status != agent_took_call)
        return attempt_failed({result_code::wrong_target, "the agent refused the router"},
                              policy::attempt_result::transport_failure);
    const auto health = how == io::call_end::complete ? policy::attempt_result::answered
                                                      : policy::attempt_result::transport_failure;
    attempt_failed(to_failure(how), health);
}

void exchange::attempt_failed(const failure& why, policy::attempt_result health)
{
    const auto self = shared_from_this();
    const auto now = common::now();
    if (!m_target.empty())
        m_router.picker().ended(m_target, health, now);
    common::log(common::log_level::info, "attempt_failed",
                {{"trace_id", m_context.hop.trace_id},
                 {"target", m_target},
                 {"code", common::number(why.code)},
                 {"detail", why.detail}});
    m_router.counters().count(
        common::concat("kqg_attempts_failed_total{code=\"", common::number(why.code), "\"}"));
    m_tried.insert(std::exchange(m_target, {}));
    m_call.reset();
    m_attempt.clear();
    flush();
    if (m_finished)
        return;
    const bool is_late = now >= m_deadline;
    policy::retry_budget nothing_left{0, 0};
    follow(m_plan->failed(why, !m_delivered.empty(), is_late ? nothing_left : m_router.retries()));
}

void exchange::follow(const policy::plan_step& step)
{
    if (std::holds_alternative<policy::try_another_target>(step))
        return attempt();
    if (const auto* ask = std::get_if<policy::query_outcome>(&step))
    {
        // The ledger answers wherever it is asked.
        m_tried.clear();
        m_pause_timer = m_router.loop().after(ask->pause, [this] { attempt(); });
        return;
    }
    if (const auto* last = std::get_if<policy::fail_call>(&step))
        return end_with(last->what);
    const auto rest = m_delivered.continuation(m_context.body);
    if (!rest)
        return end_with({result_code::stream_cut, "the rest can't be asked for"});
    m_body = rest->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    attempt();
}

void exchange::end_with(const failure& why)
{
    if (m_caller->is_started())
    {
        m_caller->write(shell::to_stream_event(why));
        // Without the closing chunk no client can take the answer for a whole one.
        m_caller->cut_after_sending();
    }
    else
    {
        auto answer = shell::to_answer(why);
        answer.headers.add("traceparent", common::traceparent(m_context.hop));
        m_caller->reply(answer);
    }
    finish(why.code);
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
    m_pause_timer.reset();
    const auto length = now - m_context.hop.started;
    m_router.counters().count(
        common::concat("kqg_calls_total{code=\"", common::number(code), "\"}"));
    m_router.counters().measure("kqg_call_ms", static_cast<double>(length.count()));
    common::end_span(m_context.hop, "router", now, common::number(code));
    m_router.remove(this);
}

} // namespace kumquatgap::router
