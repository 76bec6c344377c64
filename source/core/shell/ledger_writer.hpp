#pragma once

#include "io/event_loop.hpp"
#include "kv/store.hpp"

#include <functional>
#include <optional>
#include <vector>

namespace kumquatgap::shell
{

/// How ledger records are written.
struct ledger_writer_options
{
    /// Records are kept at least this long.
    common::milliseconds retention{24 * 3600 * 1000};
    /// The least time between two calls to the store.
    common::milliseconds period{20};
    std::size_t max_batch = 64;
};

/// Writes ledger records to the platform's store, many in one call, since the service counts
/// calls. One call is under way at a time; what arrives meanwhile goes into the next.
class ledger_writer
{
public:
    using done = std::function<void(const common::result<kv::write_response>&)>;

    ledger_writer(io::event_loop& loop, kv::store& target, ledger_writer_options options);

    /// Writes a record while its key is at the expected revision.
    void write(std::string key, kv::revision expected, std::string value, done fn);

private:
    struct pending
    {
        kv::transaction write;
        done fn;
    };

    void flush();
    void send_batch();
    void renew_lease();
    void fail_all(const common::failure& why);
    void finish(std::vector<pending> batch,
                const common::result<std::vector<kv::write_response>>& answer);

    io::event_loop& m_loop;
    kv::store& m_store;
    ledger_writer_options m_options;
    std::vector<pending> m_pending;
    bool m_busy = false;
    io::timer_handle m_flush_timer;
    /// Records live as long as this lease, which is never renewed but replaced in time.
    kv::lease_id m_lease = 0;
    common::timestamp m_lease_replace_at;
};

} // namespace kumquatgap::shell
