#include "gateway/attempt.hpp"

#include "common/text.hpp"

namespace kumquatgap::gateway
{

using fleet::attempt_outcome;
using policy::target_health;

namespace
{

constexpr int http_ok = 200;
constexpr int first_server_error = 500;
constexpr milliseconds connect_timeout{700};
/// Calls that must not repeat use a kept connection only this soon after its last answer.
constexpr milliseconds longest_idle_for_once{800};
constexpr milliseconds longest_idle{30'000};
/// The longest answer that is collected before it is passed on.
constexpr std::size_t most_collected_bytes = std::size_t{16} << 20;
/// The longest event of a stream.
constexpr std::size_t most_event_bytes = std::size_t{256} << 10;

} // namespace

attempt::attempt(gateway& owner, attempt_listener& listener, plan how,
                 const io::http_request& request)
    : m_gateway{owner}, m_listener{listener}, m_plan{std::move(how)}, m_started{common::now()},
      m_last_heard{m_started}, m_events{most_event_bytes}
{
    m_gateway.service(m_plan.target.service).board.sent(m_plan.target.id, 1);
    io::call_events events{
        .on_head = [this](const io::http_answer& head) { take_head(head); },
        .on_data = [this](std::string_view bytes) { take_data(bytes); },
        .on_end = [this](io::call_end end_kind, const io::http_answer& answer)
        { end(end_kind, answer); },
        .is_own =
            [id = m_plan.request_id, &names = m_gateway.names()](const io::http_answer& head)
        {
            const auto it = names.read_answer(head);
            return it.request_id.empty() || it.request_id == id;
        }};
    m_call = m_gateway.client().send(
        m_plan.target.address, request, std::move(events),
        {.connect_timeout = connect_timeout,
         .longest_idle = m_plan.may_repeat ? longest_idle : longest_idle_for_once,
         .accept_unframed = true});
}

attempt::~attempt()
{
    note_end(target_health::unknown);
    take_collected();
}

void attempt::pause_reading(bool on)
{
    if (m_call)
        m_call->pause_reading(on);
}

void attempt::cancel(target_health health)
{
    note_end(health);
    m_call.reset();
}

void attempt::note_end(target_health health)
{
    if (!std::exchange(m_is_counted, false))
        return;
    const auto now = common::now();
    auto& state = m_gateway.service(m_plan.target.service);
    state.board.ended(m_plan.target.id, 1, health,
                      std::chrono::duration_cast<milliseconds>(now - m_started), now);
}

void attempt::take_head(const io::http_answer& head)
{
    m_last_heard = common::now();
    m_head = m_gateway.names().read_answer(head);
    m_gateway.target_said(m_plan.target, m_head);
    m_status = head.status;
    m_is_stream = m_plan.expects_stream && head.status == http_ok && !m_head.is_unrun &&
                  !m_head.is_encoded && m_head.request_id == m_plan.request_id;
    if (m_is_stream)
        m_listener.stream_begun(*this, head);
}

void attempt::take_data(std::string_view bytes)
{
    if (m_is_stream)
        take_events(bytes);
    else
        take_part(bytes);
}

void attempt::take_part(std::string_view bytes)
{
    m_last_heard = common::now();
    m_body += bytes;
    m_gateway.collected_bytes() += bytes.size();
    if (m_body.size() > most_collected_bytes ||
        m_gateway.collected_bytes() > gateway::most_collected_bytes)
        give_up_oversized();
}

void attempt::take_events(std::string_view bytes)
{
    const std::weak_ptr<bool> alive = m_alive;
    const bool is_short_enough = m_events.feed(bytes,
                                               [&](std::string_view text)
                                               {
                                                   if (alive.expired())
                                                       return;
                                                   const auto event = io::parse_event(text);
                                                   if (!event.is_blank())
                                                       m_last_heard = common::now();
                                                   m_listener.event_received(*this, text, event);
                                               });
    if (!alive.expired() && !is_short_enough && m_call)
        give_up_oversized();
}

/// What was collected of the body, which no longer counts as such.
std::string attempt::take_collected()
{
    m_gateway.collected_bytes() -= m_body.size();
    return std::exchange(m_body, {});
}

/// Ends an answer that may have no end.
void attempt::give_up_oversized()
{
    const auto call = std::move(m_call);
    end(io::call_end::oversized, {m_status, {}, {}});
}

attempt_outcome attempt::outcome_of(io::call_end how, const io::http_answer& answer) const
{
    if (how == io::call_end::not_connected)
        return attempt_outcome::not_sent;
    // The head alone is enough for a promise that the call did not run.
    if (answer.status != 0 && m_head.is_other_target)
        return attempt_outcome::other_target;
    if (answer.status != 0 && m_head.is_unrun)
        return attempt_outcome::refused_unrun;
    const bool is_whole = how == io::call_end::complete && !m_head.is_encoded &&
                          m_head.request_id == m_plan.request_id && !m_events.has_rest();
    return is_whole ? attempt_outcome::answered : attempt_outcome::unknown;
}

bool attempt::shows_lost_service() const
{
    const auto& progress = m_gateway.service(m_plan.target.service).progress;
    return !m_head.fault_target.empty() && !progress.is_going(common::now());
}

void attempt::end(io::call_end how, const io::http_answer& answer)
{
    m_end = how;
    const auto outcome = outcome_of(how, answer);
    auto health = target_health::broken;
    if (outcome == attempt_outcome::answered)
        health = answer.status < first_server_error ? target_health::good : target_health::failed;
    else if (outcome == attempt_outcome::refused_unrun && m_head.fault_target.empty())
        health = target_health::failed;
    else if (outcome == attempt_outcome::refused_unrun && !shows_lost_service())
        health = target_health::broken;
    else if (outcome == attempt_outcome::refused_unrun)
        health = target_health::unknown;
    note_end(health);
    auto whole = answer;
    whole.body = take_collected();
    m_listener.attempt_ended(*this, outcome, whole);
}

} // namespace kumquatgap::gateway
