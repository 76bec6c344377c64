#include "experts/group_view.hpp"

namespace kumquatgap::experts
{

bool group_view::handle(const beacon_message& m, timestamp now)
{
    if (!m_group.empty() && m.group != m_group)
        return false;
    if (m.token < m_token)
        return false;
    m_group = m.group;
    m_token = m.token;
    m_leader = m.leader;
    m_stored_leader.clear();
    m_tree = m.tree;
    if (!m.addresses.empty())
        m_addresses = m.addresses;
    m_last_beacon_at = now;
    return true;
}

void group_view::set_stored_leader(const std::string& address)
{
    m_leader.clear();
    m_stored_leader = address;
}

void group_view::clear_leader()
{
    m_leader.clear();
    m_stored_leader.clear();
    m_last_beacon_at = {};
}

std::string group_view::counts_destination(rank_number own) const
{
    const auto relay = m_tree.relay_of(own);
    if (relay == own)
        return leader();
    const auto i = static_cast<std::size_t>(relay);
    return relay == relay_tree::no_rank || i >= m_addresses.size() ? std::string{} : m_addresses[i];
}

std::vector<std::string> group_view::block_addresses(rank_number own) const
{
    std::vector<std::string> out;
    for (const auto it : m_tree.ranks_of(m_tree.block_of(own)))
    {
        const auto i = static_cast<std::size_t>(it);
        if (it != own && i < m_addresses.size() && !m_addresses[i].empty())
            out.push_back(m_addresses[i]);
    }
    return out;
}

bool group_view::is_leader_silent(timestamp now, double jitter) const
{
    const milliseconds own_jitter{
        static_cast<std::int64_t>(static_cast<double>(query_jitter.count()) * jitter)};
    return now - m_last_beacon_at > beacon_timeout + own_jitter;
}

} // namespace kumquatgap::experts
