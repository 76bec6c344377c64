#pragma once

#include "io/http_client.hpp"
#include "io/http_codec.hpp"

#include <memory>
#include <optional>
#include <string>

namespace kumquatgap::io
{

/// One connection to a peer, which carries one call at a time.
class client_connection : public message_handler,
                          public std::enable_shared_from_this<client_connection>
{
public:
    explicit client_connection(http_client& client);
    ~client_connection() override;

    /// Connects; false when that fails at once.
    bool connect(const std::string& address);
    /// Sends a request for a call.
    void start(http_call& call, const std::string& address, const http_request& request);
    /// Leaves the call, which is gone.
    void abandon();
    void pause_reading(bool on);
    bool is_connected() const { return m_connected; }
    /// True when an idle connection can carry another call.
    bool can_be_used(common::timestamp now, common::milliseconds longest_idle) const;

    bool on_begin() override { return true; }
    bool on_head() override;
    bool on_body(std::string_view bytes) override;
    bool on_complete() override;

private:
    static void readable(bufferevent* bev, void* arg);
    static void happened(bufferevent* bev, short what, void* arg);
    void read();
    void closed(bool in_order);
    void finish(call_end how);
    void note_idle_limit();
    bool is_oversized() const;

    http_client& m_client;
    bufferevent* m_bev = nullptr;
    http_reader m_reader;
    http_call* m_call = nullptr;
    bool m_connected = false;
    bool m_connection_lost = false;
    bool m_can_be_kept = false;
    bool m_skipping = false;
    bool m_interim = false;
    bool m_done = false;
    /// The call's body is longer than the call allows.
    bool m_body_too_long = false;
    /// Bytes read for the current call, and those of them that were its body.
    std::size_t m_read_bytes = 0;
    std::size_t m_body_bytes = 0;
    common::timestamp m_idle_since;
    std::optional<common::milliseconds> m_idle_limit;
};

} // namespace kumquatgap::io
