#pragma once

#include "common/clock.hpp"
#include "common/failure.hpp"
#include "io/event_loop.hpp"
#include "kv/store.hpp"
#include "membership/gossip_node.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::gateway
{

/// The control addresses of all gateways, from their entries in the store, each written under a
/// lease. Keeps this gateway's own entry written.
class gateway_registry
{
public:
    /// The keys of the entries are this prefix and the name of a gateway.
    static constexpr std::string_view prefix = "kqg/gateways/";

    /// Written without a lease by the first gateway that ever starts, so that a later one does not
    /// take entries that have expired for a sign that none has run.
    static constexpr std::string_view first_start_key = "kqg/first_start";

    /// `address` is empty for a gateway that the others can't reach, which is not registered.
    gateway_registry(io::event_loop& loop, kv::store& store, std::string name, std::string address);

    /// Writes the own entry, or renews its lease, now and periodically.
    void register_self();
    /// Takes the keys that the first read of the store has shown; true if no gateway has ever run.
    bool note_first_read(const std::vector<kv::key_value>& items);
    void handle_written(const std::string& name, const std::string& address);
    /// An entry was removed. `may_return` is true if that may have happened only because the store
    /// was away or was restored; the gateway is then kept for a time.
    void handle_removed(const std::string& name, bool may_return, common::timestamp now);
    /// Removes the gateways that have not written their entries again; true when there were any.
    bool prune(common::timestamp now);
    /// The other gateways.
    std::vector<membership::peer> peers() const;

private:
    void write_entry();
    void save_first_start();
    void handle_failure(const common::failure& why);

    io::event_loop& m_loop;
    kv::store& m_store;
    std::string m_name;
    std::string m_address;
    /// By name, this gateway included.
    std::map<std::string, std::string> m_addresses;
    std::map<std::string, common::timestamp> m_kept_until;
    kv::lease m_lease;
    bool m_is_first_start_unsaved = false;
    io::timer_handle m_timer;
};

} // namespace kumquatgap::gateway
