#pragma once

#include "fleet/attempt_outcome.hpp"
#include "fleet/target_table.hpp"
#include "gateway/gateway.hpp"
#include "io/http_client.hpp"
#include "io/sse.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace kumquatgap::gateway
{

class attempt;

/// What an attempt reports to its exchange.
class attempt_listener
{
public:
    attempt_listener() = default;
    attempt_listener(const attempt_listener&) = delete;
    attempt_listener& operator=(const attempt_listener&) = delete;
    virtual ~attempt_listener() = default;

    /// The head of a successful stream has come.
    virtual void stream_begun(attempt& it, const io::http_answer& head) = 0;
    /// A whole event of a stream has come: its text without the blank line, and its fields.
    virtual void event_received(attempt& it, std::string_view text, const io::sse_event& event) = 0;
    /// The attempt has ended; the answer counts only where the outcome is `answered`.
    virtual void attempt_ended(attempt& it, fleet::attempt_outcome outcome,
                               const io::http_answer& answer) = 0;
};

/// One call of an exchange to one target.
class attempt
{
public:
    /// What is sent where.
    struct plan
    {
        fleet::target target;
        std::string request_id;
        bool expects_stream = false;
        /// A call that must not repeat is not sent on a connection that may be about to close.
        bool may_repeat = false;
        milliseconds time_left{0};
    };

    attempt(gateway& owner, attempt_listener& listener, plan how, const io::http_request& request);
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;
    ~attempt();

    const fleet::target& target() const { return m_plan.target; }
    timestamp started() const { return m_started; }
    /// When its last event came, or its head before the first; bytes of an event that has no end
    /// don't count.
    timestamp last_heard() const { return m_last_heard; }
    bool has_begun_stream() const { return m_is_stream; }
    /// True when the target may have got the request.
    bool may_have_arrived() const { return m_call && m_call->was_sent(); }
    void pause_reading(bool on);
    /// The member of the target's group that its last answer named as being at fault.
    const std::string& fault_target() const { return m_head.fault_target; }
    /// How its connection ended.
    io::call_end connection_end() const { return m_end; }
    /// True when the target named a member of its group that is at fault, and no stream of the
    /// service goes on: then its group is lost. Else the service has other groups, and only this
    /// one is lost.
    bool shows_lost_service() const;
    /// Ends the attempt from this side; the listener hears nothing more.
    void cancel(policy::target_health health);

private:
    void take_head(const io::http_answer& head);
    void take_data(std::string_view bytes);
    void take_part(std::string_view bytes);
    void take_events(std::string_view bytes);
    std::string take_collected();
    void give_up_oversized();
    void end(io::call_end how, const io::http_answer& answer);
    fleet::attempt_outcome outcome_of(io::call_end how, const io::http_answer& answer) const;
    void note_end(policy::target_health health);

    gateway& m_gateway;
    attempt_listener& m_listener;
    plan m_plan;
    timestamp m_started;
    timestamp m_last_heard;
    target_answer m_head;
    int m_status = 0;
    io::call_end m_end = io::call_end::complete;
    bool m_is_stream = false;
    bool m_is_counted = true;
    std::string m_body;
    io::sse_splitter m_events;
    io::call_handle m_call;
    /// Expires with the attempt, since the listener may destroy it.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace kumquatgap::gateway
