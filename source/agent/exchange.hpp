#pragma once

#include "agent/ledger_session.hpp"
#include "common/trace.hpp"
#include "config/view.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"
#include "io/sse.hpp"
#include "protocol/agent_call.hpp"
#include "protocol/engine_stream.hpp"
#include "protocol/resume.hpp"

#include <memory>
#include <optional>
#include <string>

namespace kumquatgap::agent
{

class agent;

/// One attempt of a call: waits for a slot, claims the call's key in the ledger if it has one,
/// sends the request to the target, and returns events to the router.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(agent& owner, std::uint64_t id, protocol::agent_call call, io::responder_ptr router,
             std::shared_ptr<io::memory_charge> charge);

    /// Enters the queue, or refuses the call.
    void start();
    /// Starts the call; the queue has given it a slot.
    void run();
    /// Cancels the request at the target so that the call can resume later. Returns the slot time
    /// that it still needs, or nothing when it can't be preempted.
    std::optional<common::milliseconds> preempt();
    /// Refuses the call; its latest start time passed in the queue.
    void expired();
    /// Refuses the call if it waits for its first slot, since the agent is about to exit.
    void refuse_waiting();

private:
    void claim();
    void send_to_target();
    void head_received(const io::http_response& response);
    void data_received(std::string_view bytes);
    void token_received(std::string_view data);
    void call_ended(io::call_outcome outcome, const io::http_response& response);
    void response_received(const io::http_response& response);
    void deliver_response(int status, const std::string& content_type, const std::string& body);
    void target_failed(const common::failure& error, bool was_delivered);
    void router_disconnected();
    void send(const protocol::response_event& event);
    void refuse(const common::failure& error);
    void finish(common::result_code code);
    std::string expected_id() const;

    agent& m_agent;
    std::uint64_t m_id;
    protocol::agent_call m_request;
    /// Counts m_request towards the memory budget.
    std::shared_ptr<io::memory_charge> m_charge;
    io::responder_ptr m_router;
    std::shared_ptr<const config::view> m_resources;
    const config::service* m_service;
    common::span m_hop;
    common::timestamp m_deadline;
    io::timer_handle m_heartbeat;
    bool m_sent_since_heartbeat = false;

    std::shared_ptr<ledger_session> m_ledger;
    io::call_handle m_call;
    bool m_running = false;
    bool m_finished = false;
    std::optional<protocol::engine_stream> m_stream;
    io::sse_splitter m_splitter;
    std::string m_response_body;
    std::int64_t m_sent_parts = 0;
    bool m_head_sent = false;
    protocol::delivered_chunks m_delivered;
    common::timestamp m_started;
};

} // namespace kumquatgap::agent
