#include "gateway/exchange.hpp"

#include "common/log.hpp"
#include "common/text.hpp"

#include <algorithm>

namespace kumquatgap::gateway
{

using common::result_code;
using fleet::attempt_outcome;
using policy::target_health;

namespace
{

constexpr int first_server_error = 500;
/// A call is not late for its engine's slowness alone: so much of its goal is left for waiting.
constexpr milliseconds least_slack{60};
/// A call with less time left than this is not sent again.
constexpr milliseconds least_time_left{60};
/// A stream is silent when it sends nothing for this long while others of its service go on.
constexpr milliseconds stream_silence{1100};

/// An idempotent call is sent elsewhere when it takes this many times its goal, at least.
constexpr int goals_before_repeat = 2;
constexpr milliseconds least_before_repeat{250};
/// For how long no call is placed at a group of which a member has failed.
constexpr milliseconds group_hold{250};
/// A caller that reads slower than its stream is written holds back the target beyond this.
constexpr std::size_t most_unsent_bytes = std::size_t{64} << 10;
/// When a caller is to come back to a gateway that can't serve yet or any more.
constexpr milliseconds retry_after_not_ready{500};
constexpr milliseconds retry_after_draining{100};

std::int64_t since(timestamp from, timestamp now)
{
    return (now - from).count();
}

} // namespace

exchange::exchange(gateway& owner, std::uint64_t number, io::received_request received,
                   io::responder_ptr answer)
    : m_gateway{owner}, m_number{number}, m_received{std::move(received)},
      m_answer{std::move(answer)}, m_arrived{common::now()}, m_deadline{m_arrived}
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
    m_caller = m_gateway.names().read_request(request);
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
    const auto* team = m_configuration->find_team(m_caller.key);
    if (team != nullptr)
    {
        m_team = team->name;
        m_priority = team->priority.value_or(m_priority);
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
        const bool may_be_read_on = why->code != result_code::router_draining;
        if (!may_be_read_on)
            m_answer->close_after_reply();
        m_answer->reply(m_gateway.names().failure_answer(*why));
        return end("request_refused", why->code, common::info(why->code).http_status);
    }
    m_answer->on_caller_gone(
        [self = weak_from_this()]
        {
            if (const auto it = self.lock())
                it->caller_gone();
        });
    const auto allowed =
        std::min(m_caller.time_allowed.value_or(m_route->timeout), m_route->timeout);
    m_deadline = m_arrived + allowed;
    m_record = fleet::attempt_record{m_route->kind, m_route->max_attempts};
    m_last_event_id = m_caller.last_event_id;
    if (!common::parse_number(std::string_view{m_last_event_id}, m_last_event_number))
        m_last_event_number = -1;
    m_service = fleet::pick_service(*m_route, m_gateway.draw());
    m_gateway.retries().note_call(m_service, m_arrived);
    const auto retry_after =
        m_gateway.service(m_service).line.offer(waiting(), m_arrived, m_gateway.draw());
    if (retry_after)
    {
        const common::failure failure{result_code::queue_full, "", *retry_after};
        m_answer->reply(m_gateway.names().failure_answer(failure));
        return end("request_refused", failure.code, common::info(failure.code).http_status);
    }
    m_is_waiting = true;
    m_gateway.dispatch(m_service);
}

policy::waiting_call exchange::waiting() const
{
    const auto& pace = m_gateway.service(m_service).pace;
    const auto usual = fleet::is_stream(m_route->kind)
                           ? std::min(pace.first_event_time(), m_route->goal - least_slack)
                           : milliseconds{0};
    // A stream that has begun keeps its caller waiting from its last event on.
    const auto heard = m_first_event ? common::now() : m_arrived;
    const auto leaves = m_route->patience.count() == 0 ? m_deadline : heard + m_route->patience;
    return {m_number, m_priority, heard, heard + m_route->goal - usual,
            std::min(m_deadline, leaves) - usual};
}

void exchange::wait_for_place()
{
    m_is_waiting = true;
    m_gateway.service(m_service).line.put_back(waiting(), common::now());
    // The place is taken after the event that is being handled, when the old attempt is gone.
    m_gateway.loop().defer([&owner = m_gateway, name = m_service] { owner.dispatch(name); });
}

