#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace kumquatgap::failures
{

/// What a client sends on its connection.
struct client_script
{
    /// Shared by all clients that send the same.
    std::shared_ptr<const std::string> bytes;
    /// Bytes that are sent at most in one step; 0: as many as the socket accepts.
    std::size_t piece_bytes = 0;
    /// After its end, the text is sent again from this position; npos: it is sent once.
    std::size_t repeat_from = std::string::npos;
    /// Bytes to send in all when the text is repeated.
    std::size_t total_bytes = 0;
    /// False for a client that never reads a response.
    bool reads = true;
};

/// Non-blocking connections to one address, which stay open until this object is destroyed or the
/// peer closes them.
class hostile_clients
{
public:
    /// Opens `count` connections to `ip:port`.
    hostile_clients(const std::string& address, std::size_t count, client_script script);
    hostile_clients(const hostile_clients&) = delete;
    hostile_clients& operator=(const hostile_clients&) = delete;
    ~hostile_clients();

    /// Sends the next piece on each connection and reads what has arrived. To be called repeatedly.
    void step();
    /// True when each client has sent everything, or can send nothing more because the peer has
    /// closed its connection or has stopped reading for `stall_steps` steps.
    bool is_done() const;

private:
    struct client
    {
        int fd = -1;
        std::size_t sent = 0;
        int stalled_steps = 0;
    };

    void send_piece(client& it) const;
    void read_responses(client& it) const;
    std::size_t bytes_to_send() const;

    static constexpr int stall_steps = 200;

    client_script m_script;
    std::vector<client> m_clients;
};

/// A POST with a body of `length` bytes, by length or in chunks, which ends `missing` bytes early.
struct body_plan
{
    /// The path and the header fields, each field with its line end.
    std::string path;
    std::string fields;
    std::size_t length = 0;
    /// Bytes of a chunk; 0: the body is sent by length.
    std::size_t chunk_bytes = 0;
    std::size_t missing = 1;
};
std::shared_ptr<const std::string> to_text(const body_plan& plan);
/// A text that several clients send.
std::shared_ptr<const std::string> shared_text(std::string text);

/// The peak of a process's resident memory, in KiB; 0 when it has ended.
std::int64_t peak_memory_kb(pid_t id);
/// The open descriptors of a process.
std::size_t open_descriptors(pid_t id);

} // namespace kumquatgap::failures
