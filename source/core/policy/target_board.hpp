#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::policy
{

using common::milliseconds;
using common::timestamp;

/// A target that a call may be placed at.
struct placement_candidate
{
    std::string id;
    /// The most calls that all routers together place there.
    double limit = 1;
    /// 0 for the router's own data centre, more for others.
    int distance = 0;
};

/// What an attempt tells about the health of its target.
enum class target_health : std::uint8_t
{
    /// Nothing, as when the caller has left.
    unknown,
    good,
    /// Refused or failed in order.
    failed,
    /// No connection, a cut connection, or silence.
    broken
};

/// The times and caps of a board.
struct target_board_options
{
    /// After this many failures in a row a target is left alone.
    int failures_to_eject = 3;
    milliseconds first_ejection{500};
    milliseconds longest_ejection{4000};
    /// The most targets of a choice that may be left alone at once, in percent.
    std::size_t most_ejected_percent = 50;
    /// What another router said of its calls counts for this long.
    milliseconds peer_load_lifetime{1500};
    /// How fast the mean answer time follows: the weight of the newest one.
    double answer_time_weight = 0.2;
    /// A target whose mean answer time is at least this many times that of the fastest is slow,
    /// and is chosen as if each of its calls were that many.
    double slow_ratio = 2.0;
};

/// Places calls by the work that this router and the others have at each target. Load pattern:
/// several routers with uneven shares of the callers before targets with few slots; single targets
/// that turn slow, fail, or fail for some callers only.
class target_board
{
public:
    explicit target_board(target_board_options options) : m_options{options} {}

    /// A call of some work was sent to the target; `work` is in the unit of the limits.
    void sent(const std::string& target, double work);
    /// A call has ended. `answer_time` counts for good ends only.
    void ended(const std::string& target, double work, target_health health,
               milliseconds answer_time, timestamp now);
    /// The work that another router has at the targets.
    void heard(const std::string& router, std::map<std::string, double> loads, timestamp now);
    /// The work of this router, by target.
    const std::map<std::string, double>& own_loads() const { return m_own; }
    /// Work of all routers at the target.
    double load(const std::string& target, timestamp now) const;

    /// The target with the least work for its limit among those with room; empty when none has.
    /// `draw`, a random number from 0 to below 1, decides between equals, so that several routers
    /// do not all begin with the same one.
    std::string pick(const std::vector<placement_candidate>& candidates,
                     const std::set<std::string>& tried, timestamp now, double draw) const;
    bool is_ejected(const std::string& target, timestamp now) const;

private:
    struct health_state
    {
        int failures_in_a_row = 0;
        int ejections_in_a_row = 0;
        timestamp ejected_until;
        double answer_ms = 0;
    };
    struct peer_loads
    {
        std::map<std::string, double> loads;
        timestamp heard_at;
    };

    std::vector<const placement_candidate*>
    healthy(const std::vector<placement_candidate>& candidates, const std::set<std::string>& tried,
            timestamp now) const;
    double slowness(const std::string& target, double fastest_ms) const;

    target_board_options m_options;
    std::map<std::string, double> m_own;
    std::map<std::string, peer_loads> m_peers;
    std::map<std::string, health_state> m_health;
};

} // namespace kumquatgap::policy
