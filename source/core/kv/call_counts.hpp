#pragma once

#include "common/metrics.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace kumquatgap::kv
{

/// The kinds of calls to the platform's store.
enum class call_kind : std::uint8_t
{
    read,
    /// A read that may return a stale value, which costs the service less.
    old_read,
    range,
    watch,
    write,
    grant_lease,
    renew_lease
};

inline constexpr std::size_t call_kind_count = 7;

std::string_view name_of(call_kind it);

/// Counts the calls that a process has made to the store, by kind. The store limits the number of
/// calls of a whole deployment; it counts each call, and a waiting watch as one.
class call_counts
{
public:
    void count_call(call_kind it) { ++m_counts[static_cast<std::size_t>(it)]; }
    std::uint64_t of(call_kind it) const { return m_counts[static_cast<std::size_t>(it)]; }
    /// Sets `kqg_store_calls` for each kind.
    void write_metrics(common::metrics& m) const;
    /// Logs the number of calls of each kind so far, in one line.
    void log_totals() const;

private:
    std::array<std::uint64_t, call_kind_count> m_counts{};
};

} // namespace kumquatgap::kv
