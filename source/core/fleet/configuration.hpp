#pragma once

#include "common/clock.hpp"

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

/// What may be done with a call whose outcome is not known.
enum class call_kind : std::uint8_t
{
    /// It may run any number of times.
    idempotent,
    /// It may run once.
    once,
    /// A stream of events that may run once.
    stream,
    /// A stream that another run may continue behind the last event that was delivered.
    resumable_stream
};

/// The name of a call kind, for logs and metrics.
std::string_view name_of(call_kind kind);

constexpr bool is_stream(call_kind kind)
{
    return kind == call_kind::stream || kind == call_kind::resumable_stream;
}

/// True when a call may be sent again although it may have run.
constexpr bool may_repeat(call_kind kind)
{
    return kind == call_kind::idempotent || kind == call_kind::resumable_stream;
}

/// A service that takes a share of a route's calls.
struct service_share
{
    std::string service;
    double weight = 1;
};

/// Which calls go where, and what their callers are promised.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    call_kind kind = call_kind::once;
    /// The longest that a caller is kept waiting.
    milliseconds timeout{0};
    /// An answer (a stream: its first event) within this time earns its full worth.
    milliseconds goal{0};
    /// The longest pause between two events that is still in time; 0 for none.
    milliseconds gap_goal{0};
    /// A caller leaves when it gets no event for this long, the first one included; 0 when it waits
    /// until the timeout.
    milliseconds patience{0};
    /// 0 is served first.
    int priority = 0;
    /// To how many targets one call may be sent.
    int max_attempts = 1;
    bool is_public = false;
    std::vector<service_share> shares;
};

/// What the operators publish of the model engines of a service.
struct engine_profile
{
    /// Streams that one engine writes at once.
    int slots = 1;
    /// Tokens that one engine's memory holds.
    double memory_tokens = 0;
    /// Token steps of one pass.
    int steps_per_pass = 1;
    double step_ms = 0;
    /// Each step takes this much longer for each stream that is written.
    double step_ms_per_stream = 0;
    /// And this much longer for each thousand tokens of context.
    double step_ms_per_thousand_context = 0;
    double prompt_tokens_per_s = 0;
    /// The most prompt tokens that one step reads.
    int prompt_tokens_per_step = 0;
    double usual_prompt_tokens = 0;
    double usual_answer_tokens = 0;
    /// How long a group takes to form again.
    milliseconds form_time{0};
    /// Sets of expert layers, experts of a set, and places of a set on one rank; 0 when the
    /// engines are no ranks of a group.
    int expert_sets = 0;
    int experts = 0;
    int places_per_rank = 0;
    /// Experts of a set that a rank can hold beyond its places while it copies a new map.
    int spare_places = 0;
    /// How long a rank takes to copy one expert, in milliseconds; 0 when that is not published.
    double expert_copy_ms = 0;
};

struct service
{
    std::string name;
    std::string health_path;
    /// Connections that one target takes from all routers.
    int max_connections = 0;
    std::optional<engine_profile> engine;
};

struct team
{
    std::string name;
    /// Goes before the route's priority.
    std::optional<int> priority;
};

/// What callers may send.
struct caller_limits
{
    std::size_t header_bytes = std::size_t{16} << 10;
    std::size_t body_bytes = std::size_t{4} << 20;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15'000};
};

/// Everything that the operators decide, as of one version.
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

    /// The route of that host whose prefix is the longest that begins the path; none when no
    /// prefix does. The host may carry a port.
    const route* find_route(std::string_view host, std::string_view path) const;
    /// The team that holds a key.
    const team* find_team(const std::string& key) const;
    std::size_t route_count() const { return m_routes.size(); }

private:
    /// By host, a blank and prefix.
    std::unordered_map<std::string, route> m_routes;
    std::unordered_map<std::string, team> m_teams_by_key;
};

/// The service that takes a call of a route; `draw` is a random number from 0 to below 1.
const std::string& pick_service(const route& it, double draw);

} // namespace kumquatgap::fleet
