#pragma once

#include "filters/request_filters.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "io/sse.hpp"
#include "policy/call_plan.hpp"
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

/// One caller's call: its way through the filters, its attempts at agents, and its answer.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(router& owner, io::received_request received, io::responder_ptr caller);

    void start();

private:
    void attempt();
    void send_to(const config::target& target);
    protocol::agent_call make_call(const config::target& target) const;
    void received(std::string_view bytes);
    void received_event(std::string_view text);
    void deliver(const protocol::answer_event& event);
    void deliver_token(const protocol::answer_token& token);
    void flush();
    void note_load(const protocol::answer_event& event);
    void attempt_ended(io::call_end how, const io::http_answer& answer);
    void attempt_failed(const common::failure& why, policy::attempt_result health);
    void follow(const policy::plan_step& step);
    void answer_whole();
    void end_with(const common::failure& why);
    void finish(common::result_code code);

    router& m_router;
    io::responder_ptr m_caller;
    std::shared_ptr<const config::view> m_resources;
    filters::request_context m_context;
    std::string m_call_id;
    common::timestamp m_deadline;
    io::timer_handle m_deadline_timer;
    io::timer_handle m_pause_timer;

    std::optional<policy::call_plan> m_plan;
    std::set<std::string> m_tried;
    std::string m_target;
    std::string m_attempt;
    std::string m_body;
    io::call_handle m_call;
    io::sse_splitter m_splitter;
    std::optional<protocol::answer_check> m_check;
    protocol::answer_head m_head;
    std::string m_whole_body;
    /// Events for the caller out of the bytes that are being read.
    std::string m_outgoing;
    protocol::delivered_chunks m_delivered;
    bool m_finished = false;
};

} // namespace kumquatgap::router
