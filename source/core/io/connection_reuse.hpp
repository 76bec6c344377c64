#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace kumquatgap::io
{

/// The number of a client's connection, unique for the client; 0 for none.
using connection_number = std::uint64_t;

/// An idle connection, as far as its reuse depends on it.
struct idle_connection
{
    connection_number number = 0;
    /// The time since the end of its last response.
    common::milliseconds idle_for{0};
    /// The peer may be about to close it after this.
    common::milliseconds idle_limit{0};
};

/// What a call demands of an idle connection.
struct reuse_conditions
{
    /// The connection has been idle for less than this.
    common::milliseconds max_idle{0};
    /// Connections that have carried an earlier attempt of the call. Their peer may send the
    /// response to that attempt again, at any later time, and the id in it does not tell the
    /// attempts apart.
    std::vector<connection_number> excluded;
};

/// True when the connection can carry the call.
bool can_carry(const idle_connection& it, const reuse_conditions& conditions);

/// The index of the connection that carries the call: of those that can, the last one in the list,
/// which is in the order in which they became idle. None when a new connection is needed.
std::optional<std::size_t> pick_idle(const std::vector<idle_connection>& idle,
                                     const reuse_conditions& conditions);

} // namespace kumquatgap::io
