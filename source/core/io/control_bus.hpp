#pragma once

#include "io/event_loop.hpp"

#include <nng/nng.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace kumquatgap::io
{

/// Sends and receives one-way messages between the system's own processes over nng pipelines.
/// Delivery is at most once: a message may be lost, and the protocols above retransmit those that
/// must arrive.
class control_bus
{
public:
    using handler = std::function<void(std::string_view message)>;

    control_bus(event_loop& loop, handler fn);
    control_bus(const control_bus&) = delete;
    control_bus& operator=(const control_bus&) = delete;
    ~control_bus();

    /// Listens on `ip:port`; returns false when the address can't be bound.
    bool listen(const std::string& address);
    /// Sends to the process that listens on an address; drops the message when it can't be queued.
    void send(const std::string& address, std::string_view message);
    /// Payload bytes received and sent since the start, without TCP overhead.
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
