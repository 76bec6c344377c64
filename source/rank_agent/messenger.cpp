#include "rank_agent/messenger.hpp"

#include "common/log.hpp"
#include "common/result_code.hpp"

namespace kumquatgap::rank_agent
{

namespace
{

/// Interval at which the queue of messages that wait for the link is checked.
constexpr common::milliseconds queue_check_period{10};

} // namespace

messenger::messenger(io::event_loop& loop, std::string own_address, std::string token,
                     const experts::link_budget& link, handler fn)
    : m_loop{loop}, m_own_address{std::move(own_address)}, m_token{std::move(token)},
      m_handler{std::move(fn)}, m_socket{loop, [this](std::string_view bytes) { receive(bytes); }},
      m_rate_limiter{link.relayed_bytes_per_s()}
{
}

void messenger::send(const std::string& address, const experts::agent_message& m)
{
    if (address == m_own_address)
        m_handler(m);
    else
        m_socket.send(address, experts::to_bytes(m, m_token));
}

void messenger::receive(std::string_view bytes)
{
    if (const auto m = experts::from_bytes(bytes, m_token))
        return m_handler(*m);
    common::log(common::log_level::warn, "agent_message_refused",
                {{"code", common::number(common::result_code::bad_message)}});
}

void messenger::forward(const experts::directive_message& m)
{
    if (m.forward_to.empty())
        return;
    m_forward_queue.clear();
    auto forwarded = m;
    forwarded.forward_to.clear();
    for (const auto& it : m.forward_to)
    {
        forwarded.body.instance_id = it.instance_id;
        m_forward_queue.emplace_back(it.address, experts::to_bytes(forwarded, m_token));
    }
    send_queued(common::now());
}

/// A burst of maps would overflow the queue of the link, which drops the excess.
void messenger::send_queued(common::timestamp now)
{
    while (!m_forward_queue.empty() && m_rate_limiter.may_send(now))
    {
        const auto& [address, bytes] = m_forward_queue.front();
        m_socket.send(address, bytes);
        m_rate_limiter.consume(bytes.size());
        m_forward_queue.pop_front();
    }
    m_timer.reset();
    if (!m_forward_queue.empty())
        m_timer = m_loop.after(queue_check_period, [this] { send_queued(common::now()); });
}

} // namespace kumquatgap::rank_agent
