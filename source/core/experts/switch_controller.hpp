#pragma once

#include "experts/switch_message.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace kumquatgap::experts
{

/// The times of a switch.
struct switch_options
{
    /// A rank's status counts for this long.
    milliseconds status_lifetime{1500};
    /// How many passes ahead of the foremost rank a switch is placed at least.
    pass_number lead_passes = 1;
    /// And at most when it is placed first, however long arming takes.
    pass_number most_first_lead_passes = 4;
    /// A hold that came too late is placed again, each time twice as far ahead, up to this.
    pass_number most_lead_passes = 16;
    /// What arming and a pass take until they were measured, in milliseconds.
    double arming_at_start_ms = 30;
    double pass_at_start_ms = 60;
    /// How fast the measured times follow: arming soon when it takes longer, since the group stands
    /// for what was not foreseen, and slowly when it takes less.
    double longer_weight = 0.5;
    double shorter_weight = 0.1;
    /// Passes with more time between them are those of an idle group.
    milliseconds longest_pass{400};
    /// A phase that takes longer than this is given up.
    milliseconds longest_prepare{6000};
    milliseconds longest_hold{1500};
    milliseconds longest_arm{1800};
    /// A release that finds nothing to release is given up after this.
    milliseconds longest_release{1500};
};

/// Brings a group of ranks in lock-step from one expert map to another, so that in each pass all
/// ranks have the same one. The ranks compare nothing, so this does:
///
/// One rank holds the pass of the switch, which stops the whole group there. Only then do the ranks
/// arm, and only when all are seen armed for that pass in one epoch is the group released. Any
/// doubt before the release: the holder disarms first, which fences off a release that an earlier
/// controller may have sent; then all others do, are seen disarmed with no order left that could
/// still be carried out, and the group is released. After the release nothing is undone. A
/// successor that finds the group held takes the second way.
class switch_controller
{
public:
    switch_controller(fencing_token token, switch_options options)
        : m_options{options}, m_directive{.token = token},
          m_arming_ms{options.arming_at_start_ms}, m_pass_ms{options.pass_at_start_ms}
    {
    }

    /// A rank's status has come.
    void take(const rank_status& s, timestamp now);
    /// Starts a switch to a map, also in the place of one for which the ranks are still copying;
    /// false unless all ranks are known to be at rest or a switch is that far.
    bool propose(std::shared_ptr<const expert_map> map, timestamp now);
    /// Moves on where the statuses allow it.
    void tick(timestamp now);

    /// What is wanted of the ranks now.
    const directive& current() const { return m_directive; }
    /// What the rank's agent is to be told, again and again.
    directive directive_for(rank_number rank) const;
    /// Ranks that have not said that they have the current directive and are to have it. The holder
    /// comes first, and is alone while a hold is asked for, which concerns nobody else.
    std::vector<rank_number> unconfirmed_ranks() const;
    /// True when all ranks are known, open, at rest and of one map, so that a switch can begin.
    bool is_at_rest(timestamp now) const;
    /// The version that all ranks have; only while at rest.
    map_version version() const;
    std::int64_t epoch() const { return m_epoch; }
    /// How much slower than usual each rank is.
    rank_paces paces() const;
    /// What a pass takes of late.
    double pass_ms() const { return m_pass_ms; }
    std::size_t known_ranks(timestamp now) const;
    /// Ranks of which nothing was heard for some time.
    std::vector<rank_number> silent_ranks(timestamp now, milliseconds silence) const;

private:
    struct known_rank
    {
        rank_status status;
        timestamp heard_at;
    };

    bool knows_all(timestamp now) const;
    template <class F>
    bool all_ranks(timestamp now, F&& holds) const;
    bool has_seen_current(const rank_status& s) const;
    void enter(switch_phase phase, timestamp now);
    void abandon(timestamp now);
    void look_for_remains(timestamp now);
    void tick_prepare(timestamp now);
    void tick_hold(timestamp now);
    void place_switch(timestamp now);
    pass_number first_lead_passes() const;
    void note_pass(pass_number pass, timestamp now);
    void note_arming(timestamp now);
    void tick_fence_holder(timestamp now);
    void tick_release(timestamp now);

    switch_options m_options;
    directive m_directive;
    std::map<rank_number, known_rank> m_ranks;
    std::int64_t m_epoch = 0;
    map_version m_highest_version = 0;
    timestamp m_phase_since;
    /// How far ahead the current switch is placed, and when.
    pass_number m_lead_passes = 0;
    timestamp m_placed_at;
    double m_arming_ms;
    double m_pass_ms;
    pass_number m_foremost = 0;
    timestamp m_foremost_at;
};

} // namespace kumquatgap::experts
