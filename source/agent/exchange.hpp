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

/// One attempt at a call: its wait for a slot, its record in the ledger, its run at the target,
/// and the events that go back to the router.
class exchange : public std::enable_shared_from_this<exchange>
{
public:
    exchange(agent& owner, std::uint64_t id, protocol::agent_call call, io::responder_ptr router);

    /// Joins the queue, or is refused.
    void start();
    /// A slot is free: the call's turn has come.
    void run();
    /// Takes the call from its target so that it goes on later; the slot time that is left, or
    /// nothing when the call can't be interrupted.
    std::optional<common::milliseconds> pause();
    /// The call waited past its latest start.
    void expired();

private:
    void claim();
    void hand_over();
    void head_received(const io::http_answer& answer);
    void data_received(std::string_view bytes);
    void token_received(std::string_view data);
    void call_ended(io::call_end how, const io::http_answer& answer);
    void whole_answer(const io::http_answer& answer);
    void deliver_whole(int status, const std::string& content_type, const std::string& body);
    void target_failed(const common::failure& why, bool was_reached);
    void router_gone();
    void send(const protocol::answer_event& event);
    void refuse(const common::failure& why);
    void finish(common::result_code code);
    std::string expected_id() const;

    agent& m_agent;
    std::uint64_t m_id;
    protocol::agent_call m_request;
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
    std::string m_body;
    std::int64_t m_parts = 0;
    bool m_head_sent = false;
    protocol::delivered_chunks m_delivered;
    common::timestamp m_started;
};

} // namespace kumquatgap::agent
