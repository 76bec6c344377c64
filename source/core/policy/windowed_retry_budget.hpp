#pragma once

#include "policy/retry_report.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace kumquatgap::policy
{

/// The limits on the retries of all gateways together.
struct retry_limits
{
    /// Retries per call, over the window.
    double ratio = 0.2;
    /// Retries beyond the ratio in one window, over all gateways.
    double extra = 0;
    milliseconds window{10'000};
    /// The fraction of the limit that is used. The rest is a margin for calls at the edge of the
    /// window that are counted by one side and not by the other.
    double used_fraction = 0.8;
};

/// What a decision on a retry is based on. All counts are for the window that ends now.
struct retry_budget_state
{
    std::int64_t own_calls = 0;
    std::int64_t own_retries = 0;
    /// Of all gateways, as far as this one knows.
    std::int64_t calls = 0;
    std::int64_t retries = 0;
    /// Retries that the others may have sent since their last reports.
    double unreported = 0;
    /// The retries that are allowed in the window.
    double allowed = 0;
    /// The number of gateways, and of those that report to this one, this one included in both.
    std::size_t gateways = 1;
    std::size_t heard = 1;
    /// How far back all retries are known; no more than the window.
    milliseconds known{0};

    double left() const { return allowed - unreported - static_cast<double>(retries); }
};

/// The retries that all gateways together may send to a service, over a sliding window. Load
/// pattern: callers and targets that fail in waves, while gateways start, stop and lose each other.
///
/// The window belongs to the service, so what was used in it counts whether or not the gateway that
/// used it still runs. Gateways report their calls and retries to each other, and to one that has
/// started also those of gateways that have ended. From the same counts each takes at most an equal
/// share of what is left between two reports. The part of `extra` of a gateway that is not heard is
/// left out. While not all retries in the window are known, only the margin is used.
class windowed_retry_budget
{
public:
    windowed_retry_budget(retry_limits limits, gateway_run self, timestamp started_at)
        : m_limits{limits}, m_self{std::move(self)}, m_started_at{started_at}, m_known_since{
                                                                                   started_at}
    {
    }

    void set_limits(retry_limits limits) { m_limits = limits; }
    /// The names of the other gateways that are registered.
    void set_peers(std::set<std::string> peers) { m_peers = std::move(peers); }
    /// No gateway has sent a retry in the window, apart from those that report it.
    void set_all_known(timestamp now)
    {
        m_known_since = std::min(m_known_since, now - m_limits.window);
    }
    /// A call for the service has arrived.
    void record_call(const std::string& service, timestamp now);
    /// Takes one retry out of the budget; false when it is used up.
    bool take(const std::string& service, timestamp now);
    retry_budget_state state(const std::string& service, timestamp now) const;
    /// False for a short time after the start, until the other gateways have reported which retries
    /// they know of. Retries are refused until then. `since` is when their names became known.
    bool has_settled(timestamp since, timestamp now) const;

    /// Adds the report of another gateway.
    void merge(const std::string& gateway, const retry_report& from, timestamp now);
    /// True when the others should get a report at once: of a retry, or for one that has started.
    bool has_update() const { return m_has_update && !m_peers.empty(); }
    /// The report to send now; none while the last one is recent, or while no gateway needs it:
    /// nothing was retried, and none has started lately.
    std::optional<retry_report> next_report(timestamp now);

private:
    /// Calls and retries are reported every so often while a report is needed, and retries at once.
    static constexpr milliseconds min_report_period{250};
    /// A gateway that was not heard for this long, and for three reports, may be cut off.
    static constexpr milliseconds min_reporter_lifetime{1500};
    /// The others have reported to a gateway that has started after this time, and after three
    /// reports of theirs; one that has not is taken to have stopped.
    static constexpr milliseconds min_settle_time{250};
    /// From sending a report to its use, at a busy gateway.
    static constexpr milliseconds delivery_time{100};
    static constexpr std::size_t slots_per_window = 20;
    /// The most runs of others in one report, so that it fits a datagram beside the loads.
    static constexpr std::size_t max_relayed_runs = 16;

    struct counts
    {
        std::deque<timestamp> calls;
        std::deque<timestamp> retries;
    };
    /// A gateway that has reported.
    struct reporter
    {
        std::uint64_t run = 0;
        timestamp heard_at;
        bool is_asking = false;
        /// It has reported what it knows of others, as it does when this gateway asks.
        bool has_answered = false;
    };
    struct sums
    {
        std::int64_t calls = 0;
        std::int64_t retries = 0;
    };

    milliseconds report_period() const;
    milliseconds report_lag() const;
    milliseconds reporter_lifetime() const;
    bool is_asking(timestamp now) const;
    bool is_heard(const std::string& gateway, timestamp now) const;
    bool is_live(const gateway_run& it, timestamp now) const;
    bool is_over(const gateway_run& it) const;
    double allowed_for(double calls, double extra) const;
    double allowed_unknown(double calls, double extra, milliseconds known) const;
    bool is_in_window(timestamp at, timestamp now) const { return now - at <= m_limits.window; }
    sums sum_of(const run_usage& it, const std::string& service, timestamp now) const;
    static std::int64_t retries_of(const run_usage& it);
    std::size_t gateway_count(timestamp now) const;
    milliseconds known(timestamp now) const;
    bool is_asked(timestamp now) const;
    bool is_report_needed(timestamp now) const;
    void forget_old(timestamp now);
    void drop_old(std::deque<timestamp>& times, timestamp now) const;
    void add_relayed_run(const gateway_run& it, const run_usage& usage, timestamp now);
    milliseconds slot_length() const;
    service_usage slots_of(const counts& it, timestamp now) const;
    std::map<gateway_run, run_usage> runs_to_relay(timestamp now) const;

    retry_limits m_limits;
    gateway_run m_self;
    timestamp m_started_at;
    timestamp m_known_since;
    std::set<std::string> m_peers;
    std::map<std::string, counts> m_services;
    std::map<std::string, reporter> m_reporters;
    /// The usage of runs of other gateways, as they or third ones reported it.
    std::map<gateway_run, run_usage> m_runs;
    timestamp m_reported_at;
    /// Something has happened since the last report that the others should learn at once, such as
    /// the start of this gateway.
    bool m_has_update = true;
};

} // namespace kumquatgap::policy
