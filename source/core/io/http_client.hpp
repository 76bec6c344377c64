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

struct evhttp_connection;
struct evhttp_request;

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
    /// Nothing arrived for as long as the call allows.
    silent
};

/// What happens to an outgoing call. Any function may be empty.
struct call_events
{
    /// The status line and headers arrived.
    std::function<void(const http_answer&)> on_head;
    /// A part of the body arrived. When empty, the body is collected for on_end.
    std::function<void(std::string_view)> on_data;
    /// The call ended; called exactly once unless the call was cancelled.
    std::function<void(call_end, const http_answer&)> on_end;
};

/// How an outgoing call is made.
struct call_options
{
    common::milliseconds connect_timeout{1000};
    /// The longest time without a byte from the peer; 0 for none.
    common::milliseconds silence_timeout{0};
    /// False for calls that must not repeat: these never use a kept connection.
    bool reuse_connection = true;
};

class http_client;

/// One outgoing call. Destroying it cancels the call and closes its connection.
class http_call
{
public:
    http_call(http_client& client, std::string address, const http_request& request,
              call_events events, call_options options);
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;
    ~http_call();

private:
    static int head_received(evhttp_request* request, void* arg);
    static void data_received(evhttp_request* request, void* arg);
    static void finished(evhttp_request* request, void* arg);
    void send(const http_request& request);
    void heard();
    void end(call_end how);
    void detach();
    bool is_connected() const;
    bool is_framed() const;

    http_client& m_client;
    std::string m_address;
    call_events m_events;
    call_options m_options;
    evhttp_connection* m_connection;
    evhttp_request* m_request = nullptr;
    http_answer m_answer;
    timer_handle m_connect_timer;
    timer_handle m_silence_timer;
    bool m_ended = false;
};

using call_handle = std::unique_ptr<http_call>;

/// Makes outgoing calls by evhttp and keeps idle connections, each of which carries one call at a
/// time and is closed after anything but a complete answer.
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

private:
    friend class http_call;
    evhttp_connection* take(const std::string& address, bool reuse);
    void keep(const std::string& address, evhttp_connection* connection);
    void close(evhttp_connection* connection);

    event_loop& m_loop;
    std::map<std::string, std::vector<evhttp_connection*>> m_idle;
};

} // namespace kumquatgap::io
