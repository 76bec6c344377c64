#pragma once

#include "common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// The thresholds and durations of a crash_attribution.
struct crash_attribution_options
{
    /// A lost connection counts as a crash only if the target is found gone within this time.
    milliseconds confirmation_time{5000};
    /// Before a part is quarantined, the other gateways get this long to report that they have
    /// served it.
    milliseconds settle_time{300};
    /// How long crashes are remembered and parts are quarantined. Afterwards a part gets a new
    /// chance, since the engines may have been repaired.
    milliseconds lifetime{600'000};
    /// How long a part is quarantined after its only crash.
    milliseconds first_lifetime{600'000};
    /// How long evidence is broadcast, since datagrams get lost.
    milliseconds broadcast_time{30'000};
    /// After this many crashes since a part was last served, it may have caused them although it
    /// was served before.
    int crashes_to_doubt = 2;
    /// Of several parts, one that is in more crashes than the others is quarantined once there are
    /// this many.
    int crashes_to_single_out = 2;
    /// The same for parts of requests that no target had begun to answer. After this many, parts
    /// that always occur together and were never served are quarantined together.
    int crashes_without_head = 3;
    /// Whether these are quarantined together. Otherwise each of them is tried alone until one is
    /// in more crashes than the others, since sound ones may wait at the same targets.
    bool quarantines_ties = true;
    /// A head without an event marks the request being answered only if heads usually arrive with
    /// the first event: after at least this fraction of its time.
    double min_head_fraction = 0.8;
    /// Several suspects are tried one at a time, each for this long.
    milliseconds trial_time{500};
    /// The most parts of served requests, crashes and quarantined parts that are remembered.
    std::size_t max_served = 8192;
    std::size_t max_crashes = 64;
    std::size_t max_quarantined = 64;
    /// The most bytes of crashes, and of quarantined parts, in one broadcast, since a datagram also
    /// contains the loads. Further parts of a crash that exceeds this alone are left out.
    std::size_t max_broadcast_bytes = 4096;
    /// The most requests of a crash that are remembered.
    std::size_t max_requests = 16;
};

/// Whether a request may be sent.
enum class part_verdict : std::uint8_t
{
    clear,
    /// One of several parts that may have caused a crash; tried one request at a time.
    suspect,
    /// A part of it may have caused a crash that is not confirmed yet; it waits.
    held,
    /// A part of it crashes targets; it is refused.
    quarantined
};

/// The evidence about crashes that gateways exchange. Parts are identified by keys that the caller
/// forms from service and part.
struct crash_evidence
{
    struct crash
    {
        timestamp at;
        bool is_confirmed = false;
        /// The parts of the requests that the target had begun to answer, and of those that waited
        /// there, at the time of the crash.
        std::set<std::string> begun;
        std::set<std::string> waiting;
        /// The requests that these parts were in, as keys; empty when that is not known.
        std::set<std::string> requests = {};

        bool operator==(const crash&) const = default;
    };
    /// By target.
    std::map<std::string, crash> crashes;
    /// When parts of these crashes were last served, and since when parts are quarantined.
    std::map<std::string, timestamp> served;
    std::map<std::string, timestamp> quarantined;

    bool operator==(const crash_evidence&) const = default;
    bool empty() const { return crashes.empty() && quarantined.empty(); }
};

/// Finds the parts of prompts that crash the targets that answer them. Load pattern: requests that
/// are all different but share one part, among many sound requests that share their other parts and
/// their teams; each of them ends the target that begins to answer it, and with it the service of a
/// whole group for seconds.
///
/// A part that was served does not crash targets. So of the requests that a target had begun to
/// answer when it crashed, only the parts that were never served come into question; if there is
/// one, it is quarantined, and if there are several, they are tried one at a time. Every gateway
/// decides from the evidence of all of them, in whatever order that arrives.
class crash_attribution
{
public:
    explicit crash_attribution(crash_attribution_options options = {}) : m_options{options} {}

    /// A request with these parts has got its first event. The response head took `to_head` and the
    /// event `to_event` to arrive.
    void record_served(const std::vector<std::string>& parts, milliseconds to_head,
                       milliseconds to_event, timestamp now);
    /// The connection to a target was lost before the first event of a request with these parts.
    /// `request` is the same each time a request is sent; empty if that is not known.
    void record_lost(const std::string& target, const std::vector<std::string>& parts,
                     bool has_head, timestamp now, const std::string& request = {});
    /// The target does not accept connections, or has been replaced.
    void record_gone(const std::string& target, timestamp now);
    /// The target still serves, so a lost connection was no crash.
    void record_alive(const std::string& target);
    /// The targets of crashes that are not confirmed yet.
    std::vector<std::string> unconfirmed() const;
    /// Adds the evidence of another gateway.
    void merge(const crash_evidence& it, timestamp now);
    /// A part is quarantined according to the store, or no longer.
    void adopt(const std::string& part, timestamp now);
    void release(const std::string& part, timestamp now);

    /// The parts whose quarantine begins or ends now.
    struct decisions
    {
        std::vector<std::string> quarantined;
        std::vector<std::string> released;
    };
    /// Draws conclusions from the evidence; called regularly. `broadcast_interval` is the time
    /// between two reports of another gateway.
    decisions decide(timestamp now, milliseconds broadcast_interval = milliseconds{0});

    part_verdict judge(const std::vector<std::string>& parts) const;
    /// True when this gateway, number `index` of `gateways`, may send a suspect request now. All
    /// gateways take turns in the same order, counted from the last crash, one request a turn.
    bool is_own_turn(std::size_t index, std::size_t gateways, timestamp now) const;
    /// A suspect request was sent in the turn of this gateway.
    void record_trial(timestamp now) { m_last_turn = turn_at(now); }
    /// The time until the last of these parts is released.
    milliseconds quarantine_left(const std::vector<std::string>& parts, timestamp now) const;
    /// The number of crashes in which a part is implicated.
    std::size_t crashes_with(const std::string& part) const;
    std::size_t quarantined_count() const { return m_quarantined.size(); }
    std::size_t suspect_count() const { return m_suspects.size() + m_held.size(); }

    /// Rises with each new crash, confirmation, part of a crash and quarantine.
    std::uint64_t evidence_version() const { return m_evidence_version; }
    /// The evidence for the next broadcast. What exceeds the size limit is in the following ones.
    crash_evidence to_broadcast(timestamp now);

private:
    using crash = crash_evidence::crash;

    void note_served(const std::string& part, timestamp at);
    void note_heard(const std::string& part, timestamp at);
    std::optional<timestamp> own_served_at(const std::string& part) const;
    std::int64_t turn_at(timestamp now) const
    {
        return (now - m_last_crash) / m_options.trial_time;
    }
    std::optional<timestamp> served_at(const std::string& part) const;
    timestamp quarantine_end(const std::string& part, timestamp since) const;
    void forget_old(timestamp now);
    bool heads_come_with_events() const { return m_head_fraction >= m_options.min_head_fraction; }
    std::size_t crashes_after(const std::string& part, timestamp at) const;
    bool is_cleared(const std::string& part, const crash& of) const;
    std::vector<std::string> uncleared(const std::set<std::string>& parts, const crash& of) const;
    void hold(const crash& it);
    void hold_waiting(const crash& it);
    std::size_t losses_with(const std::string& part) const;
    void add_requests(crash& to, const std::set<std::string>& requests);
    bool is_explained(const std::vector<std::string>& parts,
                      const std::set<std::string>& culprits) const;
    void add_parts(std::set<std::string>& to, const std::set<std::string>& parts);
    void confirm(crash& it);
    void add_quarantine(const std::string& part, timestamp since);
    std::set<std::string> find_culprits(timestamp now, milliseconds settle_time);
    void single_out(const std::vector<std::vector<std::string>>& crashes, int min_crashes,
                    bool suspects_before, std::set<std::string>& culprits);
    std::vector<std::string> release_cleared();

    crash_attribution_options m_options;
    /// When parts were last served. Two generations: the older one is dropped when the newer one is
    /// full.
    std::unordered_map<std::string, timestamp> m_served;
    std::unordered_map<std::string, timestamp> m_served_before;
    /// When parts were served by other gateways or released. Kept apart, since only what a gateway
    /// has seen itself is broadcast: gateways would otherwise refresh each other's times.
    std::map<std::string, timestamp> m_heard;
    std::map<std::string, crash> m_crashes;
    struct quarantine
    {
        timestamp since;
        /// Concluded here, and not adopted from the store or another gateway.
        bool is_own = false;
    };
    std::map<std::string, quarantine> m_quarantined;
    std::set<std::string> m_suspects;
    std::set<std::string> m_held;
    /// The smoothed time to a response head as a fraction of the time to the first event.
    double m_head_fraction = 1;
    timestamp m_last_crash;
    std::int64_t m_last_turn = -1;
    std::uint64_t m_evidence_version = 0;
    /// Where the next broadcast continues, by target and by part.
    std::string m_next_crash;
    std::string m_next_quarantined;
};

} // namespace kumquatgap::policy
