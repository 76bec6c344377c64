#pragma once

#include "common/clock.hpp"
#include "kv/store.hpp"

#include <string>

namespace kumquatgap::rank_agent
{

/// Tells the gateways through the store that a rank is slow. The key stands under a lease, so that
/// it goes with the agent; a rank at its usual pace has none.
class pace_notice
{
public:
    pace_notice(kv::store& store, const std::string& target);

    /// Writes, renews or deletes the key where that is due.
    void update(double pace, common::timestamp now);

private:
    void write(double pace);
    void renew();
    void remove();

    kv::store& m_store;
    std::string m_key;
    kv::lease_id m_lease = 0;
    /// What the key says; 1 while there is none.
    double m_told = 1;
    common::timestamp m_asked_at;
    bool m_is_asking = false;
};

} // namespace kumquatgap::rank_agent
