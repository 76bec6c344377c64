#pragma once

#include "io/event_loop.hpp"
#include "io/http_message.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::io
{

/// How an outgoing call ended.
enum class call_end : std::uint8_t
{
    /// The answer arrived whole, by its own framing.
    complete,
    /// No connection was made, so nothing was sent.
    not_connected,
    /// The connection was lost before the answer's end.
    cut,
    /// Nothing arrived, or not all, for as long as the call allows.
    silent,
    /// The peer sent bytes that are no answer.
    malformed,
    /// The peer sent more than an answer may have.
    oversized
};

/// The name of an end, for logs.
std::string_view name_of(call_end how);

/// What happens to an outgoing call. Any function may be empty.
struct call_events
{
    /// The status line and headers arrived.
    std::function<void(const http_answer&)> on_head = {};
    /// A part of the body arrived. When empty, the body is collected for on_end.
    std::function<void(std::string_view)> on_data = {};
    /// The call ended; called exactly once unless the call was cancelled.
    std::function<void(call_end, const http_answer&)> on_end = {};
    /// False for an answer that belongs to another request; it is skipped, and the connection is
    /// not used again.
    std::function<bool(const http_answer&)> is_own = {};
};

/// How an outgoing call is made.
struct call_options
{
    common::milliseconds connect_timeout{1000};
    /// The longest time without a byte from the peer; 0 for none.
    common::milliseconds silence_timeout{0};
    /// The longest time for the whole answer, since a peer that sends byte by byte is never silent;
    /// 0 for none.
    common::milliseconds whole_timeout{0};
    /// False for calls that must not repeat: these never use a kept connection.
    bool reuse_connection = true;
    /// A kept connection is used only when it has been idle for less than this.
    common::milliseconds longest_idle{60'000};
    /// True when an answer without a length is whole once the peer ends the connection in order.
    bool accept_unframed = false;
    /// The longest body that is collected.
    std::size_t most_body_bytes = std::size_t{64} << 20;
};

class http_client;
class client_connection;

/// One outgoing call. Destroying it cancels the call and closes its connection.
class http_call
{
public:
    http_call(http_client& client, std::string address, const http_request& request,
              call_events events, call_options options);
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;
    ~http_call();

    /// Stops reading from the peer, and goes on with it.
    void pause_reading(bool on);
    /// True once the call has a connection, so that the peer may have its bytes.
    bool was_sent() const;

private:
    friend class client_connection;
    void heard();
    void take_head(int status, header_list headers);
    bool take_body(std::string_view bytes);
    void end(call_end how);

    http_client& m_client;
    std::string m_address;
    call_events m_events;
    call_options m_options;
    std::shared_ptr<client_connection> m_connection;
    http_answer m_answer;
    timer_handle m_connect_timer;
    timer_handle m_silence_timer;
    timer_handle m_whole_timer;
    bool m_ended = false;
};

using call_handle = std::unique_ptr<http_call>;

/// Makes outgoing calls and keeps idle connections, each of which carries one call at a time and is
/// closed after anything but a complete answer.
class http_client
{
public:
    explicit http_client(event_loop& loop) : m_loop{loop} {}
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    ~http_client();

    /// Sends a request to `ip:port`.
    [[nodiscard]] call_handle send(std::string address, const http_request& request,
                                   call_events events, call_options options = {});
    /// Connections opened since the start.
    std::uint64_t connections_opened() const { return m_opened; }

private:
    friend class http_call;
    friend class client_connection;
    using connection_list = std::vector<std::shared_ptr<client_connection>>;

    std::shared_ptr<client_connection> take(const std::string& address, const call_options& how);
    void keep(const std::string& address, std::shared_ptr<client_connection> connection);
    void forget(const client_connection* connection);

    event_loop& m_loop;
    std::map<std::string, connection_list> m_idle;
    std::uint64_t m_opened = 0;
};

} // namespace kumquatgap::io
