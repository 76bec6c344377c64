#include "rank_agent/messenger.hpp"

#include "common/log.hpp"
#include "common/result_code.hpp"

namespace kumquatgap::rank_agent
{

namespace
{

/// How often messages that wait for the link are looked at.
constexpr common::milliseconds look_period{10};

} // namespace

messenger::messenger(io::event_loop& loop, std::string own_address, std::string token,
                     const experts::link_budget& link, handler fn)
    : m_loop{loop}, m_own_address{std::move(own_address)}, m_token{std::move(token)},
      m_handler{std::move(fn)}, m_socket{loop, [this](std::string_view bytes) { receive(bytes); }},
      m_allowance{link.relayed()}
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

void messenger::pass_on(const experts::directive_message& m)
{
    if (m.pass_on.empty())
        return;
    m_waiting.clear();
    auto passed_on = m;
    passed_on.pass_on.clear();
    for (const auto& it : m.pass_on)
    {
        passed_on.what.agent = it.agent;
        m_waiting.emplace_back(it.address, experts::to_bytes(passed_on, m_token));
    }
    send_waiting(common::now());
}

/// A burst of maps would overflow the queue of the link, which loses the rest.
void messenger::send_waiting(common::timestamp now)
{
    while (!m_waiting.empty() && m_allowance.has_some(now))
    {
        const auto& [address, bytes] = m_waiting.front();
        m_socket.send(address, bytes);
        m_allowance.spend(bytes.size());
        m_waiting.pop_front();
    }
    m_timer.reset();
    if (!m_waiting.empty())
        m_timer = m_loop.after(look_period, [this] { send_waiting(common::now()); });
}

} // namespace kumquatgap::rank_agent
