#pragma once

#include "io/http_client.hpp"
#include "rank_agent/rank_protocol_adapter.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace kumquatgap::rank_agent
{

/// Sends requests to one rank. Each carries an id of its own, and a response with another id, such
/// as the late repeat of an earlier one, is skipped.
class rank_client
{
public:
    using end_handler = std::function<void(io::call_outcome, const io::http_response&)>;

    rank_client(io::http_client& client, const rank_protocol_adapter& adapter, std::string target);

    io::call_handle send(io::http_request request, end_handler on_end, io::call_options options);
    const std::string& target() const { return m_target; }

private:
    io::http_client& m_client;
    const rank_protocol_adapter& m_adapter;
    std::string m_target;
    /// Distinguishes the requests of this client from those of others to the same rank.
    std::int64_t m_instance_id;
    std::uint64_t m_requests_sent = 0;
};

} // namespace kumquatgap::rank_agent
