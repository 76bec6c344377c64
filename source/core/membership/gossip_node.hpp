#pragma once

#include "common/clock.hpp"
#include "common/result_code.hpp"
#include "config/replica.hpp"
#include "membership/message.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace kumquatgap::membership
{

using common::milliseconds;
using common::timestamp;

/// Another process of the same data centre that replicates the same keys.
struct peer
{
    std::string name;
    std::string address;
};

/// Send a message to an address; delivery is not guaranteed.
struct send_message
{
    std::string address;
    message payload;
};

/// Read all replicated keys from the store, then call read_finished() or store_failed().
struct read_store
{
};

/// Watch the store for changes after the replica's revision.
struct start_watch
{
};

/// Stop the watch.
struct stop_watch
{
};

using action = std::variant<send_message, read_store, start_watch, stop_watch>;
using actions = std::vector<action>;

/// Timing and fanout of the gossip protocol.
struct gossip_options
{
    /// In a data centre with at most this many processes all watch the store. So few cost it less
    /// than watchers on which others depend, which it has to answer more often.
    std::size_t max_all_watch = 1;
    /// How many watch it in a larger one, at least.
    std::size_t watchers = 2;
    /// The most processes for each of them, so that the requests for confirmation that a watcher
    /// answers don't grow with the data centre; 0 for any number.
    std::size_t processes_per_watcher = 0;
    /// How many random peers a process sends its digest to when its replica has changed.
    std::size_t fanout = 3;
    /// How often a process sends its digest to random peers, and to how many.
    milliseconds period{1000};
    std::size_t digest_peers = 2;
    /// A change must be in effect at every process this long after the store has confirmed it. The
    /// time for which a process relies on others follows from this.
    milliseconds apply_time{15'000};
    /// The initial and the longest pause between two reads of a store that does not respond.
    milliseconds initial_read_backoff{500};
    milliseconds max_read_backoff{10'000};
    /// Changes that were sent to a peer are sent again when it still lacks them after this long.
    milliseconds resend_after{500};
    /// True when the primary watcher reports which revision is in effect at all processes, for
    /// which each process sends it a digest after each change. The traffic to the primary watcher
    /// grows with the number of processes.
    bool report_propagation = true;

    /// A process that watches has the store's confirmation this often.
    milliseconds confirmation_period() const { return apply_time / 4; }
    /// A process that does not watch asks a watcher once its last confirmation is this old.
    milliseconds request_age() const { return apply_time * 3 / 8; }
    /// It turns to the store itself once that is this old, and a watcher without a confirmation for
    /// this long counts as failed.
    milliseconds max_unconfirmed() const { return apply_time / 2; }
    /// The processes that turn to the store do so spread over this time. What is left is for the
    /// store's response.
    milliseconds takeover_window() const { return apply_time / 4; }
    /// How often tick() is to be called: a fraction of the period.
    milliseconds tick_period() const
    {
        return period / (1 + (period * 8 - milliseconds{1}) / apply_time);
    }
};

/// Why a call to the store or a watch failed.
enum class store_failure : std::uint8_t
{
    /// The store did not respond or refused.
    unavailable,
    /// The watch can't go on from the replica's revision, so all keys have to be read.
    history_lost
};

/// What a failed call or watch means for the replica, by its result code.
constexpr store_failure failure_of_watch(common::result_code code)
{
    return code == common::result_code::compacted ? store_failure::history_lost
                                                  : store_failure::unavailable;
}

/// How far a change has reached the processes of a data centre.
struct propagation_report
{
    /// The lowest revision known to be in effect at any process; 0 when one has not reported yet.
    kv::revision lowest = 0;
    std::size_t hosts = 0;
    /// The processes that are not known to have the newest change.
    std::vector<std::string> behind;
};

/// One process of the gossip protocol that replicates the store's keys to all processes of a data
/// centre. A few processes watch the store; the others get changes from each other by push-pull
/// gossip of digests. Each of the others also asks a watcher whether its replica is current, and
/// watches the store itself when it gets no confirmation for too long. Does no I/O: each function
/// returns the actions that the caller carries out. Owns the replica.
class gossip_node
{
public:
    gossip_node(peer self, gossip_options options, std::uint64_t seed);

    /// Sets the data centre's processes; the list may include this one.
    void set_peers(const std::vector<peer>& peers);

    /// Starts the protocol with a read of the store.
    actions begin(timestamp now);
    /// To be called every tick_period().
    actions tick(timestamp now);
    actions handle(const message& m, timestamp now);
    actions read_finished(const kv::range_response& response, timestamp now);
    actions store_failed(timestamp now, store_failure why = store_failure::unavailable);
    /// The watch has responded. `confirmed_at` is a time at which the store had no other changes.
    actions store_changed(const config::delta& d, timestamp now, timestamp confirmed_at);
    /// The store has been restored from a copy: the replica is of an earlier era than its
    /// responses.
    actions store_restored(timestamp now);
    /// The store had no new changes at `confirmed_at`, so the watch is alive.
    void store_responded(timestamp confirmed_at);

    const config::replica& replica() const { return m_replica; }
    /// The era of messages that name none: the first one that this process knew. What a build that
    /// knows no eras sends after a restore is then taken for older than the replica.
    kv::era default_era() const { return m_first_era; }
    const gossip_options& options() const { return m_options; }
    bool is_watching() const { return m_watching; }
    /// The replica has all changes that the store had confirmed by then; the epoch before the first
    /// confirmation.
    timestamp confirmed_at() const { return m_confirmed_at; }
    /// The time since the replica was last known to have all changes that the store had confirmed;
    /// the time since the start before the first confirmation.
    milliseconds unconfirmed_time(timestamp now) const;
    /// True when other processes depend on those that watch, which then need the store's
    /// confirmation every confirmation_period().
    bool has_dependents() const { return m_takeover_order.size() > watcher_count(); }
    /// This process's place in the order in which the processes take over watching, from 0.
    std::size_t takeover_position() const;
    /// The position that the store has returned, if it is older than the replica's; empty when
    /// asked again.
    std::optional<kv::position> take_regression()
    {
        return std::exchange(m_regressed_to, std::nullopt);
    }
    /// How far the newest change has reached the peers, from their digests; complete only at the
    /// primary watcher.
    propagation_report report() const;
    /// True when this process is the first live watcher in the takeover order, which writes the
    /// data centre's status.
    bool is_primary_watcher(timestamp now) const;

private:
    struct watcher_contact
    {
        timestamp last_contact_at;
    };

    /// The last changes that were sent to a peer: when, and up to which revision.
    struct last_sent_changes
    {
        timestamp at;
        kv::position up_to;
    };

    std::size_t watcher_count() const;
    /// True when this process always watches.
    bool is_regular_watcher() const { return takeover_position() < watcher_count(); }
    std::size_t live_watchers_ahead(timestamp now) const;
    bool should_take_over(timestamp now) const;
    bool needs_confirmation(timestamp now) const;
    digest own_digest(timestamp now) const;
    void request_confirmation(actions& out, timestamp now);
    std::vector<peer> confirmation_sources(timestamp now) const;
    void record_confirmation(const digest& answer, timestamp now);
    void update_watchers(const digest& d, timestamp now);
    void send_digest_to_random_peers(actions& out, std::size_t count, timestamp now);
    void announce_change(actions& out, timestamp now);
    actions respond(const digest& d, timestamp now);
    void send_missing_changes(actions& out, const digest& to, timestamp now);
    void start_read(actions& out, timestamp now);
    void take_over(actions& out, timestamp now);
    void delay_next_attempt(timestamp now);
    void end_watch(actions& out);
    void restart_watch(actions& out, timestamp now);
    config::update_result update(const config::snapshot& s);

    peer m_self;
    gossip_options m_options;
    std::mt19937_64 m_random;
    config::replica m_replica;
    std::vector<peer> m_peers;
    /// The names of all processes, in the order in which they take over watching.
    std::vector<std::string> m_takeover_order;
    std::map<std::string, watcher_contact> m_watchers;
    std::map<std::string, kv::position> m_peer_positions;
    std::map<std::string, last_sent_changes> m_last_sent;
    /// Peers that have sent nothing since this process asked them for a confirmation.
    std::set<std::string> m_unanswered;
    timestamp m_confirmed_at;
    bool m_watching = false;
    bool m_reading = false;
    timestamp m_read_started_at;
    timestamp m_next_digest_at;
    std::optional<kv::position> m_regressed_to;
    kv::era m_first_era = 0;
    timestamp m_started_at;
    /// No call to the store before this time, after failures.
    timestamp m_next_read_at;
    milliseconds m_read_backoff;
};

} // namespace kumquatgap::membership
