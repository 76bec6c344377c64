#pragma once

#include "experts/agent_message.hpp"

#include <string>
#include <vector>

namespace kumquatgap::experts
{

/// What an agent knows of its group's controller and of the other agents, by the controller's
/// beacons. Load pattern: a store that each agent of a large group asked for the controller would
/// be asked more often the larger the fleet is, so it is asked only in the controller's silence,
/// and by few at once.
class group_view
{
public:
    /// Two beacons may be lost; the lease of a controller that died ends a little later.
    static constexpr milliseconds longest_silence{1500};
    /// Agents ask the store spread over this long from then on.
    static constexpr milliseconds ask_spread{1000};

    /// Takes a beacon; false for one of another group or of a controller that has been followed by
    /// another.
    bool take(const beacon_message& m, timestamp now);
    /// The store has named a controller.
    void store_named(const std::string& address);
    /// Forgets the controller, as when its lease has ended; the store is asked for the next one.
    void forget_leader();

    /// The control address of the controller; empty while it is not known.
    const std::string& leader() const { return m_leader.empty() ? m_stored_leader : m_leader; }
    /// Where a rank sends its choices: to its relay, or to the controller if it is one itself.
    /// Empty while that is not known.
    std::string choices_address(rank_number own) const;
    /// Where a relay passes the controller's beacons on to.
    std::vector<std::string> block_addresses(rank_number own) const;
    const relay_tree& tree() const { return m_tree; }
    const std::vector<std::string>& addresses() const { return m_addresses; }
    /// True when the controller has been silent for so long that this agent is to ask the store.
    /// `spread` from 0 to below 1 is the agent's own.
    bool is_silent(timestamp now, double spread) const;

private:
    std::string m_group;
    fencing_token m_token = 0;
    std::string m_leader;
    std::string m_stored_leader;
    relay_tree m_tree;
    /// By rank; empty where it is not known.
    std::vector<std::string> m_addresses;
    timestamp m_heard_at;
};

} // namespace kumquatgap::experts
