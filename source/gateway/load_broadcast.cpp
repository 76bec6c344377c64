#include "gateway/load_broadcast.hpp"

#include "common/log.hpp"
#include "common/result_code.hpp"
#include "common/text.hpp"
#include "policy/load_broadcast_interval.hpp"

namespace kumquatgap::gateway
{

namespace
{

/// Unchanged loads are sent again after this time, before they expire at the other gateways.
constexpr common::milliseconds resend_after{500};

} // namespace

load_broadcast::load_broadcast(io::event_loop& loop, std::string name, std::string token,
                               handler fn)
    : m_name{std::move(name)}, m_token{std::move(token)}, m_handler{std::move(fn)},
      m_socket{loop, [this](std::string_view bytes) { receive(bytes); }}
{
}

bool load_broadcast::start(const std::string& address)
{
    return m_socket.listen(address);
}

bool load_broadcast::is_due(std::size_t peers, common::timestamp now) const
{
    return now - m_sent_at >= policy::load_broadcast_interval(peers);
}

bool load_broadcast::send(const std::vector<membership::peer>& to, const peer_state& own,
                          common::timestamp now)
{
    // A report on retries is sent once, so it makes no other message repeat the state.
    auto lasting = own;
    lasting.retries.reset();
    if (!own.retries && lasting == m_last_sent &&
        (lasting.empty() || now - m_sent_at < resend_after))
        return false;
    m_last_sent = std::move(lasting);
    m_sent_at = now;
    const auto bytes = to_bytes({m_name, own}, m_token, now);
    // Logged once: such messages come in series.
    if (bytes.size() > io::datagram_socket::max_message_bytes && m_too_long++ == 0)
        common::log(common::log_level::warn, "load_message_too_long", {{"bytes", bytes.size()}});
    for (const auto& it : to)
        m_socket.send(it.address, bytes);
    return true;
}

void load_broadcast::write_metrics(common::metrics& m, common::timestamp now) const
{
    m.set("kqg_load_bytes", static_cast<std::int64_t>(m_socket.bytes()));
    m.set("kqg_load_messages_too_long", m_too_long);
    for (const auto& [name, at] : m_received_at)
        m.set(common::concat("kqg_peer_loads_age_ms{gateway=\"", name, "\"}"), (now - at).count());
}

void load_broadcast::receive(std::string_view bytes)
{
    const auto now = common::now();
    if (const auto it = read_peer_message(bytes, m_token, now))
    {
        m_received_at.insert_or_assign(it->sender, now);
        return m_handler(it->sender, it->state);
    }
    common::log(common::log_level::warn, "load_message_refused",
                {{"code", common::number(common::result_code::bad_message)}});
}

} // namespace kumquatgap::gateway
