#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace kumquatgap::io
{

/// What a caller's connection does, as far as it matters for closing it.
enum class connection_state : std::uint8_t
{
    /// Closes once its last response has been read.
    lingering,
    /// A request has begun to arrive and is not complete.
    receiving,
    /// Between two requests.
    idle,
    /// A response is being sent, and the caller has not read all of it.
    sending,
    /// A complete request waits for its response. It may be running, so it is never closed.
    serving
};

/// The buffers of one caller's connection.
struct buffer_holder
{
    std::size_t bytes = 0;
    connection_state state = connection_state::idle;
    /// Time since the caller last sent or read a substantial number of bytes.
    common::milliseconds stalled{0};
};

/// Chooses the connections to close, by their index, so that at least `bytes_to_free` are freed if
/// possible. Those with the most bytes times stalled time go first: they have made the least
/// progress for what they hold. Connections with `min_bytes` or less are never chosen.
std::vector<std::size_t> choose_for_memory(std::span<const buffer_holder> holders,
                                           std::size_t bytes_to_free, std::size_t min_bytes);

/// Chooses up to `count` connections to close because there are too many: first closing ones and
/// incomplete requests, then idle ones; in each group the longest stalled first.
std::vector<std::size_t> choose_for_connections(std::span<const buffer_holder> holders,
                                                std::size_t count);

} // namespace kumquatgap::io
