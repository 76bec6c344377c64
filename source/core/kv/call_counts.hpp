#pragma once

#include "common/metrics.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace kumquatgap::kv
{

/// What a call to the platform's store is for.
enum class call_kind : std::uint8_t
{
    read,
    /// A read of any age, which costs the service less.
    old_read,
    range,
    watch,
    write,
    grant_lease,
    renew_lease
};

inline constexpr std::size_t call_kinds = 7;

std::string_view name_of(call_kind it);

/// Calls that a process has made to the store, by kind: the service counts each, a waiting watch as
/// one, and what a fleet may make of them in all is bounded.
class call_counts
{
public:
    void note(call_kind it) { ++m_counts[static_cast<std::size_t>(it)]; }
    std::uint64_t of(call_kind it) const { return m_counts[static_cast<std::size_t>(it)]; }
    /// Sets `kqg_store_calls` for each kind.
    void write_metrics(common::metrics& m) const;
    /// Writes one log line with the calls of each kind so far.
    void write_line() const;

private:
    std::array<std::uint64_t, call_kinds> m_counts{};
};

} // namespace kumquatgap::kv