void exchange::send_to(const fleet::target& it)
{
    m_is_waiting = false;
    const auto now = common::now();
    const auto time_left = m_deadline - now;
    if (!m_first_sent)
        m_first_sent = now;
    auto request = m_received.request;
    request.headers = m_gateway.names().target_fields(m_received.request,
                                                      {it.id, m_team, time_left, m_last_event_id});
    m_record.begin();
    m_last_event.reset();
    m_attempt = std::make_unique<attempt>(
        m_gateway, *this,
        attempt::plan{it, m_caller.id, fleet::is_stream(m_route->kind),
                      m_route->kind == fleet::call_kind::idempotent, time_left},
        request);
    common::log(common::log_level::debug, "attempt_sent",
                {{"id", m_caller.id}, {"target", it.id}, {"attempt", m_record.sent()}});
}

/// Leaves an attempt, which may be inside one of its own functions.
void exchange::take_back(attempt& it)
{
    if (m_attempt.get() != &it)
        return;
    m_gateway.loop().defer([old = std::shared_ptr<attempt>{std::move(m_attempt)}] {});
}

void exchange::stream_begun(attempt& /*it*/, const io::http_answer& head)
{
    if (m_answer->is_started())
        return;
    m_answer->start_stream(head.status, m_gateway.names().caller_fields(head));
    m_answer->on_drained(
        [self = weak_from_this()]
        {
            const auto it = self.lock();
            if (it && it->m_attempt)
                it->m_attempt->pause_reading(false);
        });
}

void exchange::event_received(attempt& it, std::string_view text, const io::sse_event& event)
{
    if (m_ended)
        return;
    std::int64_t n = 0;
    if (common::parse_number(event.id, n))
    {
        // A run that goes on behind an event may repeat it, and must not leave one out.
        if (n <= m_last_event_number)
            return;
        m_last_event_number = n;
    }
    if (!event.id.empty())
        m_last_event_id = event.id;
    if (!event.is_blank())
        note_event(it);
    pass_on(it, text);
}

/// Measures what an event tells of its target.
void exchange::note_event(const attempt& it)
{
    const auto now = common::now();
    auto& state = m_gateway.service(m_service);
    state.progress.note(now);
    if (!m_first_event)
    {
        m_first_event = now;
        state.is_suspect = false;
        state.pace.note_first_event(std::chrono::duration_cast<milliseconds>(now - it.started()));
        m_gateway.counters().measure(
            common::concat("kqg_run_first_event_ms{service=\"", m_service, "\"}"),
            static_cast<double>(since(it.started(), now)));
    }
    if (m_last_event)
        state.pace.note_pause(std::chrono::duration_cast<milliseconds>(now - *m_last_event));
    m_last_event = now;
    ++m_events;
}

void exchange::pass_on(attempt& it, std::string_view text)
{
    std::string whole{text};
    whole += "\n\n";
    m_answer->write(whole);
    if (m_answer->unsent_bytes() > most_unsent_bytes)
        it.pause_reading(true);
}

void exchange::attempt_ended(attempt& it, attempt_outcome outcome, const io::http_answer& answer)
{
    if (m_ended)
        return;
    m_record.end(outcome);
    m_gateway.counters().count(
        common::concat("kqg_attempts_total{outcome=\"", fleet::name_of(outcome), "\"}"));
    if (outcome != attempt_outcome::answered)
        m_gateway.failure_log().write(common::log_level::info, "attempt_failed",
                                      {{"id", m_caller.id},
                                       {"target", it.target().id},
                                       {"outcome", fleet::name_of(outcome)},
                                       {"end", io::name_of(it.connection_end())},
                                       {"status", answer.status},
                                       {"fault", it.fault_target()},
                                       {"events", m_events},
                                       {"ms", since(it.started(), common::now())}},
                                      common::now());
    if (outcome == attempt_outcome::answered)
        return answered(it, answer);
    if (outcome == attempt_outcome::other_target)
        m_gateway.target_found_wrong(it.target().id);
    if (outcome == attempt_outcome::refused_unrun && it.shows_lost_service())
        hold_service(it);
    else
        m_tried.insert(it.target().id);
    const auto if_unknown = it.connection_end() == io::call_end::oversized
                                ? result_code::answer_too_long
                                : result_code::outcome_unknown;
    take_back(it);
    not_answered(outcome, if_unknown);
}

