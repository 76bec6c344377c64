#pragma once

#include "experts/agent_message.hpp"

#include <string>
#include <vector>

namespace kumquatgap::experts
{

/// What an agent knows of its group's controller and of the other agents, from the controller's
/// beacons. If every agent queried the store for the controller, the load on the store would grow
/// with the fleet. Agents therefore query it only when beacons stop, and only a few at the same
/// time.
class group_view
{
public:
    /// Allows for two lost beacons; the lease of a failed controller expires a little later.
    static constexpr milliseconds beacon_timeout{1500};
    /// After the beacon timeout, agents query the store at times distributed over this period.
    static constexpr milliseconds query_jitter{1000};

    /// Applies a beacon; returns false if it is from another group or from a controller that has
    /// been replaced.
    bool handle(const beacon_message& m, timestamp now);
    /// Sets the controller's address as read from the store.
    void set_stored_leader(const std::string& address);
    /// Clears the controller, for example after its lease has expired, so that the store is queried
    /// for the next one.
    void clear_leader();

    /// Control address of the controller; empty if unknown.
    const std::string& leader() const { return m_leader.empty() ? m_stored_leader : m_leader; }
    /// Where a rank sends its selection counts: to its relay, or to the controller if the rank is a
    /// relay itself. Empty if unknown.
    std::string counts_destination(rank_number own) const;
    /// Where a relay forwards the controller's beacons to: the known addresses of the other agents
    /// in its block.
    std::vector<std::string> block_addresses(rank_number own) const;
    const relay_tree& tree() const { return m_tree; }
    const std::vector<std::string>& addresses() const { return m_addresses; }
    /// Returns true if no beacon has arrived for so long that this agent must query the store.
    /// `jitter`, from 0 to below 1, differs between agents.
    bool is_leader_silent(timestamp now, double jitter) const;

private:
    std::string m_group;
    fencing_token m_token = 0;
    std::string m_leader;
    std::string m_stored_leader;
    relay_tree m_tree;
    /// By rank; empty if unknown.
    std::vector<std::string> m_addresses;
    timestamp m_last_beacon_at;
};

} // namespace kumquatgap::experts
