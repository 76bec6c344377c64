#include "io/http_client.hpp"

#include "io/client_connection.hpp"

#include <algorithm>
#include <array>

namespace kumquatgap::io
{

namespace
{

constexpr std::size_t max_idle_per_address = 64;

constexpr auto s_outcome_names = std::to_array<std::string_view>(
    {"complete", "not_connected", "cut", "silent", "malformed", "oversized"});

} // namespace

std::string_view name_of(call_outcome outcome)
{
    return s_outcome_names[static_cast<std::size_t>(outcome)];
}

http_call::http_call(http_client& client, std::string address, const http_request& request,
                     call_events events, call_options options)
    : m_client{client}, m_address{std::move(address)}, m_events{std::move(events)},
      m_options{std::move(options)}, m_connection{client.acquire(m_address, m_options)},
      m_charge{client.m_loop.memory(), charge_kind::forwarded, request.body.size()}
{
    if (!m_connection)
    {
        m_silence_timer = m_client.m_loop.after(common::milliseconds{0},
                                                [this] { end(call_outcome::not_connected); });
        return;
    }
    m_connection_number = m_connection->number();
    m_has_reused_connection = m_connection->is_connected();
    restart_silence_timer();
    if (m_options.total_timeout.count() != 0)
        m_total_timer =
            m_client.m_loop.after(m_options.total_timeout, [this] { end(call_outcome::silent); });
    if (!m_connection->is_connected())
        m_connect_timer = m_client.m_loop.after(m_options.connect_timeout,
                                                [this]
                                                {
                                                    if (!m_connection->is_connected())
                                                        end(call_outcome::not_connected);
                                                });
    m_connection->start(*this, m_address, request);
}

http_call::~http_call()
{
    if (m_connection)
        m_connection->abandon();
}

void http_call::pause_reading(bool on)
{
    if (m_connection)
        m_connection->pause_reading(on);
}

bool http_call::may_have_been_sent() const
{
    return m_connection && m_connection->is_connected();
}

void http_call::restart_silence_timer()
{
    if (m_options.silence_timeout.count() == 0 || m_ended)
        return;
    m_silence_timer =
        m_client.m_loop.after(m_options.silence_timeout, [this] { end(call_outcome::silent); });
}

void http_call::receive_head(int status, header_list headers)
{
    m_response.status = status;
    m_response.headers = std::move(headers);
    if (m_events.on_head)
    {
        // The callback may destroy this call, so a copy of it is called.
        const auto fn = m_events.on_head;
        fn(http_response{m_response});
    }
}

bool http_call::receive_body(std::string_view bytes)
{
    if (m_events.on_data)
    {
        const auto fn = m_events.on_data;
        fn(bytes);
        return true;
    }
    m_response.body += bytes;
    return m_response.body.size() <= m_options.max_collected_bytes;
}

void http_call::end(call_outcome outcome)
{
    if (std::exchange(m_ended, true))
        return;
    m_silence_timer.reset();
    m_total_timer.reset();
    m_connect_timer.reset();
    if (const auto connection = std::move(m_connection))
    {
        m_connection.reset();
        if (outcome != call_outcome::complete)
            connection->abandon();
    }
    // The callback may destroy this call, so nothing of it is used afterwards.
    const auto fn = std::move(m_events.on_end);
    const auto response = std::move(m_response);
    if (fn)
        fn(outcome, response);
}

http_client::~http_client() = default;

call_handle http_client::send(std::string address, const http_request& request, call_events events,
                              call_options options)
{
    return std::make_unique<http_call>(*this, std::move(address), request, std::move(events),
                                       std::move(options));
}

std::shared_ptr<client_connection> http_client::take_idle(const std::string& address,
                                                          const call_options& options)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return nullptr;
    auto& idle = found->second;
    const auto now = common::now();
    std::erase_if(idle, [&](const auto& it) { return !it->is_reusable(now); });
    std::vector<idle_connection> states;
    states.reserve(idle.size());
    for (const auto& it : idle)
        states.push_back(it->idle_state(now));
    const auto at = pick_idle(states, {options.max_idle, options.excluded_connections});
    if (!at)
    {
        if (pick_idle(states, {options.max_idle, {}}))
            ++m_opened_for_exclusion;
        return nullptr;
    }
    const auto it = idle.begin() + static_cast<std::ptrdiff_t>(*at);
    auto connection = std::move(*it);
    idle.erase(it);
    return connection;
}

std::shared_ptr<client_connection> http_client::acquire(const std::string& address,
                                                        const call_options& options)
{
    if (options.reuse_connection)
    {
        if (auto connection = take_idle(address, options))
            return connection;
    }
    auto connection = std::make_shared<client_connection>(*this, ++m_connections_opened);
    return connection->connect(address) ? connection : nullptr;
}

void http_client::keep_idle(const std::string& address,
                            std::shared_ptr<client_connection> connection)
{
    auto& idle = m_idle[address];
    if (idle.size() < max_idle_per_address)
        idle.push_back(std::move(connection));
}

void http_client::remove_idle(const client_connection* connection)
{
    for (auto& [address, idle] : m_idle)
        std::erase_if(idle, [&](const auto& it) { return it.get() == connection; });
    std::erase_if(m_idle, [](const auto& it) { return it.second.empty(); });
}

} // namespace kumquatgap::io