/// A member of the service's one group has failed, so that no target can serve for now.
void exchange::hold_service(const attempt& it)
{
    auto& state = m_gateway.service(m_service);
    state.held_until = common::now() + group_hold;
    if (!std::exchange(state.is_suspect, true))
        common::log(common::log_level::warn, "group_lost",
                    {{"service", m_service}, {"fault", it.fault_target()}});
}

void exchange::answered(attempt& it, const io::http_answer& answer)
{
    const bool is_failure = answer.status >= first_server_error;
    const bool was_stream = it.has_begun_stream();
    m_gateway.service(m_service).is_suspect = false;
    m_tried.insert(it.target().id);
    take_back(it);
    if (was_stream)
        return finish_stream();
    if (is_failure && fleet::may_repeat(m_route->kind) &&
        has_target_left(attempt_outcome::answered) && may_try_again(attempt_outcome::answered))
    {
        m_fallback = answer;
        return wait_for_place();
    }
    if (m_answer->is_started())
        return fail(result_code::stream_cut, "the stream could not be resumed");
    relay(answer);
}

void exchange::not_answered(attempt_outcome outcome, result_code if_unknown)
{
    if (has_target_left(outcome) && may_try_again(outcome))
        return wait_for_place();
    if (has_fallback())
        return relay(*m_fallback);
    if (m_record.is_certainly_unrun())
        return refuse(outcome == attempt_outcome::not_sent ? result_code::target_unreachable
                                                           : result_code::no_target,
                      fleet::name_of(outcome).data());
    fail(if_unknown, fleet::name_of(outcome).data());
}

/// True when another attempt may end otherwise.
bool exchange::has_target_left(attempt_outcome last)
{
    const auto next =
        fleet::next_after(last, m_gateway.targets().usable(m_service, common::now()), m_tried);
    if (next == fleet::next_target::any)
        m_tried.clear();
    return next != fleet::next_target::none;
}

bool exchange::may_try_again(attempt_outcome last)
{
    const auto now = common::now();
    if (m_deadline - now < least_time_left || !m_record.may_send_again())
        return false;
    // A call that never arrived costs the target nothing.
    return last == attempt_outcome::not_sent || m_gateway.retries().take(m_service, now);
}

/// True when a target's failure can be passed on: a stream that has begun can only be cut.
bool exchange::has_fallback() const
{
    return m_fallback && !m_answer->is_started();
}

void exchange::relay(const io::http_answer& answer)
{
    io::http_answer out{answer.status, m_gateway.names().caller_fields(answer), answer.body};
    m_answer->reply(out);
    end("request_answered", result_code::ok, answer.status);
}

void exchange::finish_stream()
{
    m_answer->end();
    end("request_answered", result_code::ok, 200);
}

void exchange::refuse(result_code code, const std::string& detail)
{
    if (m_answer->is_started())
        return fail(result_code::stream_cut, detail);
    const auto retry_after = time_to_come_back();
    m_answer->reply(m_gateway.names().failure_answer({code, detail, retry_after}));
    end("request_refused", code, common::info(code).http_status);
}

/// When the caller is to come back: no sooner than a target takes calls again.
milliseconds exchange::time_to_come_back() const
{
    const auto now = common::now();
    const auto by_line = m_gateway.service(m_service).line.retry_after(now, m_gateway.draw());
    const auto back_at = m_gateway.targets().all_busy_until(m_service, now);
    if (!back_at)
        return by_line;
    return std::chrono::duration_cast<milliseconds>(*back_at - now) + by_line;
}

/// Ends a call that may have run. A stream that has begun is cut, so that it can't pass as whole.
void exchange::fail(result_code code, const std::string& detail)
{
    const auto ended = m_answer->is_started() ? result_code::stream_cut : code;
    if (m_answer->is_started())
        m_answer->cut_after_sending();
    else
        m_answer->reply(m_gateway.names().failure_answer({code, detail}));
    end("request_failed", ended, common::info(ended).http_status);
}

