#pragma once

#include "io/event_loop.hpp"
#include "kv/store.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace kumquatgap::shell
{

/// Options of a ledger_writer.
struct ledger_writer_options
{
    /// Records are kept at least this long.
    common::milliseconds retention{24 * 3600 * 1000};
    /// Shortest time from the end of one call to the store to the start of the next.
    common::milliseconds period{20};
    /// Records in one call.
    std::size_t max_batch = 64;
};

/// Writes ledger records to the platform's store in batches, since the store service counts
/// calls. At most one call is in progress; records that arrive meanwhile go into the next
/// batch.
class ledger_writer
{
public:
    using write_callback = std::function<void(const common::result<kv::write_response>&)>;

    ledger_writer(io::event_loop& loop, kv::store& target, ledger_writer_options options);

    /// Writes a record if its key is still at the expected revision, and calls the callback with
    /// the store's response.
    void write(std::string key, kv::revision expected, std::string value, write_callback callback);

private:
    struct pending
    {
        kv::transaction write;
        write_callback callback;
    };

    void flush();
    void send_batch();
    void replace_lease();
    void fail_pending(const common::failure& why);
    void finish(std::vector<pending> batch,
                const common::result<std::vector<kv::write_response>>& response);

    io::event_loop& m_loop;
    kv::store& m_store;
    ledger_writer_options m_options;
    std::vector<pending> m_pending;
    bool m_is_busy = false;
    io::timer_handle m_flush_timer;
    /// Attached to the records, which expire with it; 0 for none. It is never extended: later
    /// records get a new lease.
    kv::lease m_lease;
    common::timestamp m_lease_replace_at;
};

} // namespace kumquatgap::shell
