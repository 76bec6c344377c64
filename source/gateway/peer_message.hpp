#pragma once

#include "common/clock.hpp"
#include "fleet/target_notices.hpp"
#include "policy/crash_attribution.hpp"
#include "policy/retry_report.hpp"
#include "policy/shared_rate_limiter.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::gateway
{

using loads = std::map<std::string, double>;

/// The state that one gateway sends to the others.
struct peer_state
{
    /// Load by target id.
    loads work;
    fleet::draining_targets draining;
    /// About parts of prompts.
    policy::crash_evidence crashes;
    fleet::rate_limits limits;
    policy::recent_sends sends;
    /// About whole requests.
    policy::crash_evidence request_crashes = {};
    /// None while no gateway needs it.
    std::optional<policy::retry_report> retries = std::nullopt;
    fleet::cold_notices cold = {};

    bool operator==(const peer_state&) const = default;
    bool empty() const
    {
        return work.empty() && draining.empty() && crashes.empty() && request_crashes.empty() &&
               limits.empty() && sends.empty() && !retries && cold.empty();
    }
};

/// A message with the name of the gateway that sent it.
struct peer_message
{
    std::string sender;
    peer_state state;
};

/// Encodes a message in CBOR. Times are sent as ages, since clocks differ between hosts. Fields
/// that earlier releases do not know are left out when they are empty.
std::string to_bytes(const peer_message& it, const std::string& token, common::timestamp now);
/// Decodes a message; none when it is malformed or has another token. Fields that are missing, as
/// in messages of earlier releases, are empty.
std::optional<peer_message> read_peer_message(std::string_view bytes, const std::string& token,
                                              common::timestamp now);

} // namespace kumquatgap::gateway