void exchange::waited_too_long()
{
    if (m_ended || !m_is_waiting)
        return;
    m_is_waiting = false;
    if (has_fallback())
        return relay(*m_fallback);
    if (m_record.is_certainly_unrun())
        return refuse(result_code::deadline_unreachable, "");
    fail(result_code::outcome_unknown, "no other target had a place");
}

void exchange::deadline_passed()
{
    if (m_is_waiting)
        m_gateway.service(m_service).line.remove(m_number);
    if (m_is_waiting)
        return waited_too_long();
    if (m_attempt && m_attempt->may_have_arrived())
        m_record.end(attempt_outcome::unknown);
    if (m_attempt)
        m_attempt->cancel(target_health::unknown);
    if (has_fallback())
        return relay(*m_fallback);
    if (m_record.is_certainly_unrun())
        return refuse(result_code::deadline_unreachable, "");
    fail(result_code::target_timeout, "");
}

bool exchange::is_stalled(const attempt& it, timestamp now) const
{
    const auto& state = m_gateway.service(m_service);
    // A group that stands still silences all its streams alike: none is better off elsewhere.
    if (m_route->kind == fleet::call_kind::resumable_stream)
        return state.progress.is_going(now) &&
               now - std::max(it.last_heard(), state.progress.going_since()) > stream_silence;
    const auto limit = std::max(m_route->goal * goals_before_repeat, least_before_repeat);
    return m_route->kind == fleet::call_kind::idempotent && now - it.started() > limit;
}

void exchange::check_time(timestamp now)
{
    if (m_ended)
        return;
    if (now >= m_deadline)
        return deadline_passed();
    if (!m_attempt || !is_stalled(*m_attempt, now))
        return;
    // An attempt is given up only for another target.
    auto tried = m_tried;
    tried.insert(m_attempt->target().id);
    if (fleet::next_after(attempt_outcome::unknown, m_gateway.targets().usable(m_service, now),
                          tried) != fleet::next_target::untried ||
        !may_try_again(attempt_outcome::unknown))
        return;
    common::log(common::log_level::info, "attempt_stalled",
                {{"id", m_caller.id},
                 {"target", m_attempt->target().id},
                 {"events", m_events},
                 {"silent_ms", since(m_attempt->last_heard(), now)}});
    m_record.end(attempt_outcome::unknown);
    m_tried.insert(m_attempt->target().id);
    m_attempt->cancel(target_health::broken);
    take_back(*m_attempt);
    if (m_record.may_send_again())
        return wait_for_place();
    fail(result_code::target_timeout, "");
}

void exchange::caller_gone()
{
    if (m_ended)
        return;
    if (m_is_waiting)
        m_gateway.service(m_service).line.remove(m_number);
    if (m_attempt)
        m_attempt->cancel(target_health::unknown);
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
            .code = code,
            .status = status,
            .attempts = m_record.sent(),
            .wait_ms = m_first_sent ? since(m_arrived, *m_first_sent) : -1,
            .first_ms = m_first_event ? since(m_arrived, *m_first_event) : -1,
            .events = m_events,
            .ms = since(m_arrived, now),
            .waiting = m_service.empty() ? 0 : m_gateway.service(m_service).line.size(),
            .targets = m_gateway.targets().usable(m_service, now).size(),
            .state = m_gateway.state_revision(),
            .config = m_configuration ? m_configuration->version : 0};
}

void exchange::end(std::string_view event, result_code code, int status)
{
    if (std::exchange(m_ended, true))
        return;
    const auto now = common::now();
    const auto it = summary(event, code, status, now);
    count(m_gateway.counters(), it);
    write_line(code == result_code::ok ? m_gateway.ordinary_log() : m_gateway.failure_log(), it,
               now);
    if (m_attempt)
        take_back(*m_attempt);
    m_gateway.remove(*this);
    if (!m_service.empty())
        m_gateway.loop().defer([&owner = m_gateway, name = m_service] { owner.dispatch(name); });
}

} // namespace kumquatgap::gateway
