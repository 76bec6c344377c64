#include "gateway/exchange.hpp"

#include "common/log.hpp"
#include "common/text.hpp"

#include <absl/strings/str_join.h>

#include <algorithm>

namespace kumquatgap::gateway
{

using common::result_code;
using fleet::attempt_outcome;
using fleet::attempt_report;
using fleet::pair_decision;

namespace
{

constexpr int first_server_error = 500;
/// For how long no call is sent to a group that has a failed member.
constexpr milliseconds group_pause{250};
/// When more than this is unsent because the caller reads slowly, reading from the target pauses.
constexpr std::size_t max_unsent_bytes = std::size_t{64} << 10;
/// Retry-After of a gateway that has no configuration yet or that is shutting down.
constexpr milliseconds retry_after_not_ready{500};
constexpr milliseconds retry_after_draining{100};

std::int64_t elapsed_ms(timestamp from, timestamp now)
{
    return (now - from).count();
}

} // namespace

exchange::exchange(gateway& owner, std::uint64_t number, io::received_request received,
                   io::responder_ptr responder)
    : m_gateway{owner}, m_number{number}, m_received{std::move(received)},
      m_responder{std::move(responder)}, m_arrived_at{common::now()}, m_deadline{m_arrived_at}
{
}

exchange::~exchange() = default;

std::optional<common::failure> exchange::check_request()
{
    const auto& request = m_received.request;
    if (m_received.timed_out)
        return common::failure{result_code::request_timeout, ""};
    if (m_received.headers_too_large)
        return common::failure{result_code::headers_too_large, ""};
    if (m_received.body_too_large)
        return common::failure{result_code::body_too_large, ""};
    m_caller = m_gateway.adapter().read_request(request);
    if (m_caller.id.empty())
        return common::failure{result_code::bad_request, "The request has no id."};
    m_configuration = m_gateway.configuration();
    if (!m_configuration)
        return common::failure{result_code::not_ready, "", retry_after_not_ready};
    if (m_gateway.refuses_calls())
        return common::failure{result_code::router_draining, "", retry_after_draining};
    m_route = m_configuration->find_route(request.headers.find("host"), request.path);
    if (m_route == nullptr)
        return common::failure{result_code::unknown_route, ""};
    m_priority = m_route->priority;
    m_regions = m_route->regions;
    const auto* team = m_configuration->find_team(m_caller.api_key);
    if (team != nullptr)
    {
        m_team = team->name;
        m_priority = team->priority.value_or(m_priority);
        m_regions = m_regions.intersected_with(team->regions);
    }
    else if (m_configuration->has_teams && !m_route->is_public)
        return common::failure{result_code::unknown_team, ""};
    return std::nullopt;
}

void exchange::start()
{
    const auto why = check_request();
    if (why)
    {
        const bool keeps_connection = why->code != result_code::router_draining;
        if (!keeps_connection)
            m_responder->close_after_reply();
        m_responder->reply(m_gateway.adapter().error_response(*why));
        return end("request_refused", why->code, common::info(why->code).http_status);
    }
    m_responder->on_caller_gone(
        [self = weak_from_this()]
        {
            if (const auto it = self.lock())
                it->handle_disconnect();
        });
    const auto limit = std::min(m_caller.time_allowed.value_or(m_route->timeout), m_route->timeout);
    m_deadline = m_arrived_at + limit;
    m_attempts = fleet::attempt_history{m_route->kind, m_route->max_attempts};
    m_last_event_id = m_caller.last_event_id;
    if (!common::parse_number(std::string_view{m_last_event_id}, m_last_event_number))
        m_last_event_number = -1;
    m_service = fleet::pick_service(*m_route, m_gateway.random());
    m_marks = crash_guard::marks_of(m_service, m_team.empty() ? m_caller.api_key : m_team,
                                    m_received.request, m_caller.prompt_parts);
    if (is_quarantined())
        return refuse_quarantined();
    if (const auto why = placement_refusal())
        return refuse(*why, "");
    m_gateway.retry_budget().record_call(m_service, m_arrived_at);
    const auto retry_after =
        m_gateway.service(m_service).queue.offer(queue_entry(), m_arrived_at, m_gateway.random());
    if (retry_after)
    {
        const common::failure failure{result_code::queue_full, "", *retry_after};
        m_responder->reply(m_gateway.adapter().error_response(failure));
        return end("request_refused", failure.code, common::info(failure.code).http_status);
    }
    m_is_queued = true;
    m_gateway.dispatch(m_service);
}

void exchange::requeue()
{
    m_is_queued = true;
    m_gateway.service(m_service).queue.requeue(queue_entry(), common::now());
    // Dispatched after the event that is being handled, once the old attempt is destroyed.
    m_gateway.loop().defer([&owner = m_gateway, name = m_service] { owner.dispatch(name); });
}

void exchange::send_to(const fleet::target& it)
{
    m_is_queued = false;
    m_is_target_reported = false;
    const auto now = common::now();
    if (m_gateway.evacuated().covers(it.data_centre))
        m_gateway.record_evacuated_send(it, now);
    const auto time_left = m_deadline - now;
    if (!m_first_sent_at)
        m_first_sent_at = now;
    auto request = m_received.request;
    request.headers = m_gateway.adapter().target_request_headers(
        m_received.request, {it.id, m_team, time_left, m_last_event_id});
    m_attempts.begin();
    m_last_event_at.reset();
    m_last_gap = milliseconds{0};
    m_attempt = std::make_unique<attempt>(
        m_gateway, *this,
        attempt::options{it, m_caller.id, m_number, fleet::is_stream(m_route->kind),
                         m_route->kind == fleet::call_kind::idempotent, time_left,
                         m_used_connections},
        request);
    m_used_connections.push_back(m_attempt->connection());
    common::log(common::log_level::debug, "attempt_sent",
                {{"id", m_caller.id},
                 {"target", it.id},
                 {"attempt", m_attempts.sent()},
                 {"connection", m_attempt->connection()},
                 {"reused", m_attempt->has_reused_connection() ? 1 : 0}});
}

void exchange::release_attempt(attempt& it)
{
    const bool is_former = m_former && m_former->held.get() == &it;
    if (!is_former && m_attempt.get() != &it)
        return;
    auto& owner = is_former ? m_former->held : m_attempt;
    m_gateway.loop().defer([old = std::shared_ptr<attempt>{std::move(owner)}] {});
    if (is_former)
        m_former.reset();
    else if (m_former)
        return_to_former();
}

void exchange::stream_started(attempt& sender, const io::http_response& head)
{
    if (m_responder->is_started())
        return;
    decide_between_attempts(sender, attempt_report::head);
    m_responder->start_stream(head.status, m_gateway.adapter().caller_response_headers(head));
    m_responder->on_drained(
        [self = weak_from_this()]
        {
            const auto it = self.lock();
            if (it && it->m_attempt)
                it->m_attempt->pause_reading(false);
            if (it && it->m_former)
                it->m_former->held->pause_reading(false);
        });
}

void exchange::event_received(attempt& it, std::string_view text, const io::sse_event& event)
{
    if (m_ended)
        return;
    decide_between_attempts(it,
                            event.is_blank() ? attempt_report::blank_event : attempt_report::event);
    std::int64_t n = 0;
    if (common::parse_number(event.id, n))
    {
        // A resumed stream may repeat the event after which it resumes, but must not skip any.
        if (n <= m_last_event_number)
            return;
        m_last_event_number = n;
    }
    if (!event.id.empty())
        m_last_event_id = event.id;
    if (!event.is_blank())
        record_event(it);
    forward_event(it, text);
}

/// Updates the service's latency model and stall detector after an event.
void exchange::record_event(const attempt& it)
{
    const auto now = common::now();
    auto& state = m_gateway.service(m_service);
    state.stalls.record_progress(now);
    if (!m_first_event_at)
    {
        m_first_event_at = now;
        state.is_recovering = false;
        state.latency.record_first_event_latency(
            std::chrono::duration_cast<milliseconds>(now - it.started()));
        m_gateway.metrics().measure(
            common::concat("kqg_run_first_event_ms{service=\"", m_service, "\"}"),
            static_cast<double>(elapsed_ms(it.started(), now)));
    }
    if (!m_last_event_at)
        m_gateway.crashes().record_served(
            m_marks, std::chrono::duration_cast<milliseconds>(it.head_at() - it.started()),
            std::chrono::duration_cast<milliseconds>(now - it.started()), now);
    else
    {
        m_last_gap = std::chrono::duration_cast<milliseconds>(now - *m_last_event_at);
        state.latency.record_event_gap(m_last_gap);
    }
    m_last_event_at = now;
    ++m_event_count;
}

void exchange::forward_event(attempt& it, std::string_view text)
{
    std::string framed{text};
    framed += "\n\n";
    m_responder->write(framed);
    if (m_responder->unsent_bytes() > max_unsent_bytes)
        it.pause_reading(true);
}

void exchange::attempt_ended(attempt& it, attempt_outcome outcome, const io::http_response& answer)
{
    if (m_ended)
        return;
    leave_queue();
    m_attempts.end(outcome);
    m_gateway.metrics().count(
        common::concat("kqg_attempts_total{outcome=\"", fleet::name_of(outcome), "\"}"));
    if (outcome != attempt_outcome::answered)
        m_gateway.failure_log().write(common::log_level::info, "attempt_failed",
                                      {{"id", m_caller.id},
                                       {"target", it.target().id},
                                       {"outcome", fleet::name_of(outcome)},
                                       {"end", io::name_of(it.connection_end())},
                                       {"status", answer.status},
                                       {"fault", it.failed_member()},
                                       {"has_head", it.has_head() ? 1 : 0},
                                       {"events", m_event_count},
                                       {"connection", it.connection()},
                                       {"parts", absl::StrJoin(m_caller.prompt_parts, ",")},
                                       {"ms", elapsed_ms(it.started(), common::now())}},
                                      common::now());
    if (outcome == attempt_outcome::answered)
        return handle_response(it, answer);
    if (&it == m_attempt.get())
        report_loss(it, outcome);
    if (outcome == attempt_outcome::other_target)
        m_gateway.release_address(it.target().id);
    if (outcome == attempt_outcome::refused_unrun && it.indicates_service_outage())
        pause_service(it);
    else
        m_tried.insert(it.target().id);
    const auto if_unknown = it.connection_end() == io::call_outcome::oversized
                                ? result_code::answer_too_long
                                : result_code::outcome_unknown;
    const auto decision = decide_between_attempts(it, attempt_report::failure);
    release_attempt(it);
    if (decision != pair_decision::drop)
        handle_failure(outcome, if_unknown);
}

/// Pauses the service: a member of its only group has failed, so no target can serve for now.
void exchange::pause_service(const attempt& it)
{
    auto& state = m_gateway.service(m_service);
    state.paused_until = common::now() + group_pause;
    if (!std::exchange(state.is_recovering, true))
        common::log(common::log_level::warn, "group_lost",
                    {{"service", m_service}, {"fault", it.failed_member()}});
}

void exchange::handle_response(attempt& it, const io::http_response& response)
{
    const bool is_failure = response.status >= first_server_error;
    const bool was_stream = it.has_started_stream();
    if (!was_stream)
    {
        const auto now = common::now();
        const auto time = std::chrono::duration_cast<milliseconds>(now - it.started());
        m_gateway.crashes().record_served(m_marks, time, time, now);
    }
    m_gateway.service(m_service).is_recovering = false;
    m_tried.insert(it.target().id);
    auto report = is_failure ? attempt_report::error_response : attempt_report::response;
    if (was_stream)
        report = attempt_report::stream_end;
    const auto decision = decide_between_attempts(it, report);
    release_attempt(it);
    if (decision == pair_decision::drop)
    {
        m_fallback = response;
        return;
    }
    if (was_stream)
        return finish_stream();
    if (is_failure && fleet::is_safe_to_retry(m_route->kind) &&
        has_retry_target(attempt_outcome::answered) && claim_retry(attempt_outcome::answered))
    {
        m_fallback = response;
        return requeue();
    }
    if (m_responder->is_started())
        return fail(result_code::stream_cut, "the stream could not be resumed");
    forward_response(response);
}

void exchange::handle_failure(attempt_outcome outcome, result_code if_unknown)
{
    if (has_retry_target(outcome) && claim_retry(outcome))
        return requeue();
    if (has_fallback_response())
        return forward_response(*m_fallback);
    if (m_attempts.is_certainly_not_executed())
    {
        const auto other = outcome == attempt_outcome::not_sent ? result_code::target_unreachable
                                                                : result_code::no_target;
        return refuse(placement_refusal().value_or(other), fleet::name_of(outcome).data());
    }
    fail(if_unknown, fleet::name_of(outcome).data());
}

/// True when a target's error response can be forwarded; a started stream can only be cut off.
bool exchange::has_fallback_response() const
{
    return m_fallback && !m_responder->is_started();
}

void exchange::forward_response(const io::http_response& from)
{
    io::http_response it{from.status, m_gateway.adapter().caller_response_headers(from), from.body};
    m_responder->reply(it);
    end("request_answered", result_code::ok, from.status);
}

void exchange::finish_stream()
{
    m_responder->end();
    end("request_answered", result_code::ok, 200);
}

void exchange::refuse(result_code code, const std::string& detail)
{
    if (m_responder->is_started())
        return fail(result_code::stream_cut, detail);
    // Another gateway may serve the call at once when this one is about to exit.
    const auto retry_after =
        code == result_code::router_draining ? retry_after_draining : retry_after_time(code);
    m_responder->reply(m_gateway.adapter().error_response({code, detail, retry_after}));
    end("request_refused", code, common::info(code).http_status);
}

bool exchange::is_quarantined() const
{
    return !m_last_event_at &&
           m_gateway.crashes().judge(m_marks) == policy::part_verdict::quarantined;
}

void exchange::refuse_quarantined()
{
    const auto why = m_gateway.crashes().refusal(m_marks, common::now());
    m_responder->reply(m_gateway.adapter().error_response(why));
    end("request_refused", why.code, common::info(why.code).http_status);
}

/// Ends a call that is queued or that its target has not begun to answer.
void exchange::handle_quarantine()
{
    leave_queue();
    end_attempts();
    if (m_attempts.is_certainly_not_executed() && !m_responder->is_started())
        return refuse_quarantined();
    const auto why = m_gateway.crashes().refusal(m_marks, common::now());
    fail(result_code::outcome_unknown, common::info(why.code).name.data());
}

void exchange::report_loss(const attempt& it, attempt_outcome outcome)
{
    if (m_last_event_at)
        return;
    auto& crashes = m_gateway.crashes();
    if (outcome == attempt_outcome::not_sent)
        crashes.record_gone(it.target(), common::now());
    else if (outcome == attempt_outcome::unknown && it.connection_end() == io::call_outcome::cut)
        crashes.record_lost({.target = it.target(),
                             .health_path = m_configuration->health_path(m_service),
                             .marks = m_marks,
                             .id = m_caller.id,
                             .has_head = it.has_head(),
                             .is_group = m_configuration->is_group(m_service)},
                            common::now());
}

/// Ends a call that may have been executed. A started stream is cut, so it can't look complete.
void exchange::fail(result_code code, const std::string& detail)
{
    const auto ended = m_responder->is_started() ? result_code::stream_cut : code;
    if (m_responder->is_started())
        m_responder->cut_after_sending();
    else
        m_responder->reply(m_gateway.adapter().error_response({code, detail}));
    end("request_failed", ended, common::info(ended).http_status);
}

void exchange::handle_disconnect()
{
    if (m_ended)
        return;
    leave_queue();
    end_attempts();
    end("caller_gone", result_code::caller_gone, 0);
}

call_summary exchange::summary(std::string_view event, result_code code, int status,
                               timestamp now) const
{
    return {.event = event,
            .id = m_caller.id,
            .route = m_route == nullptr ? std::string_view{} : m_route->name,
            .service = m_service,
            .team = m_team,
            .priority = m_priority,
            .is_late = is_late(now),
            .code = code,
            .status = status,
            .attempts = m_attempts.sent(),
            .wait_ms = m_first_sent_at ? elapsed_ms(m_arrived_at, *m_first_sent_at) : -1,
            .first_ms = m_first_event_at ? elapsed_ms(m_arrived_at, *m_first_event_at) : -1,
            .events = m_event_count,
            .ms = elapsed_ms(m_arrived_at, now),
            .waiting = m_service.empty() ? 0 : m_gateway.service(m_service).queue.size(),
            .targets = m_gateway.eligibility().eligible(m_service, m_regions, now).size(),
            .state = m_gateway.state_revision(),
            .config = m_configuration ? m_configuration->version : 0};
}

void exchange::end(std::string_view event, result_code code, int status)
{
    if (std::exchange(m_ended, true))
        return;
    const auto now = common::now();
    const auto it = summary(event, code, status, now);
    record_metrics(m_gateway.metrics(), it);
    write_log_line(code == result_code::ok ? m_gateway.success_log() : m_gateway.failure_log(), it,
                   now);
    if (m_former)
        release_attempt(*m_former->held);
    if (m_attempt)
        release_attempt(*m_attempt);
    m_gateway.remove(*this);
    if (!m_service.empty())
        m_gateway.loop().defer([&owner = m_gateway, name = m_service] { owner.dispatch(name); });
}

} // namespace kumquatgap::gateway
