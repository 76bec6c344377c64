#pragma once

#include "experts/group_view.hpp"
#include "io/event_loop.hpp"
#include "kv/store.hpp"

#include <optional>
#include <string>

namespace kumquatgap::rank_agent
{

/// Who controls the group, by a key of the store under a lease. The key's revision is the fencing
/// token. While this process leads it renews the lease, and it stops leading before the lease can
/// have ended: by the steady clock, or when the machine has slept. While another one leads, the
/// store is asked only when that one's beacons have ended.
class leadership
{
public:
    leadership(io::event_loop& loop, kv::store& store, std::string key, std::string address,
               experts::group_view& view);

    void start();
    /// Stops leading and asks the store for nothing more. The object must live on, since an answer
    /// may be under way.
    void stop();
    /// Stops leading; the lease runs out by itself, and the next one has a higher token.
    void give_up() { lost("given up"); }
    /// The token while this process surely leads.
    std::optional<experts::fencing_token> token(common::timestamp now) const;

private:
    void step();
    void look();
    void leader_read(const std::optional<kv::key_value>& it);
    /// Takes the lead if the key still has this revision; 0: if there is none.
    void campaign(kv::revision replaced);
    void write_key(kv::lease_id lease, common::timestamp asked_at, kv::revision replaced);
    void renew();
    void lost(std::string_view why);

    io::event_loop& m_loop;
    kv::store& m_store;
    std::string m_key;
    std::string m_address;
    experts::group_view& m_view;
    /// From 0 to below 1, other for each agent: who asks the store when.
    double m_spread;
    kv::lease_id m_lease = 0;
    experts::fencing_token m_token = 0;
    /// The lease surely runs until then; it counts from when it was asked for.
    common::timestamp m_valid_until;
    std::int64_t m_boot_offset_ms = 0;
    bool m_is_asking = false;
    /// The last answer may have been old, and nothing was heard of a leader since.
    bool m_doubts_old_reads = false;
    io::timer_handle m_timer;
};

} // namespace kumquatgap::rank_agent
