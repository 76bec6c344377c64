#pragma once

#include "filters/request_filters.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "io/sse.hpp"
#include "policy/retry_state.hpp"
#include "protocol/agent_call.hpp"
#include "protocol/answer_check.hpp"
#include "protocol/resume.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace kumquatgap::router
{

class router;

/// One caller's request: passes it through the filters, sends attempts to agents, and returns the
/// response.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(router& owner, io::received_request received, io::responder_ptr caller);

    void start();
    /// Ends a call for which there is no time left. An agent may have it, so its answer promises
    /// nothing.
    void end_unanswered();

private:
    void start_attempt();
    void send_attempt(const config::target& target);
    protocol::agent_call make_call(const config::target& target) const;
    void data_received(std::string_view bytes);
    void event_received(std::string_view text);
    void deliver(const protocol::response_event& event);
    void deliver_token(const protocol::response_token& token);
    void flush();
    void update_load(const protocol::response_event& event);
    void agent_response_ended(io::call_outcome outcome, const io::http_response& response);
    void attempt_failed(const common::failure& error, policy::attempt_result health);
    void execute_step(const policy::retry_decision& step);
    void complete_response();
    void respond_with_failure(const common::failure& error);
    void finish(common::result_code code);

    router& m_router;
    io::responder_ptr m_caller;
    std::shared_ptr<const config::view> m_resources;
    filters::request_context m_context;
    std::string m_call_id;
    common::timestamp m_deadline;
    io::timer_handle m_deadline_timer;
    io::timer_handle m_retry_timer;

    std::optional<policy::retry_state> m_plan;
    std::set<std::string> m_tried_targets;
    std::string m_target;
    std::string m_attempt_id;
    std::string m_request_body;
    io::call_handle m_call;
    io::sse_splitter m_splitter;
    std::optional<protocol::answer_check> m_check;
    protocol::response_head m_head;
    std::string m_response_body;
    /// Events for the caller that were parsed from received bytes and are not written yet.
    std::string m_unwritten_events;
    protocol::delivered_chunks m_delivered;
    bool m_finished = false;
};

} // namespace kumquatgap::router
