#pragma once

#include <cstdint>

namespace kumquatgap::gateway
{

/// What has happened to an entry of the store.
enum class entry_change : std::uint8_t
{
    written,
    removed,
    /// The store was restored from a copy that does not have the entry.
    lost
};

} // namespace kumquatgap::gateway
