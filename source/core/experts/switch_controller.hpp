#pragma once

#include "experts/switch_message.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace kumquatgap::experts
{

/// Timeouts and estimates of a switch.
struct switch_options
{
    /// A rank's status is valid for this long.
    milliseconds status_lifetime{1500};
    /// The minimum number of passes between the latest pass of any rank and the pass of a switch.
    pass_number min_lead_passes = 1;
    /// The maximum for the first hold of a switch, however long arming takes.
    pass_number max_initial_lead_passes = 4;
    /// A hold that came too late is repeated with twice the number of passes, up to this.
    pass_number max_lead_passes = 16;
    /// The durations of arming and of a pass in milliseconds before any was measured.
    double initial_arming_ms = 30;
    double initial_pass_ms = 60;
    /// The weights of a new measurement in the mean durations. The arming time uses the high weight
    /// for increases, because the group is stopped while arming takes longer than estimated, and
    /// the low weight for decreases. The pass time always uses the low weight.
    double increase_weight = 0.5;
    double smoothing_weight = 0.1;
    /// Passes further apart than this belong to an idle group and are not measured.
    milliseconds max_pass_gap{400};
    /// A pass is held only when the lease lasts this many times the mean arming time, within the
    /// bounds: a hold that outlives its controller stops the group until the next one leads.
    double lease_guard_factor = 4;
    milliseconds min_lease_guard{250};
    milliseconds max_lease_guard{800};
    /// A phase that takes longer than its timeout is aborted.
    milliseconds prepare_timeout{6000};
    milliseconds hold_timeout{1500};
    milliseconds arm_timeout{1800};
    /// The release phase ends after this when no rank reports a hold, even if late orders are
    /// possible.
    milliseconds release_timeout{1500};
};

/// Switches a group of ranks that run in lock-step from one expert map to another, so that all
/// ranks use the same map in each pass. The ranks do not compare their maps, so the switch is a
/// two-phase commit:
///
/// One rank, the holder, is ordered to hold the pass of the switch, which stops the whole group
/// before that pass. Only once the hold is confirmed do the ranks arm, and only once all of them
/// report that they are armed for that pass in the same epoch is the group released. The release is
/// the commit; after it nothing is undone.
///
/// If arming times out, the switch is undone. First the holder is brought to refuse all earlier
/// orders, which fences off a release that an earlier controller may have sent. Then all ranks
/// disarm. Once all of them report that they are disarmed and that no earlier order can still be
/// executed, the group is released. A new controller that finds the group held undoes the switch in
/// the same way.
class switch_controller
{
public:
    switch_controller(fencing_token token, switch_options options)
        : m_options{options}, m_directive{.token = token},
          m_arming_ms{options.initial_arming_ms}, m_pass_ms{options.initial_pass_ms}
    {
    }

    /// Handles a status of a rank.
    void handle(const rank_status& s, timestamp now);
    /// Starts a switch to a map. Replaces a switch in the `prepare` phase. False when neither all
    /// ranks are at rest nor a switch is in that phase.
    bool propose(std::shared_ptr<const expert_map> map, timestamp now);
    /// Sets until when the controller is certain to lead. No hold is requested when too little time
    /// is left for the switch.
    void set_lease_end(timestamp at) { m_lease_ends_at = at; }
    /// Enters the next phase when the statuses allow it or the present one has timed out.
    void tick(timestamp now);

    /// The current directive.
    const directive& current() const { return m_directive; }
    /// The current directive as it is to be sent, and resent until confirmed, to the rank's agent.
    directive directive_for(rank_number rank) const;
    /// Ranks whose agents have not confirmed the current directive, the holder first. In the `hold`
    /// phase only the holder is included, because the directive requires nothing of the others.
    std::vector<rank_number> unconfirmed_ranks() const;
    /// True when a switch can begin: no switch is in progress, and recent statuses of all ranks
    /// show that they are open, neither armed nor held, and have the same map.
    bool is_at_rest(timestamp now) const;
    /// The map version of the group. Valid only while at rest.
    map_version version() const;
    std::int64_t epoch() const { return m_epoch; }
    /// How many times slower than its normal speed each rank runs, by rank; at least 1.
    rank_slowdowns slowdowns() const;
    /// The mean duration of recent passes in milliseconds.
    double pass_ms() const { return m_pass_ms; }
    /// The rank whose status was handled last. When a phase ends with a status, this is the rank
    /// that the phase waited for.
    rank_number last_reporting_rank() const { return m_last_reporting_rank; }
    /// The number of ranks with a valid status.
    std::size_t known_ranks(timestamp now) const;
    /// Ranks without a status for longer than `silence`.
    std::vector<rank_number> silent_ranks(timestamp now, milliseconds silence) const;

private:
    struct known_rank
    {
        rank_status status;
        timestamp heard_at;
    };

    bool has_recent_status_of_all(timestamp now) const;
    template <class F>
    bool all_ranks(timestamp now, F&& holds) const;
    bool has_current_directive(const rank_status& s) const;
    void enter(switch_phase phase, timestamp now);
    void enter_rest(timestamp now);
    void recover_interrupted_switch(timestamp now);
    void tick_prepare(timestamp now);
    void tick_hold(timestamp now);
    bool outlives_switch(timestamp now) const;
    void request_hold(timestamp now);
    pass_number initial_lead_passes() const;
    void update_pass_time(pass_number pass, timestamp now);
    void update_arming_time(timestamp now);
    void tick_fence_holder(timestamp now);
    void tick_release(timestamp now);

    switch_options m_options;
    directive m_directive;
    std::map<rank_number, known_rank> m_ranks;
    rank_number m_last_reporting_rank = 0;
    std::int64_t m_epoch = 0;
    map_version m_highest_version = 0;
    timestamp m_phase_began;
    timestamp m_lease_ends_at = timestamp::max();
    /// The number of passes by which the current hold is ahead, and when the hold was requested.
    pass_number m_lead_passes = 0;
    timestamp m_hold_requested_at;
    double m_arming_ms;
    double m_pass_ms;
    pass_number m_latest_pass = 0;
    timestamp m_latest_pass_at;
};

} // namespace kumquatgap::experts
