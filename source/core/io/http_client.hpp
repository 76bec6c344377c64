#pragma once

#include "io/connection_reuse.hpp"
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
enum class call_outcome : std::uint8_t
{
    /// The response arrived completely, as given by its framing.
    complete,
    /// No connection was established, so nothing was sent.
    not_connected,
    /// The connection was lost before the end of the response.
    cut,
    /// Nothing arrived for the silence timeout, or the response was not complete within the total
    /// timeout.
    silent,
    /// The peer sent bytes that are not a valid response.
    malformed,
    /// The response exceeded a size limit.
    oversized
};

/// The name of an outcome, for logs.
std::string_view name_of(call_outcome outcome);

/// Callbacks of an outgoing call. Any of them may be empty.
struct call_events
{
    /// The status line and header fields arrived.
    std::function<void(const http_response&)> on_head = {};
    /// A part of the body arrived. When this callback is empty, the body is collected for on_end.
    std::function<void(std::string_view)> on_data = {};
    /// The call ended; called exactly once unless the call was cancelled.
    std::function<void(call_outcome, const http_response&)> on_end = {};
    /// Returns false for the head of a response that belongs to another request. That response is
    /// skipped, and the connection is not reused.
    std::function<bool(const http_response&)> matches_call = {};
};

/// Timeouts, limits and connection reuse of an outgoing call.
struct call_options
{
    common::milliseconds connect_timeout{1000};
    /// The longest time without a byte from the peer; 0 for none.
    common::milliseconds silence_timeout{0};
    /// The longest time until the response is complete; 0 for none. The silence timeout alone never
    /// ends a call whose peer sends byte by byte.
    common::milliseconds total_timeout{0};
    /// False for at-most-once calls, which always open a new connection.
    bool reuse_connection = true;
    /// An idle connection is reused only when it has been idle for less than this.
    common::milliseconds max_idle{60'000};
    /// Connections that must not carry this call, since they have carried an earlier attempt of it.
    std::vector<connection_number> excluded_connections = {};
    /// True when a response without Content-Length or chunks is complete once the peer closes the
    /// connection in an orderly way.
    bool accept_close_delimited = false;
    /// The longest body that is collected for on_end, in bytes.
    std::size_t max_collected_bytes = std::size_t{64} << 20;
};

class http_client;
class client_connection;

/// An outgoing call. Destroying it before its end cancels the call and closes its connection.
class http_call
{
public:
    http_call(http_client& client, std::string address, const http_request& request,
              call_events events, call_options options);
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;
    ~http_call();

    /// Stops (true) or resumes (false) reading from the peer.
    void pause_reading(bool on);
    /// True once the connection is established, so that the peer may have received the request.
    bool may_have_been_sent() const;
    /// The connection that carries or has carried the call; 0 if none could be opened.
    connection_number connection() const { return m_connection_number; }
    /// True when the connection had carried another call before.
    bool has_reused_connection() const { return m_has_reused_connection; }

private:
    friend class client_connection;
    void restart_silence_timer();
    void receive_head(int status, header_list headers);
    bool receive_body(std::string_view bytes);
    void end(call_outcome outcome);

    http_client& m_client;
    std::string m_address;
    call_events m_events;
    call_options m_options;
    std::shared_ptr<client_connection> m_connection;
    connection_number m_connection_number = 0;
    bool m_has_reused_connection = false;
    http_response m_response;
    /// The request on its way to the peer.
    memory_charge m_charge;
    timer_handle m_connect_timer;
    timer_handle m_silence_timer;
    timer_handle m_total_timer;
    bool m_ended = false;
};

using call_handle = std::unique_ptr<http_call>;

/// Makes outgoing calls and pools idle connections by address. A connection carries one call at a
/// time and is closed after any outcome but a complete response.
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
    std::uint64_t connections_opened() const { return m_connections_opened; }
    /// Those of them that were opened because the idle ones were excluded.
    std::uint64_t connections_opened_for_exclusion() const { return m_opened_for_exclusion; }

private:
    friend class http_call;
    friend class client_connection;
    using connection_list = std::vector<std::shared_ptr<client_connection>>;

    std::shared_ptr<client_connection> acquire(const std::string& address,
                                               const call_options& options);
    std::shared_ptr<client_connection> take_idle(const std::string& address,
                                                 const call_options& options);
    void keep_idle(const std::string& address, std::shared_ptr<client_connection> connection);
    void remove_idle(const client_connection* connection);

    event_loop& m_loop;
    std::map<std::string, connection_list> m_idle;
    std::uint64_t m_connections_opened = 0;
    std::uint64_t m_opened_for_exclusion = 0;
};

} // namespace kumquatgap::io
