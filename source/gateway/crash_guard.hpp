#pragma once

#include "common/metrics.hpp"
#include "common/result_code.hpp"
#include "fleet/evacuations.hpp"
#include "fleet/target_table.hpp"
#include "gateway/protocol_adapter.hpp"
#include "gateway/quarantine.hpp"
#include "io/http_client.hpp"
#include "kv/store.hpp"
#include "policy/crash_attribution.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::gateway
{

/// What the crash guard recognises a call by.
struct call_marks
{
    /// Keys of the parts of the prompt that other calls may have too: all but the last one.
    std::vector<std::string> parts;
    /// The key of the request as a whole, which is the same when its caller sends it again.
    std::vector<std::string> request;
};

/// What is known when the connection to a target was lost before the first event of a call.
struct lost_call
{
    const fleet::target& target;
    std::string health_path;
    const call_marks& marks;
    std::string_view id;
    bool has_head = false;
    /// A crash of the target takes a whole group of targets down.
    bool is_group = false;
};

/// The evidence about crashes that a message to the other gateways contains.
struct broadcast_evidence
{
    policy::crash_evidence parts;
    policy::crash_evidence requests;
};

/// Keeps prompts and requests that crash targets away from them: names targets, parts and requests
/// for the crash attribution, probes targets, and quarantines what the attribution finds.
class crash_guard
{
public:
    crash_guard(kv::store& store, io::http_client& client, const protocol_adapter& adapter,
                const fleet::evacuations& evacuated, std::string gateway);

    using probe_handler =
        std::function<void(const fleet::target&, const target_response&, timestamp sent_at)>;

    /// A probe is sent once `may_send` has accepted it; `on_response` gets the head of its
    /// response.
    void on_probe(std::function<bool(const fleet::target&)> may_send, probe_handler on_response)
    {
        m_may_probe = std::move(may_send);
        m_on_probe_response = std::move(on_response);
    }
    /// The marks of a call of `caller`; `prompt_parts` is empty if it has no prompt.
    static call_marks marks_of(std::string_view service, std::string_view caller,
                               const io::http_request& request,
                               const std::vector<std::string>& prompt_parts);

    /// The connection to a target was lost before the first event of a call. The target is probed
    /// at its health path if it had begun to answer, or once calls are held because of the loss:
    /// without other calls nothing would show for seconds whether it is gone.
    void record_lost(const lost_call& it, timestamp now);
    void record_gone(const fleet::target& it, timestamp now);
    /// A stream has got its first event, after these times, or the response of a call is complete.
    void record_served(const call_marks& marks, common::milliseconds to_head,
                       common::milliseconds to_event, timestamp now);
    /// Adds the evidence of another gateway.
    void merge(const broadcast_evidence& it, timestamp now);

    policy::part_verdict judge(const call_marks& marks) const;
    /// Whether gateway number `index` of `gateways` may send a suspect call now.
    bool is_own_turn(const call_marks& marks, std::size_t index, std::size_t gateways,
                     timestamp now) const;
    /// The call is sent to a target.
    void record_sent(const call_marks& marks, timestamp now);
    /// The refusal of a quarantined call, with the time until its quarantine ends.
    common::failure refusal(const call_marks& marks, timestamp now) const;

    /// The store has a key of this kind, or no longer.
    void handle_entry(quarantine_kind kind, const std::string& item, entry_change what,
                      timestamp now);
    /// Draws conclusions; see quarantine::tick().
    void tick(const fleet::target_table& targets, timestamp now, double draw,
              common::milliseconds broadcast_interval);
    /// The evidence for the next broadcast: new evidence at once, and all of it again from time to
    /// time, since messages get lost.
    broadcast_evidence to_broadcast(timestamp now);
    void write_metrics(common::metrics& m) const;

private:
    /// A target of a recent crash.
    struct lost_target
    {
        fleet::target target;
        std::string health_path;
        bool is_probed = false;
        /// To be probed as soon as that is accepted.
        bool is_probe_due = false;
    };

    void probe(lost_target& it);
    void probe_unconfirmed();
    void probe_due();
    std::vector<std::string> unconfirmed() const;
    void handle_probe(const std::string& key, io::call_outcome how,
                      const io::http_response& response);
    void confirm_replaced(const fleet::target_table& targets, timestamp now);
    void record_gone(const std::string& key, timestamp now);

    struct open_probe
    {
        io::call_handle call;
        timestamp sent_at;
        bool has_ended = false;
    };

    io::http_client& m_client;
    const protocol_adapter& m_adapter;
    /// No probe is sent to these data centres.
    const fleet::evacuations& m_evacuated;
    quarantine m_parts;
    quarantine m_requests;
    /// By their keys in the attribution.
    std::map<std::string, lost_target> m_lost;
    /// By the same keys.
    std::map<std::string, open_probe> m_probes;
    std::function<bool(const fleet::target&)> m_may_probe;
    probe_handler m_on_probe_response;
    std::uint64_t m_broadcast_version = 0;
    timestamp m_broadcast_at;
};

} // namespace kumquatgap::gateway
