#pragma once

#include "common/clock.hpp"
#include "config/replica.hpp"
#include "membership/message.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace kumquatgap::membership
{

using common::milliseconds;
using common::timestamp;

/// A process of the same data centre that follows the configuration too.
struct peer
{
    std::string name;
    std::string address;
};

/// Send a message to an address; it may be lost.
struct send_message
{
    std::string address;
    message what;
};

/// Read all followed keys from the store, then call store_read() or store_failed().
struct read_store
{
};

/// Watch the store from the replica's revision on.
struct start_watch
{
};

/// End the watch.
struct stop_watch
{
};

using action = std::variant<send_message, read_store, start_watch, stop_watch>;
using actions = std::vector<action>;

/// The times and counts of spreading.
struct spreader_options
{
    /// How many processes of a data centre watch the store.
    std::size_t watchers = 2;
    /// To how many peers a process passes on what is new.
    std::size_t fan_out = 3;
    /// How often a process compares itself with random peers, and with how many.
    milliseconds period{1000};
    std::size_t compared = 2;
    /// Watchers count as gone when nobody has heard of the store through them for this long.
    milliseconds watcher_silence{7000};
    /// Each further process in the order of succession waits this much longer.
    milliseconds succession_step{500};
    /// The first and longest pause between two reads of a store that does not answer.
    milliseconds first_read_pause{500};
    milliseconds longest_read_pause{10'000};
    /// Changes that were sent to a peer count as lost when it still lacks them after this long.
    milliseconds resend_after{500};
    /// True where the first watcher reports what is in force everywhere, so that each process tells
    /// it of each change. What that host receives grows with the fleet.
    bool reports = true;
};

/// How far a data centre's processes are.
struct in_force_report
{
    kv::revision lowest = 0;
    std::size_t hosts = 0;
    std::vector<std::string> behind;
};

/// One process's part in bringing the configuration to all processes of a data centre: a few
/// watch the store, the others learn from each other by push-pull digests. It owns the replica.
class spreader
{
public:
    spreader(peer self, spreader_options options, std::uint64_t seed);

    /// Sets the data centre's processes, this one included or not.
    void set_peers(const std::vector<peer>& peers);

    /// Starts with a read of the store.
    actions begin(timestamp now);
    /// To be called every period.
    actions tick(timestamp now);
    actions received(const message& m, timestamp now);
    actions store_read(const kv::range_answer& answer, timestamp now);
    actions store_failed(timestamp now);
    actions store_changed(const config::delta& d, timestamp now);
    /// The store has answered, with nothing new: the watch is alive.
    void store_heard(timestamp now);

    const config::replica& copy() const { return m_replica; }
    bool is_watching() const { return m_watching; }
    /// True once, after the store has offered an older revision than this replica has.
    bool take_regression() { return std::exchange(m_regressed, false); }
    /// How far the processes are that this one has heard of; for the first watcher.
    in_force_report report() const;
    /// True when this process is the first of the watchers and speaks for the data centre.
    bool speaks_for_data_centre(timestamp now) const;

private:
    struct heard_watcher
    {
        timestamp store_heard_at;
    };

    /// What a peer was sent since a moment, up to a revision.
    struct sent_changes
    {
        timestamp at;
        kv::revision up_to = 0;
    };

    std::size_t rank() const;
    milliseconds freshest_age(timestamp now) const;
    std::size_t better_watchers(timestamp now) const;
    bool should_take_over(timestamp now) const;
    digest own_digest(timestamp now) const;
    void note_watchers(const digest& d, timestamp now);
    void send_to_random(actions& out, std::size_t count, timestamp now);
    void pass_on(actions& out, timestamp now);
    bool needs_news(const digest& d, timestamp now) const;
    actions answer(const digest& d, timestamp now);
    void send_changes(actions& out, const digest& to, timestamp now);
    void read_soon(actions& out, timestamp now);

    peer m_self;
    spreader_options m_options;
    std::mt19937_64 m_random;
    config::replica m_replica;
    std::vector<peer> m_peers;
    /// Names in the order of succession as watchers.
    std::vector<std::string> m_succession;
    std::map<std::string, heard_watcher> m_watchers;
    std::map<std::string, kv::revision> m_peer_revisions;
    std::map<std::string, sent_changes> m_sent_to;
    bool m_watching = false;
    bool m_reading = false;
    bool m_regressed = false;
    timestamp m_began;
    timestamp m_read_not_before;
    milliseconds m_read_pause;
};

} // namespace kumquatgap::membership
