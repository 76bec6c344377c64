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

/// What is planned, and when.
struct controller_options
{
    /// In a switch agents report every few ten ms; one that is silent for this long is replaced.
    milliseconds agent_silence{250};
    /// A plan is made at most this often.
    milliseconds plan_period{150};
    /// A switch must bring the skew down by this much.
    double least_gain = 0.12;
    /// Choices by expert, on average, that must be known before a plan is made.
    double least_choices_per_expert = 20;
    /// Copies of one rank in one switch. Plans of more take too much of an agent's processor.
    std::size_t most_copies_per_rank = 24;
    /// The time of a copy where the operators publish none.
    double copy_ms_if_unknown = 100;
    /// What the host's link carries.
    experts::link_budget link;
    /// The control address of the controller's own agent.
    std::string address;
};

/// The controller of one group while its agent holds the lease: adds up what the ranks chose,
/// plans maps, and switches to them. It passes over what ranks of other groups say, whose numbers
/// are the same: an agent that was moved may still tell the controller that it had.
class group_controller
{
public:
    group_controller(std::string group, experts::fencing_token token, controller_options options);

    void set_engine(const fleet::engine_profile& it) { m_engine = it; }
    bool has_engine() const { return m_engine.has_value(); }
    void take(const experts::status_message& m, timestamp now);
    void take(const experts::held_message& m);
    void take(const experts::choices_message& m, timestamp now);
    /// Agents of which nothing was heard yet, as an earlier controller named them.
    void set_earlier_addresses(std::vector<std::string> it) { m_earlier_addresses = std::move(it); }
    /// Moves the switch on, and plans a new one when that pays.
    void tick(timestamp now);

    /// True when the lease's fences or versions are used up, so that a new lease is needed.
    bool is_used_up() const
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
    /// A directive and where the agent is that is to have it.
    struct told_agent
    {
        std::string address;
        experts::directive_message what;
    };
    /// The agents that are to be told now; those that confirm nothing are told again.
    std::vector<told_agent> agents_to_tell(timestamp now);
    /// A beacon and where it goes.
    struct told_beacon
    {
        std::string address;
        experts::beacon_message what;
    };
    /// The beacons that are due now: one for each relay, which passes it on to its block, and one
    /// for each rank of a block without a relay.
    std::vector<told_beacon> beacons(timestamp now);
    /// How uneven the map in force was at the last plan, in thousandths.
    std::int64_t skew_thousandths() const { return m_skew_thousandths; }
    /// Where a rank itself is; empty while that is not known.
    std::string target_of(experts::rank_number rank) const;
    /// Ranks whose agents are silent while the group may be held.
    std::vector<experts::rank_number> abandoned_ranks(timestamp now) const;
    /// A rank's state, from its agent or from afar.
    void take(const experts::rank_status& s, timestamp now);

private:
    std::shared_ptr<const experts::expert_map> current_map();
    std::string address_of(experts::rank_number rank) const;
    bool knows_base(experts::rank_number rank) const;
    std::size_t directive_bytes(const std::vector<experts::rank_number>& ranks) const;
    experts::relay_tree tree(timestamp now) const;
    void plan(timestamp now);
    bool knows_enough() const;
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
    /// Ranks of the group.
    std::size_t m_size = 0;
    std::vector<std::string> m_earlier_addresses;
    std::map<experts::rank_number, experts::held_message> m_held;
    /// The versions that agents know whole.
    std::map<experts::rank_number, experts::map_version> m_known_maps;
    /// Those that were proposed, and those that the ranks told piece by piece.
    experts::map_archive m_maps;
    /// How the map that was proposed last differs from the one in force.
    std::optional<experts::map_changes> m_changes;
    timestamp m_beacon_at;
    std::int64_t m_skew_thousandths = 0;
    timestamp m_planned_at;
    /// The changes of demand that the last plan knew of.
    int m_planned_changes = 0;
    timestamp m_phase_began;
    experts::switch_phase m_logged_phase = experts::switch_phase::rest;
    std::int64_t m_epoch = 0;
};

} // namespace kumquatgap::rank_agent
