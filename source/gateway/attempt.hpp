#pragma once

#include "fleet/attempt_outcome.hpp"
#include "fleet/target_table.hpp"
#include "gateway/gateway.hpp"
#include "io/http_client.hpp"
#include "io/sse.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::gateway
{

class attempt;

/// Receives the events of an attempt.
class attempt_listener
{
public:
    attempt_listener() = default;
    attempt_listener(const attempt_listener&) = delete;
    attempt_listener& operator=(const attempt_listener&) = delete;
    virtual ~attempt_listener() = default;

    /// Called with the response head of a successful stream.
    virtual void stream_started(attempt& sender, const io::http_response& head) = 0;
    /// Called for each complete event of a stream, with its text without the blank line and its
    /// parsed fields.
    virtual void event_received(attempt& sender, std::string_view text,
                                const io::sse_event& event) = 0;
    /// Called once at the end; the response is valid only if the outcome is `answered`.
    virtual void attempt_ended(attempt& sender, fleet::attempt_outcome outcome,
                               const io::http_response& response) = 0;
};

/// One request of an exchange to one target.
class attempt
{
public:
    /// The target, and how to send the request to it.
    struct options
    {
        fleet::target target;
        std::string request_id;
        /// The number of the exchange.
        std::uint64_t call = 0;
        bool expects_stream = false;
        /// A request that is not idempotent must not use a connection that the target may be
        /// about to close.
        bool is_idempotent = false;
        milliseconds time_left{0};
        /// Connections that have carried an earlier attempt of the call, and don't carry this one.
        std::vector<io::connection_number> used_connections = {};
    };

    attempt(gateway& owner, attempt_listener& listener, options how,
            const io::http_request& request);
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;
    ~attempt();

    const fleet::target& target() const { return m_options.target; }
    timestamp started() const { return m_started; }
    /// When the last complete event arrived, or the response head before the first event. Bytes of
    /// an incomplete event don't count.
    timestamp last_activity() const { return m_last_activity; }
    bool has_started_stream() const { return m_is_stream; }
    /// True once the response head has arrived.
    bool has_head() const { return m_status != 0; }
    /// When the response head arrived, or the start of the attempt before that.
    timestamp head_at() const { return m_head_at; }
    /// True when the target may have received the request.
    bool may_have_reached_target() const { return m_call && m_call->may_have_been_sent(); }
    /// The connection that carries or has carried the attempt; 0 if none could be opened.
    io::connection_number connection() const { return m_connection; }
    /// True when the connection had carried another call before.
    bool has_reused_connection() const { return m_has_reused_connection; }
    void pause_reading(bool on);
    /// Another attempt counts for the call's slot from now on.
    void give_up_slot() { m_has_slot = false; }
    /// The failed member of the target's group, as the last response head named it.
    const std::string& failed_member() const { return m_head.failed_member; }
    /// How the connection ended.
    io::call_outcome connection_end() const { return m_end; }
    /// True when the response named a failed member of the target's group and no stream of the
    /// service progresses. If another stream progresses, the service has several groups and only
    /// the target's group is out of service.
    bool indicates_service_outage() const;
    /// Ends the attempt without a further call to the listener.
    void cancel(policy::target_health health);

private:
    void handle_head(const io::http_response& head);
    void handle_data(std::string_view bytes);
    void buffer_body(std::string_view bytes);
    void handle_events(std::string_view bytes);
    std::string release_body();
    void abort_oversized();
    void end(io::call_outcome how, const io::http_response& response);
    fleet::attempt_outcome outcome_of(io::call_outcome how,
                                      const io::http_response& response) const;
    void record_end(policy::target_health health);

    gateway& m_gateway;
    attempt_listener& m_listener;
    options m_options;
    timestamp m_started;
    timestamp m_last_activity;
    timestamp m_head_at;
    target_response m_head;
    int m_status = 0;
    io::call_outcome m_end = io::call_outcome::complete;
    bool m_is_stream = false;
    /// True until the end of the attempt was recorded in the picker.
    bool m_is_in_flight = true;
    bool m_has_slot = true;
    std::string m_body;
    io::sse_splitter m_events;
    /// Counts m_body towards the memory budget.
    io::memory_charge m_charge;
    io::call_handle m_call;
    io::connection_number m_connection = 0;
    bool m_has_reused_connection = false;
    /// Expires with the attempt, since the listener may destroy the attempt in a callback.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace kumquatgap::gateway
