#pragma once

#include "experts/group_view.hpp"
#include "io/event_loop.hpp"
#include "kv/store.hpp"

#include <optional>
#include <string>

namespace kumquatgap::rank_agent
{

/// Leader election of a group, through a key in the store with a lease. The fencing token is made
/// of the key's position. The leader renews the lease and stops leading before the lease can have
/// expired, by the steady clock or because the machine was suspended. While another process leads,
/// the store is queried only after that process's beacons have stopped.
///
/// A store that is restored from a copy loses the lease while its holder still leads. The holder
/// campaigns again at once; the others wait until any lease of the former era has expired.
class leadership
{
public:
    leadership(io::event_loop& loop, kv::store& store, std::string key, std::string address,
               experts::group_view& view);

    void start();
    /// Stops leading and sends no more requests to the store. The object must not be destroyed,
    /// since a response may be pending.
    void stop();
    /// Stops leading; the lease is left to expire, and the next one has a higher token.
    void resign() { step_down("resigned"); }
    /// Returns the fencing token while this process is certain to lead.
    std::optional<experts::fencing_token> token(common::timestamp now) const;
    /// Until when the lease is certain to be valid if it is not renewed.
    common::timestamp valid_until() const { return m_valid_until; }

private:
    void step();
    void read_leader();
    void on_leader_read(const std::optional<kv::key_value>& it);
    /// Takes over leadership if the key still has this revision, or does not exist if it is 0.
    void campaign(kv::revision expected);
    void write_key(kv::lease lease, common::timestamp requested_at, kv::transaction it);
    bool has_lost_lease_to_restore() const;
    bool may_former_leader_be_active(common::timestamp now) const;
    void renew();
    void step_down(std::string_view reason);

    io::event_loop& m_loop;
    kv::store& m_store;
    std::string m_key;
    std::string m_address;
    experts::group_view& m_view;
    /// From 0 to below 1, different for each agent, so that agents query the store at different
    /// times.
    double m_jitter;
    kv::lease m_lease;
    experts::fencing_token m_token = 0;
    /// The lease is certain to be valid until then; counted from the time of the request.
    common::timestamp m_valid_until;
    std::int64_t m_boot_offset_ms = 0;
    bool m_is_request_pending = false;
    /// The last result may have been stale, and no beacon has arrived since.
    bool m_needs_fresh_read = false;
    io::timer_handle m_timer;
};

} // namespace kumquatgap::rank_agent
