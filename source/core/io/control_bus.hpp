#pragma once

#include "io/event_loop.hpp"

#include <nng/nng.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace kumquatgap::io
{

/// One-way messages between the system's own processes, by nng pipelines. A message is sent at
/// most once and may be lost; the protocols above repeat what matters.
class control_bus
{
public:
    using handler = std::function<void(std::string_view message)>;

    control_bus(event_loop& loop, handler fn);
    control_bus(const control_bus&) = delete;
    control_bus& operator=(const control_bus&) = delete;
    ~control_bus();

    /// Receives on `ip:port`; false when the address can't be had.
    bool listen(const std::string& address);
    /// Sends to the process that listens on an address; drops the message when it can't be queued.
    void send(const std::string& address, std::string_view message);
    /// Bytes received and sent since the start, without TCP's own.
    std::uint64_t bytes() const { return m_bytes; }

private:
    void receive();

    event_loop& m_loop;
    handler m_handler;
    nng_socket m_in{};
    std::map<std::string, nng_socket> m_out;
    std::uint64_t m_bytes = 0;
};

} // namespace kumquatgap::io
