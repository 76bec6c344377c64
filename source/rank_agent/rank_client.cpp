#include "rank_agent/rank_client.hpp"

#include "common/text.hpp"
#include "io/response_match.hpp"
#include "rank_agent/instance_id.hpp"

#include <utility>

namespace kumquatgap::rank_agent
{

rank_client::rank_client(io::http_client& client, const rank_protocol_adapter& adapter,
                         std::string target)
    : m_client{client}, m_adapter{adapter}, m_target{std::move(target)}, m_instance_id{
                                                                             random_instance_id()}
{
}

io::call_handle rank_client::send(io::http_request request, end_handler on_end,
                                  io::call_options options)
{
    auto id = common::concat(m_instance_id, "-", ++m_requests_sent);
    m_adapter.set_request_id(request, id);
    return m_client.send(
        m_target, request,
        {.on_end = std::move(on_end),
         .matches_call = [&adapter = m_adapter, id = std::move(id)](const io::http_response& head)
         { return io::may_answer(adapter.read_request_id(head), id); }},
        std::move(options));
}

} // namespace kumquatgap::rank_agent
