#include "gateway/attempt.hpp"

#include "common/text.hpp"
#include "io/response_match.hpp"

namespace kumquatgap::gateway
{

using fleet::attempt_outcome;
using policy::target_health;

namespace
{

constexpr int http_ok = 200;
constexpr int first_server_error = 500;
constexpr milliseconds connect_timeout{700};
/// A request that is not idempotent reuses an idle connection only for this long after its last
/// response, since the target may be about to close an older one.
constexpr milliseconds max_idle_for_non_idempotent{800};
constexpr milliseconds max_idle{30'000};
/// The largest response body that is buffered before it is forwarded.
constexpr std::size_t max_response_body_bytes = std::size_t{16} << 20;
/// The largest event of a stream.
constexpr std::size_t max_event_bytes = std::size_t{256} << 10;

} // namespace

attempt::attempt(gateway& owner, attempt_listener& listener, options how,
                 const io::http_request& request)
    : m_gateway{owner}, m_listener{listener}, m_options{std::move(how)}, m_started{common::now()},
      m_last_activity{m_started}, m_head_at{m_started}, m_events{max_event_bytes},
      m_charge{owner.loop().memory(), io::charge_kind::response}
{
    m_gateway.service(m_options.target.service).picker.sent(m_options.target.id, 1);
    io::call_events events{
        .on_head = [this](const io::http_response& head) { handle_head(head); },
        .on_data = [this](std::string_view bytes) { handle_data(bytes); },
        .on_end = [this](io::call_outcome end_kind, const io::http_response& response)
        { end(end_kind, response); },
        .matches_call =
            [id = m_options.request_id,
             &adapter = m_gateway.adapter()](const io::http_response& head)
        {
            const auto it = adapter.read_response(head);
            return io::may_answer(it.request_id, id);
        }};
    m_call = m_gateway.client().send(
        m_options.target.address, request, std::move(events),
        {.connect_timeout = connect_timeout,
         .max_idle = m_options.is_idempotent ? max_idle : max_idle_for_non_idempotent,
         .excluded_connections = m_options.used_connections,
         .accept_close_delimited = true});
    m_connection = m_call->connection();
    m_has_reused_connection = m_call->has_reused_connection();
}

attempt::~attempt()
{
    record_end(target_health::unknown);
    release_body();
}

void attempt::pause_reading(bool on)
{
    if (m_call)
        m_call->pause_reading(on);
}

void attempt::cancel(target_health health)
{
    record_end(health);
    m_call.reset();
}

void attempt::record_end(target_health health)
{
    if (!std::exchange(m_is_in_flight, false))
        return;
    const auto now = common::now();
    auto& state = m_gateway.service(m_options.target.service);
    state.picker.ended(m_options.target.id, 1, health,
                       std::chrono::duration_cast<milliseconds>(now - m_started), now);
    if (m_has_slot)
        state.queue.slot_freed(m_options.call);
}

void attempt::handle_head(const io::http_response& head)
{
    m_last_activity = common::now();
    m_head_at = m_last_activity;
    m_head = m_gateway.adapter().read_response(head);
    m_gateway.apply_target_notices(m_options.target, m_head, m_started);
    m_status = head.status;
    m_is_stream = m_options.expects_stream && head.status == http_ok && !m_head.is_not_executed &&
                  !m_head.is_encoded && m_head.request_id == m_options.request_id;
    if (m_is_stream)
        m_listener.stream_started(*this, head);
}

void attempt::handle_data(std::string_view bytes)
{
    if (m_is_stream)
        handle_events(bytes);
    else
        buffer_body(bytes);
}

void attempt::buffer_body(std::string_view bytes)
{
    m_last_activity = common::now();
    m_body += bytes;
    if (m_body.size() > max_response_body_bytes || !m_charge.try_set(m_body.capacity()))
        abort_oversized();
}

void attempt::handle_events(std::string_view bytes)
{
    const std::weak_ptr<bool> alive = m_alive;
    const bool is_within_limit = m_events.feed(bytes,
                                               [&](std::string_view text)
                                               {
                                                   if (alive.expired())
                                                       return;
                                                   const auto event = io::parse_event(text);
                                                   if (!event.is_blank())
                                                       m_last_activity = common::now();
                                                   m_listener.event_received(*this, text, event);
                                               });
    if (!alive.expired() && !is_within_limit && m_call)
        abort_oversized();
}

/// Returns the buffered body, which is no longer counted.
std::string attempt::release_body()
{
    m_charge.set(0);
    return std::exchange(m_body, {});
}

/// Ends an attempt whose response exceeds a limit and may be endless.
void attempt::abort_oversized()
{
    const auto call = std::move(m_call);
    end(io::call_outcome::oversized, {m_status, {}, {}});
}

attempt_outcome attempt::outcome_of(io::call_outcome how, const io::http_response& response) const
{
    if (how == io::call_outcome::not_connected)
        return attempt_outcome::not_sent;
    // The head alone proves that the target did not execute the call, even if the body is cut.
    if (response.status != 0 && m_head.is_misdirected)
        return attempt_outcome::other_target;
    if (response.status != 0 && m_head.is_not_executed)
        return attempt_outcome::refused_unrun;
    const bool is_complete = how == io::call_outcome::complete && !m_head.is_encoded &&
                             m_head.request_id == m_options.request_id &&
                             !m_events.has_partial_event();
    return is_complete ? attempt_outcome::answered : attempt_outcome::unknown;
}

bool attempt::indicates_service_outage() const
{
    const auto& stalls = m_gateway.service(m_options.target.service).stalls;
    return !m_head.failed_member.empty() && !stalls.is_progressing(common::now());
}

void attempt::end(io::call_outcome how, const io::http_response& response)
{
    m_end = how;
    const auto outcome = outcome_of(how, response);
    auto health = target_health::transport_failure;
    if (outcome == attempt_outcome::answered)
        health = response.status < first_server_error ? target_health::good : target_health::failed;
    else if (outcome == attempt_outcome::refused_unrun && m_head.failed_member.empty())
        health = target_health::failed;
    else if (outcome == attempt_outcome::refused_unrun && !indicates_service_outage())
        health = target_health::transport_failure;
    else if (outcome == attempt_outcome::refused_unrun)
        health = target_health::unknown;
    record_end(health);
    auto complete = response;
    complete.body = release_body();
    m_listener.attempt_ended(*this, outcome, complete);
}

} // namespace kumquatgap::gateway
