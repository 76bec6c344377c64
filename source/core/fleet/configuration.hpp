#pragma once

#include "common/clock.hpp"
#include "fleet/regions.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquatgap::fleet
{

using common::milliseconds;

/// Whether a call may be retried when its outcome is not known.
enum class call_kind : std::uint8_t
{
    /// It may be executed any number of times.
    idempotent,
    /// It may be executed at most once.
    once,
    /// A stream of events that may be executed at most once.
    stream,
    /// A stream that another run may continue after the last event that was delivered.
    resumable_stream
};

/// The name of a call kind, for logs and metrics.
std::string_view name_of(call_kind kind);

constexpr bool is_stream(call_kind kind)
{
    return kind == call_kind::stream || kind == call_kind::resumable_stream;
}

/// True when a call may be sent again although it may have been executed.
constexpr bool is_safe_to_retry(call_kind kind)
{
    return kind == call_kind::idempotent || kind == call_kind::resumable_stream;
}

/// A service that receives a share of a route's calls.
struct service_share
{
    std::string service;
    double weight = 1;
};

/// Which calls go to which services, and the latency goals of these calls.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    call_kind kind = call_kind::once;
    /// The time after which a call fails.
    milliseconds timeout{0};
    /// A response (of a stream: its first event) within this time is in time and has its full
    /// value.
    milliseconds goal{0};
    /// The longest gap between two events of a stream that is still in time; 0 for no limit.
    milliseconds gap_goal{0};
    /// A caller disconnects when it gets no event for this long, the first one included; 0 when it
    /// waits until the timeout.
    milliseconds caller_event_timeout{0};
    /// 0 is served first.
    int priority = 0;
    /// The most attempts at one call that a target may have executed.
    int max_attempts = 1;
    bool is_public = false;
    std::vector<service_share> shares;
    /// The regions that may serve the route's calls.
    permitted_regions regions = {};
};

/// The figures that the operators publish for the model engines of a service.
struct engine_profile
{
    /// Streams that one engine generates at once.
    int slots = 1;
    /// Tokens that fit into the KV cache of one engine.
    double kv_cache_tokens = 0;
    /// Token steps per pass.
    int steps_per_pass = 1;
    double step_ms = 0;
    /// The time that each stream adds to a step.
    double step_ms_per_stream = 0;
    /// The time that each thousand tokens of a stream's context add to a step.
    double step_ms_per_thousand_context = 0;
    double prompt_tokens_per_s = 0;
    /// The most prompt tokens that are read in one step.
    int prompt_tokens_per_step = 0;
    double usual_prompt_tokens = 0;
    double usual_answer_tokens = 0;
    /// The time that a group takes to form again.
    milliseconds form_time{0};
    /// Sets of expert layers, experts per set, and expert slots per set on one rank; 0 when the
    /// engines are not the ranks of a group.
    int expert_sets = 0;
    int experts = 0;
    int expert_slots_per_rank = 0;
    /// Experts of a set that a rank can hold beyond its slots while it copies a new expert map.
    int spare_expert_slots = 0;
    /// The time that a rank takes to copy one expert, in milliseconds; 0 when it is not published.
    double expert_copy_ms = 0;
};

struct service
{
    std::string name;
    std::string health_path;
    /// Connections that one target accepts from all gateways.
    int max_connections = 0;
    /// Requests per second that a cold target can handle from all gateways together; 0 for no
    /// limit.
    double cold_per_second = 0;
    /// How long a target is cold after a start during traffic; 0 when it is not published.
    milliseconds cold_time{0};
    std::optional<engine_profile> engine;
};

struct team
{
    std::string name;
    /// Overrides the route's priority.
    std::optional<int> priority;
    /// The regions that may serve the team's calls; a call is also subject to those of its route.
    permitted_regions regions = {};
};

/// The limits on callers' requests.
struct caller_limits
{
    std::size_t header_bytes = std::size_t{16} << 10;
    std::size_t body_bytes = std::size_t{4} << 20;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15'000};
};

/// The operators' configuration at one version.
class configuration
{
public:
    std::int64_t version = 0;
    caller_limits limits;
    std::map<std::string, service> services;
    /// True when calls must carry a team's key.
    bool has_teams = false;

    void add(route it);
    void add_key(std::string key, const team& owner);

    /// The route of the host with the longest prefix that matches the path; none when no prefix
    /// matches. The host may include a port.
    const route* find_route(std::string_view host, std::string_view path) const;
    /// The team that a key belongs to.
    const team* find_team(const std::string& key) const;
    /// The path of a service's health check; empty when it has none.
    std::string health_path(const std::string& name) const;
    /// The service; none when the configuration does not have it.
    const service* find_service(const std::string& name) const;
    /// True when the targets of a service are the ranks of groups, which fail together.
    bool is_group(const std::string& name) const;
    std::size_t route_count() const { return m_routes.size(); }
    /// All routes, by host, a space and prefix.
    const std::unordered_map<std::string, route>& routes() const { return m_routes; }
    const std::unordered_map<std::string, team>& teams_by_key() const { return m_teams_by_key; }

private:
    /// By host, a space and prefix.
    std::unordered_map<std::string, route> m_routes;
    std::unordered_map<std::string, team> m_teams_by_key;
};

/// The service that receives a call of a route; `draw` is a random number in [0, 1).
const std::string& pick_service(const route& it, double draw);

} // namespace kumquatgap::fleet
