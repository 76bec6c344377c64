#pragma once

#include "experts/agent_message.hpp"
#include "experts/directive_pacer.hpp"
#include "experts/map_planner.hpp"
#include "experts/popularity.hpp"
#include "experts/relay_tree.hpp"
#include "experts/switch_controller.hpp"
#include "experts/switch_meter.hpp"
#include "fleet/configuration.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatgap::rank_agent
{

using common::milliseconds;
using common::timestamp;

/// Planning limits and timeouts of a controller.
struct controller_options
{
    /// During a switch, agents report every few tens of milliseconds. The rank of an agent that is
    /// silent for this long is driven by the controller's host.
    milliseconds agent_timeout{250};
    /// Minimum interval between plans.
    milliseconds min_plan_interval{150};
    /// Minimum reduction of the skew by a switch.
    double min_skew_reduction = 0.12;
    /// Selections per expert, on average, that must have been counted before a plan is made.
    double min_selections_per_expert = 20;
    /// Maximum number of experts that one rank copies in one switch. Plans with more copies take
    /// too much of an agent's processor time.
    std::size_t max_copies_per_rank = 24;
    /// Time to copy one expert in milliseconds if the operators publish none.
    double default_copy_ms = 100;
    /// Capacity of the host's link.
    experts::link_budget link;
    /// Control address of the controller's own agent.
    std::string address;
};

/// Controls one group while its agent holds the lease: sums the selection counts of the ranks,
/// plans maps and switches to them. Ignores messages from ranks of other groups, which have the
/// same rank numbers: an agent that was moved may still send to its previous controller.
class group_controller
{
public:
    group_controller(std::string group, experts::fencing_token token, controller_options options);

    void set_engine(const fleet::engine_profile& it) { m_engine = it; }
    bool has_engine() const { return m_engine.has_value(); }
    void handle(const experts::status_message& m, timestamp now);
    void handle(const experts::rank_experts_message& m);
    void handle(const experts::selection_counts_message& m, timestamp now);
    /// Sets the agents' addresses as an earlier controller listed them, for agents that have not
    /// sent a status yet.
    void set_previous_addresses(std::vector<std::string> it)
    {
        m_previous_addresses = std::move(it);
    }
    /// Sets until when this agent is certain to lead; a switch is not begun shortly before.
    void set_lease_end(timestamp at) { m_switch.set_lease_end(at); }
    /// True when the group is neither held nor armed on behalf of this controller, so that it may
    /// stop.
    bool may_stop(timestamp now) const
    {
        return m_switch.is_at_rest(now) || current().phase == experts::switch_phase::prepare;
    }
    /// Advances the switch, and plans a new one if it is worth its cost.
    void tick(timestamp now);

    /// Returns true if the fences or versions of the lease are exhausted, so that a new lease is
    /// needed.
    bool is_lease_exhausted() const
    {
        return current().number >= experts::directives_per_lease ||
               current().version >= (token() + 1) * experts::versions_per_lease;
    }
    bool is_at_rest(timestamp now) const { return m_switch.is_at_rest(now); }
    experts::fencing_token token() const { return m_switch.current().token; }
    const experts::directive& current() const { return m_switch.current(); }
    experts::directive directive_for(experts::rank_number rank) const
    {
        return m_switch.directive_for(rank);
    }
    /// A directive message and the address to send it to.
    struct addressed_directive
    {
        std::string address;
        experts::directive_message message;
    };
    /// Returns the directives to send now; those that are not confirmed are sent again.
    std::vector<addressed_directive> take_due_directives(timestamp now);
    /// A beacon and the address to send it to.
    struct addressed_beacon
    {
        std::string address;
        experts::beacon_message message;
    };
    /// Returns the beacons that are due now: one for each relay, which forwards it to its block,
    /// and one for each rank of a block without a relay.
    std::vector<addressed_beacon> take_due_beacons(timestamp now);
    /// Skew of the map in effect at the last plan, in thousandths.
    std::int64_t skew_thousandths() const { return m_skew_thousandths; }
    /// Address of a rank; empty if unknown.
    std::string target_of(experts::rank_number rank) const;
    /// Ranks whose agents are silent while the group may be held.
    std::vector<experts::rank_number> ranks_to_take_over(timestamp now) const;
    /// Applies a rank's status, whether from its agent or read remotely.
    void handle(const experts::rank_status& s, timestamp now);

private:
    std::shared_ptr<const experts::expert_map> current_map();
    std::string address_of(experts::rank_number rank) const;
    bool has_base_map(experts::rank_number rank) const;
    std::size_t directive_bytes(const std::vector<experts::rank_number>& ranks) const;
    experts::relay_tree current_tree(timestamp now) const;
    void plan(timestamp now);
    bool has_enough_counts() const;
    bool is_plan_due(timestamp now) const;
    void begin_switch(experts::planned_switch next, const experts::expert_map& from, timestamp now);
    double copy_ms() const;
    void log_phase(timestamp now);

    std::string m_group;
    controller_options m_options;
    experts::switch_controller m_switch;
    experts::directive_pacer m_pacer;
    experts::popularity m_popularity;
    experts::switch_meter m_meter;
    std::optional<fleet::engine_profile> m_engine;
    std::map<experts::rank_number, std::string> m_addresses;
    std::map<experts::rank_number, std::string> m_targets;
    /// Number of ranks in the group.
    std::size_t m_size = 0;
    std::vector<std::string> m_previous_addresses;
    std::map<experts::rank_number, experts::rank_experts_message> m_rank_experts;
    /// The map version that each agent has completely.
    std::map<experts::rank_number, experts::map_version> m_known_map_versions;
    /// Maps that were proposed, and maps assembled from the experts that the ranks sent.
    experts::map_cache m_map_cache;
    /// The delta from the map in effect to the map that was proposed last.
    std::optional<experts::map_delta> m_delta;
    timestamp m_last_beacon_at;
    std::int64_t m_skew_thousandths = 0;
    timestamp m_planned_at;
    /// The number of demand changes at the last plan.
    int m_planned_demand_changes = 0;
    timestamp m_phase_started_at;
    experts::switch_phase m_logged_phase = experts::switch_phase::rest;
    std::int64_t m_epoch = 0;
};

} // namespace kumquatgap::rank_agent
