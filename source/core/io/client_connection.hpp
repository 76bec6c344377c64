#pragma once

#include "io/http_client.hpp"
#include "io/http_codec.hpp"

#include <memory>
#include <optional>
#include <string>

namespace kumquatgap::io
{

/// A connection to a peer. It carries one call at a time.
class client_connection : public message_handler,
                          public std::enable_shared_from_this<client_connection>
{
public:
    client_connection(http_client& client, connection_number number);
    ~client_connection() override;

    /// Starts to connect; returns false when that fails at once.
    bool connect(const std::string& address);
    /// Sends the request of a call. The call must outlive its use here or call abandon().
    void start(http_call& call, const std::string& address, const http_request& request);
    /// Detaches the call, which is being destroyed or has ended early, and stops all traffic.
    void abandon();
    void pause_reading(bool on);
    bool is_connected() const { return m_connected; }
    connection_number number() const { return m_number; }
    /// True when an idle connection can carry another call: it is open and has been idle for less
    /// than the peer's keep-alive timeout.
    bool is_reusable(common::timestamp now) const;
    idle_connection idle_state(common::timestamp now) const;

    bool on_begin() override { return true; }
    bool on_head() override;
    bool on_body(std::string_view bytes) override;
    bool on_complete() override;

private:
    static void on_readable(bufferevent* bev, void* arg);
    static void on_event(bufferevent* bev, short what, void* arg);
    void read();
    void connection_closed(bool orderly);
    void finish(call_outcome outcome);
    void note_idle_limit();
    bool is_oversized() const;

    http_client& m_client;
    connection_number m_number;
    bufferevent* m_bev = nullptr;
    http_reader m_reader;
    http_call* m_call = nullptr;
    bool m_connected = false;
    bool m_connection_lost = false;
    bool m_keep_alive = false;
    bool m_skip_response = false;
    bool m_is_interim = false;
    bool m_complete = false;
    /// The response body exceeds the call's limit.
    bool m_body_too_long = false;
    /// Bytes read for the current call, and those of them that belong to its response body.
    std::size_t m_read_bytes = 0;
    std::size_t m_body_bytes = 0;
    common::timestamp m_idle_since;
    std::optional<common::milliseconds> m_idle_limit;
};

} // namespace kumquatgap::io
