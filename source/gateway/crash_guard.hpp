#pragma once

#include "common/metrics.hpp"
#include "fleet/target_table.hpp"
#include "gateway/entry_change.hpp"
#include "gateway/protocol_adapter.hpp"
#include "io/http_client.hpp"
#include "kv/store.hpp"
#include "policy/crash_attribution.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquatgap::gateway
{

using common::timestamp;

/// Store keys with this prefix name the quarantined parts of prompts, as `SERVICE/PART`. The value
/// is for operators only. A key is written under a lease and ends with the quarantine; an operator
/// ends a quarantine by removing the key.
inline constexpr std::string_view quarantine_prefix = "kqg/quarantine/";

/// Keeps prompts that crash targets away from them: names targets and parts for the crash
/// attribution, and logs and stores what it concludes, so that a gateway that starts later knows
/// it.
class crash_guard
{
public:
    crash_guard(kv::store& store, io::http_client& client, const protocol_adapter& adapter,
                std::string gateway);

    /// The keys of the parts that a call shares with others: all but the last one.
    static std::vector<std::string> shared_parts(std::string_view service,
                                                 const std::vector<std::string>& prompt_parts);

    /// The connection to a target was lost before the first event of a request. When the target had
    /// begun to answer, it is probed at its health path, since without other calls nothing would
    /// show for seconds whether it is gone.
    void record_lost(const fleet::target& it, const std::string& health_path,
                     const std::vector<std::string>& parts, bool has_head, std::string_view request,
                     timestamp now);
    void record_gone(const fleet::target& it, timestamp now);
    policy::crash_attribution& attribution() { return m_attribution; }
    const policy::crash_attribution& attribution() const { return m_attribution; }
    /// The store has a key with the prefix, or no longer.
    void handle_entry(const std::string& part, entry_change what, timestamp now);
    /// Draws conclusions; `draw`, a random number in [0, 1), spreads the writes of the gateways.
    /// `broadcast_interval` is the time between two broadcasts of a gateway.
    void tick(const fleet::target_table& targets, timestamp now, double draw,
              common::milliseconds broadcast_interval);
    /// The evidence that a message to the other gateways contains: new evidence at once, and all of
    /// it again from time to time, since messages get lost.
    policy::crash_evidence to_broadcast(timestamp now);
    void write_metrics(common::metrics& m) const;

private:
    void probe(const fleet::target& it, const std::string& health_path);
    void handle_probe(const std::string& key, io::call_outcome how,
                      const io::http_response& response);
    void confirm_replaced(const fleet::target_table& targets, timestamp now);
    void save(const std::string& part);
    void write_entry(const std::string& part, kv::lease lease);
    void remove_entry(const std::string& part);

    struct open_probe
    {
        io::call_handle call;
        bool has_ended = false;
    };

    kv::store& m_store;
    io::http_client& m_client;
    const protocol_adapter& m_adapter;
    std::string m_gateway;
    policy::crash_attribution m_attribution;
    /// Id and start of the targets of recent crashes, by their keys in the attribution.
    std::map<std::string, std::pair<std::string, std::int64_t>> m_lost;
    /// By the same keys.
    std::map<std::string, open_probe> m_probes;
    /// Parts that the store does not have yet, and when they are written next.
    std::map<std::string, timestamp> m_unsaved;
    std::uint64_t m_broadcast_version = 0;
    timestamp m_broadcast_at;
};

} // namespace kumquatgap::gateway
