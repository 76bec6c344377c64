#pragma once

#include "fleet/attempt_outcome.hpp"
#include "fleet/attempt_pair.hpp"
#include "gateway/attempt.hpp"
#include "gateway/call_summary.hpp"
#include "gateway/gateway.hpp"
#include "io/http_server.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquatgap::gateway
{

/// One caller's request, from its last byte to the end of its response.
class exchange : public std::enable_shared_from_this<exchange>, public attempt_listener
{
public:
    exchange(gateway& owner, std::uint64_t number, io::received_request received,
             io::responder_ptr responder);
    ~exchange() override;

    std::uint64_t number() const { return m_number; }
    /// Targets to which this call must not be sent now: those that it has tried, and the one that
    /// has it.
    std::set<std::string> excluded_targets() const;
    /// The service that the call is for; empty before the request is checked.
    const std::string& service() const { return m_service; }
    /// The regions whose targets may serve the call, by its route and team.
    const fleet::permitted_regions& regions() const { return m_regions; }
    /// True while the call waits for a slot and no target has it.
    bool is_waiting() const { return m_is_queued && !m_attempt && !m_ended; }
    /// A waiting call that starts after this is not served.
    timestamp start_deadline() const { return queue_entry().deadline; }
    /// Ends a waiting call that no target may serve.
    void refuse_waiting(common::result_code why);
    /// Takes the call back from a target in an evacuated data centre if it is not connected to it
    /// yet, and queues it for another one.
    void leave_evacuated_target();
    /// What the crash guard recognises this call by.
    const call_marks& marks() const { return m_marks; }
    /// The route's target for the longest gap between two events; 0 for none.
    milliseconds gap_goal() const { return m_route->gap_goal; }
    /// Checks the request, and refuses or queues it.
    void start();
    /// Makes the attempt that a queued call leaves for the slot that it gets now, if it has one,
    /// its former one; false if the call stays with its target after all, and is no longer queued.
    bool leave_target(timestamp now);
    /// Sends the call to a target.
    void send_to(const fleet::target& it);
    /// A call was removed from the queue without being sent. It ends unless a target has it; `why`
    /// is the code if no earlier attempt can have been executed.
    void handle_not_started(common::result_code why);
    /// Ends a call for which there is no time left. `why` is the code of a call that was certainly
    /// not executed.
    void end_unanswered(common::result_code why);
    /// Checks the deadline and whether the current attempt has stalled.
    void check_timeouts(timestamp now);

private:
    void stream_started(attempt& sender, const io::http_response& head) override;
    void event_received(attempt& sender, std::string_view text,
                        const io::sse_event& event) override;
    void attempt_ended(attempt& sender, fleet::attempt_outcome outcome,
                       const io::http_response& response) override;

    std::optional<common::failure> check_request();
    void requeue();
    /// Destroys an attempt later, since one of its own functions may be running. If it was the
    /// newer one of two, the call goes on at its former target.
    void release_attempt(attempt& it);
    /// Decides between two attempts after a report of one of them; nothing if there is one only.
    fleet::pair_decision decide_between_attempts(attempt& it, fleet::attempt_report report);
    /// The call goes on at this attempt: ends the other one.
    void settle_on(attempt& it);
    void log_settled(const attempt& it, bool is_former) const;
    /// Ends an attempt that has not failed; if it was the newer one of two, the call goes on at its
    /// former target.
    void end_attempt(attempt& it);
    void end_former();
    void end_attempts();
    void return_to_former();
    void record_event(const attempt& it);
    void forward_event(attempt& it, std::string_view text);
    void handle_response(attempt& it, const io::http_response& response);
    void handle_failure(fleet::attempt_outcome outcome, common::result_code if_unknown);
    /// True when another attempt may succeed; clears m_tried if all targets may be tried again.
    bool has_retry_target(fleet::attempt_outcome last);
    bool claim_retry(fleet::attempt_outcome last);
    void log_retry_decision(bool is_granted, fleet::attempt_outcome last, timestamp now) const;
    void pause_service(const attempt& it);
    bool may_crash_target() const;
    void withdraw(timestamp now);
    bool is_stalled(const attempt& it, timestamp now) const;
    /// The response time to expect of another target than the one that has the call; 0 when none is
    /// known.
    milliseconds response_time_elsewhere(timestamp now) const;
    /// True when this stream keeps a slow target in use for which the streams of a group wait.
    bool is_on_slow_target(const attempt& it, timestamp now) const;
    /// Why a call should leave a target that has it.
    struct leave_reason
    {
        /// The log event.
        std::string_view event;
        /// What it says about the target.
        policy::target_health health;
        /// The call makes others late as long as it stays.
        bool delays_others = false;
    };
    std::optional<leave_reason> reason_to_leave(timestamp now) const;
    /// True when the attempts and the retry budget allow another attempt, and another target is
    /// usable.
    bool can_leave(timestamp now) const;
    /// Queues the call for another target. Its attempt goes on until that has a slot, unless the
    /// call delays others and a slot is predicted.
    void seek_other_target(const leave_reason& why, timestamp now);
    void leave_queue();
    bool has_fallback_response() const;
    void forward_response(const io::http_response& response);
    void finish_stream();
    /// True before the first event of a call that crashes targets, itself or by a part of its
    /// prompt.
    bool is_quarantined() const;
    void handle_quarantine();
    void refuse_quarantined();
    /// Feeds the crash guard with an attempt that ended without an event.
    void report_loss(const attempt& it, fleet::attempt_outcome outcome);
    void fail(common::result_code code, const std::string& detail);
    void refuse(common::result_code code, const std::string& detail);
    /// Why no target may serve the call; none when one may, or may later.
    std::optional<common::result_code> placement_refusal() const;
    /// The Retry-After of a refused call: not before a target accepts calls again.
    milliseconds retry_after_time(common::result_code why) const;
    void handle_disconnect();
    void end(std::string_view event, common::result_code code, int status);
    call_summary summary(std::string_view event, common::result_code code, int status,
                         timestamp now) const;
    policy::waiting_call queue_entry() const;
    milliseconds predicted_slot_time() const;
    bool is_late(timestamp now) const;

    gateway& m_gateway;
    std::uint64_t m_number;
    io::received_request m_received;
    io::responder_ptr m_responder;
    caller_request m_caller;
    std::shared_ptr<const fleet::configuration> m_configuration;
    const fleet::route* m_route = nullptr;
    std::string m_team;
    int m_priority = 0;
    fleet::permitted_regions m_regions;
    std::string m_service;
    call_marks m_marks;
    timestamp m_arrived_at;
    timestamp m_deadline;
    std::optional<timestamp> m_first_sent_at;
    std::optional<timestamp> m_first_event_at;
    /// Arrival of the current attempt's last event.
    std::optional<timestamp> m_last_event_at;
    /// The gap between the last two events of the current attempt.
    milliseconds m_last_gap{0};
    fleet::attempt_history m_attempts{fleet::call_kind::once, 1};
    std::set<std::string> m_tried;
    std::unique_ptr<attempt> m_attempt;
    /// The connections of all attempts so far.
    std::vector<io::connection_number> m_used_connections;
    /// An attempt that the call leaves once the current one answers.
    struct former_attempt
    {
        std::unique_ptr<attempt> held;
        std::optional<timestamp> last_event_at;
        milliseconds last_gap{0};
    };
    std::optional<former_attempt> m_former;
    /// Targets that the call left without a failure. It may go back to them once all others have
    /// refused it.
    std::set<std::string> m_left;
    /// A target's error response, forwarded if no other target responds better.
    std::optional<io::http_response> m_fallback;
    std::string m_last_event_id;
    std::int64_t m_last_event_number = -1;
    std::int64_t m_event_count = 0;
    /// The call waits in the queue. If it has an attempt, it leaves that once another target has a
    /// slot.
    bool m_is_queued = false;
    /// The picker knows that the target of the current attempt should be avoided.
    bool m_is_target_reported = false;
    /// The last retry that this call asked for was refused.
    bool m_retry_refused = false;
    bool m_ended = false;
};

} // namespace kumquatgap::gateway
