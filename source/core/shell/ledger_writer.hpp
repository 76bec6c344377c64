#pragma once

#include "io/event_loop.hpp"
#include "kv/store.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
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
    /// Records written within this time are written again when the store has been restored from a
    /// copy: longer than such a copy is old.
    common::milliseconds restore_window{60'000};
    std::size_t max_restore_bytes = std::size_t{8} << 20;
    /// After a restore no key is claimed for this time, in which all agents notice it and write
    /// their records again.
    common::milliseconds restore_settle_time{5000};
};

/// Writes ledger records to the platform's store in batches, since the store service counts
/// calls. At most one call is in progress; records that arrive meanwhile go into the next
/// batch. A store that was restored from a copy lacks the newest records, so that their calls could
/// run again; they are written again from memory.
class ledger_writer
{
public:
    using write_callback = std::function<void(const common::result<kv::write_response>&)>;

    ledger_writer(io::event_loop& loop, kv::store& target, ledger_writer_options options);

    /// Writes a record if its key is still at the expected revision, and calls the callback with
    /// the store's response. `says_run` is true for a record of a call that may have run.
    void write(std::string key, kv::revision expected, std::string value, bool says_run,
               write_callback callback);

private:
    struct pending
    {
        kv::transaction write;
        bool says_run = false;
        write_callback callback;
    };

    /// A record as it was last written.
    struct recent_record
    {
        std::string value;
        common::timestamp at;
    };

    void remember(const pending& it);
    void forget_old();
    void handle_restored();
    void rewrite(const std::string& key, kv::revision expected);
    void retry_rewrite(const std::string& key);
    void enqueue(std::string key, kv::revision expected, std::string value, bool says_run,
                 write_callback callback);
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
    /// By key, the records of the last restore_window that say that a call may have run.
    std::map<std::string, recent_record> m_recent;
    std::size_t m_recent_bytes = 0;
    common::timestamp m_settled_at;
    /// The keys of records that could not be written again yet.
    std::set<std::string> m_unwritten;
    io::timer_handle m_rewrite_timer;
};

} // namespace kumquatgap::shell
