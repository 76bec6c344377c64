#pragma once

#include "common/clock.hpp"
#include "common/limited_log.hpp"
#include "io/eviction_policy.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace kumquatgap::common
{
class metrics;
} // namespace kumquatgap::common

namespace kumquatgap::io
{

/// Limits of the buffers and connections of one process.
struct memory_limits
{
    /// For all buffers.
    std::size_t bytes = 0;
    /// For connections of callers; more are closed.
    std::size_t connections = 0;

    /// The part for requests and unread responses of callers.
    std::size_t caller_bytes() const { return bytes / 2; }
    /// The part of caller_bytes for holders above small_holder_bytes. The rest is left for small
    /// requests, and the same again for the copies of large ones that are being forwarded.
    std::size_t large_bytes() const { return bytes / 3; }
    /// The part for responses that are buffered before they are forwarded.
    std::size_t response_bytes() const { return bytes / 2; }
};

/// Up to this size a request counts as small: a full head, or a body of the usual size.
inline constexpr std::size_t small_holder_bytes = std::size_t{16} << 10;

/// Retry-After of a request that was refused because memory is short: by then the connections that
/// were closed for it have stopped lingering.
inline constexpr common::milliseconds retry_after_memory_full{1000};

/// The limits for a process on a host with this memory (in MB) and this number of descriptors; 0
/// means that they are not known.
memory_limits limits_of_host(std::int64_t memory_mb, std::int64_t max_fds);

/// What buffered bytes are held for.
enum class charge_kind : std::uint8_t
{
    /// A complete request that is being served.
    request,
    /// A response that is buffered before it is forwarded.
    response,
    /// Bytes on their way to another process.
    forwarded
};

class memory_budget;

/// Buffered bytes, which count towards the budget as long as this object exists.
class memory_charge
{
public:
    memory_charge(memory_budget& budget, charge_kind kind, std::size_t bytes = 0);
    memory_charge(const memory_charge&) = delete;
    memory_charge& operator=(const memory_charge&) = delete;
    ~memory_charge();

    std::size_t bytes() const { return m_bytes; }
    void set(std::size_t bytes);
    /// Like set(), but changes nothing and returns false if a limit would be exceeded.
    bool try_set(std::size_t bytes);

private:
    memory_budget& m_budget;
    charge_kind m_kind;
    std::size_t m_bytes = 0;
};

/// Why a connection has to close or to give up its buffers.
enum class shortage : std::uint8_t
{
    memory,
    connections
};

/// A caller's connection, as the budget sees it.
class buffer_owner
{
public:
    buffer_owner() = default;
    buffer_owner(const buffer_owner&) = delete;
    buffer_owner& operator=(const buffer_owner&) = delete;
    virtual ~buffer_owner() = default;

    /// Updates the account to the present size of the buffers.
    virtual void refresh_account() = 0;
    /// Gives up the buffers, or closes the connection.
    virtual void release(shortage why) = 0;
};

/// The buffers of one caller's connection, which count towards the budget.
class memory_account
{
public:
    memory_account(memory_budget& budget, buffer_owner& owner);
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;
    ~memory_account();

    void set(std::size_t bytes, connection_state state);
    /// The connection has closed; it counts no more.
    void close();
    /// Records how many bytes the caller has sent and read in total.
    void record_progress(std::uint64_t total_bytes, common::timestamp now);

private:
    friend class memory_budget;

    memory_budget& m_budget;
    buffer_owner& m_owner;
    std::size_t m_index = 0;
    std::size_t m_bytes = 0;
    connection_state m_state = connection_state::idle;
    bool m_is_closed = false;
    std::uint64_t m_progress = 0;
    common::timestamp m_progressed_at;
};

/// Counts all buffered bytes and the callers' connections of a process against its limits, and
/// makes connections release their buffers when memory is short. Has no I/O of its own.
class memory_budget
{
public:
    memory_budget();
    memory_budget(const memory_budget&) = delete;
    memory_budget& operator=(const memory_budget&) = delete;

    void set_limits(const memory_limits& limits) { m_limits = limits; }
    const memory_limits& limits() const { return m_limits; }
    /// Sets a function that is called when memory becomes short; it must call reclaim() later.
    void on_shortage(std::function<void()> fn) { m_on_shortage = std::move(fn); }
    bool is_short() const;
    /// Makes connections release their buffers while memory is short. Must not be called while one
    /// of their handlers is running, other than the one that reads.
    void reclaim(common::timestamp now);
    /// False when a body of this length could not be held even if every connection released its
    /// buffers.
    bool can_hold_body(std::uint64_t length) const;
    /// Makes room for one more connection; false when none can be closed for it. An internal
    /// connection (probes, metrics) may use a reserve beyond the limit.
    bool admit_connection(bool is_internal, common::timestamp now);

    std::size_t bytes() const { return m_total; }
    std::size_t connections() const { return m_connections; }
    void count_refusal(common::timestamp now);
    void write_metrics(common::metrics& out) const;

private:
    friend class memory_charge;
    friend class memory_account;
    enum class pool : std::uint8_t
    {
        connection,
        request,
        response,
        forwarded
    };

    static pool pool_of(charge_kind kind);
    bool permits(charge_kind kind, std::size_t from, std::size_t to) const;
    void change(pool kind, std::size_t from, std::size_t to);
    void notify_if_short();
    std::vector<buffer_holder> holders(common::timestamp now) const;
    void release(const std::vector<std::size_t>& chosen, shortage why, common::timestamp now);
    void refresh_large_accounts();
    void release_memory(std::size_t bytes_to_free, std::size_t min_bytes, common::timestamp now);

    memory_limits m_limits;
    std::function<void()> m_on_shortage;
    bool m_is_notified = false;
    /// Includes closed connections that are not destroyed yet.
    std::vector<memory_account*> m_accounts;
    std::size_t m_connections = 0;
    std::size_t m_total = 0;
    std::size_t m_callers = 0;
    std::size_t m_large = 0;
    std::size_t m_large_served = 0;
    std::size_t m_responses = 0;
    std::int64_t m_released_for_memory = 0;
    std::int64_t m_closed_for_connections = 0;
    std::int64_t m_refused = 0;
    common::limited_log m_log;
};

} // namespace kumquatgap::io
