#pragma once

#include "common/metrics.hpp"
#include "gateway/entry_change.hpp"
#include "kv/store.hpp"
#include "policy/crash_attribution.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace kumquatgap::gateway
{

using common::timestamp;

/// What a quarantine keeps away from targets.
enum class quarantine_kind : std::uint8_t
{
    /// All requests whose prompts contain a part.
    prompt_part,
    /// One request, whenever its caller sends it again.
    request
};

/// Finds what crashes targets, logs the conclusions and keeps them in the store, so that a gateway
/// that starts later knows them. A key of the store is written under a lease and ends with the
/// quarantine; an operator ends a quarantine by removing the key. Its value is for operators only.
class quarantine
{
public:
    quarantine(quarantine_kind kind, kv::store& store, std::string gateway);

    /// The keys of the store that this quarantine follows, as PREFIX and what is quarantined.
    static std::string_view prefix_of(quarantine_kind kind);

    policy::crash_attribution& attribution() { return m_attribution; }
    const policy::crash_attribution& attribution() const { return m_attribution; }
    /// A key with the prefix has changed.
    void handle_entry(const std::string& item, entry_change what, timestamp now);
    /// Draws conclusions; `draw`, a random number in [0, 1), spreads the writes of the gateways.
    /// `broadcast_interval` is the time between two broadcasts of a gateway.
    void tick(timestamp now, double draw, common::milliseconds broadcast_interval);
    void write_metrics(common::metrics& m) const;

private:
    void save(const std::string& item);
    void write_entry(const std::string& item, kv::lease lease);
    void remove_entry(const std::string& item);
    std::string key_of(const std::string& item) const;

    quarantine_kind m_kind;
    kv::store& m_store;
    std::string m_gateway;
    policy::crash_attribution m_attribution;
    /// What the store does not have yet, and when it is written next.
    std::map<std::string, timestamp> m_unsaved;
};

} // namespace kumquatgap::gateway
