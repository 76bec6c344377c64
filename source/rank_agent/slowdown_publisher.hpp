#pragma once

#include "common/clock.hpp"
#include "kv/store.hpp"

#include <string>

namespace kumquatgap::rank_agent
{

/// Publishes in the store that a rank is slow, for the gateways. The key has a lease, so that it
/// disappears with the agent; a rank at normal speed has no key.
class slowdown_publisher
{
public:
    slowdown_publisher(kv::store& store, const std::string& target);

    /// Writes, renews or deletes the key if that is due.
    void update(double slowdown, common::timestamp now);

private:
    void write(double slowdown);
    void renew();
    void remove();

    kv::store& m_store;
    std::string m_key;
    kv::lease m_lease;
    /// The published value; 1 if there is no key.
    double m_published = 1;
    common::timestamp m_requested_at;
    bool m_is_request_pending = false;
};

} // namespace kumquatgap::rank_agent
