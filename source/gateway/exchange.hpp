#pragma once

#include "fleet/attempt_outcome.hpp"
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

/// One caller's request, from its last byte to the end of its answer.
class exchange : public std::enable_shared_from_this<exchange>, public attempt_listener
{
public:
    exchange(gateway& owner, std::uint64_t number, io::received_request received,
             io::responder_ptr answer);
    ~exchange() override;

    std::uint64_t number() const { return m_number; }
    /// Targets that this call is not to be sent to again.
    const std::set<std::string>& tried() const { return m_tried; }
    /// The longest pause between two events that is in time; 0 for none.
    milliseconds gap_goal() const { return m_route->gap_goal; }
    /// Checks the request, and refuses it or lets it wait for a place.
    void start();
    /// Sends the call to a target.
    void send_to(const fleet::target& it);
    /// The call has left its line without a place.
    void waited_too_long();
    /// Looks at the deadline, and at attempts from which nothing is heard.
    void check_time(timestamp now);

private:
    void stream_begun(attempt& it, const io::http_answer& head) override;
    void event_received(attempt& it, std::string_view text, const io::sse_event& event) override;
    void attempt_ended(attempt& it, fleet::attempt_outcome outcome,
                       const io::http_answer& answer) override;

    std::optional<common::failure> check_request();
    void wait_for_place();
    void take_back(attempt& it);
    void note_event(const attempt& it);
    void pass_on(attempt& it, std::string_view text);
    void answered(attempt& it, const io::http_answer& answer);
    void not_answered(fleet::attempt_outcome outcome, common::result_code if_unknown);
    bool has_target_left(fleet::attempt_outcome last);
    bool may_try_again(fleet::attempt_outcome last);
    void hold_service(const attempt& it);
    bool is_stalled(const attempt& it, timestamp now) const;
    bool has_fallback() const;
    void relay(const io::http_answer& answer);
    void finish_stream();
    void deadline_passed();
    void fail(common::result_code code, const std::string& detail);
    void refuse(common::result_code code, const std::string& detail);
    milliseconds time_to_come_back() const;
    void caller_gone();
    void end(std::string_view event, common::result_code code, int status);
    call_summary summary(std::string_view event, common::result_code code, int status,
                         timestamp now) const;
    policy::waiting_call waiting() const;

    gateway& m_gateway;
    std::uint64_t m_number;
    io::received_request m_received;
    io::responder_ptr m_answer;
    caller_request m_caller;
    std::shared_ptr<const fleet::configuration> m_configuration;
    const fleet::route* m_route = nullptr;
    std::string m_team;
    int m_priority = 0;
    std::string m_service;
    timestamp m_arrived;
    timestamp m_deadline;
    std::optional<timestamp> m_first_sent;
    std::optional<timestamp> m_first_event;
    /// The last event of the current attempt.
    std::optional<timestamp> m_last_event;
    fleet::attempt_record m_record{fleet::call_kind::once, 1};
    std::set<std::string> m_tried;
    std::unique_ptr<attempt> m_attempt;
    /// A failure that a target answered, for the case that no other target does better.
    std::optional<io::http_answer> m_fallback;
    std::string m_last_event_id;
    std::int64_t m_last_event_number = -1;
    std::int64_t m_events = 0;
    bool m_is_waiting = false;
    bool m_ended = false;
};

} // namespace kumquatgap::gateway
