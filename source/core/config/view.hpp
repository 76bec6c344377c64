#pragma once

#include "common/clock.hpp"
#include "config/replica.hpp"
#include "config/resource.hpp"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::config
{

/// A team of callers, which belongs to a member.
struct team
{
    std::string name;
    std::string member;
};

/// The method and path prefix of at-most-once calls.
struct once_only_rule
{
    std::string method;
    std::string path;
};

/// A service that callers can call.
struct service
{
    std::string name;
    /// The model's name; empty for a plain service.
    std::string model;
    /// The path prefix of a plain service.
    std::string path;
    std::vector<once_only_rule> once_only;
    common::milliseconds deadline{120'000};
    /// True when the engine's response carries the id of the request.
    bool echoes_request_id = false;

    bool is_model() const { return !model.empty(); }
    /// True when a call must run at most once.
    bool is_once_only(std::string_view method, std::string_view call_path) const;
};

/// A server that runs a service's calls.
struct target
{
    std::string name;
    std::string service;
    std::string host;
    std::string data_centre;
    std::string agent_address;
    std::int64_t slots = 1;
    /// True when the target's host is in the state `leaving` in the platform's list of hosts.
    bool leaving = false;
};

/// A host in the platform's list of hosts, which is eventually consistent.
struct host
{
    std::string name;
    std::string data_centre;
    std::string control_address;
    bool leaving = false;
};

/// A team's priority for a service between two times of day.
struct priority_rule
{
    std::string team;
    std::string service;
    std::int64_t level = 0;
    /// Minutes after midnight; equal times mean the whole day, and the range may span midnight.
    int from_minute = 0;
    int to_minute = 0;
};

/// The priority of calls without a rule in effect.
inline constexpr std::int64_t default_priority_level = 5;

/// The resources of one revision, parsed and indexed.
class view
{
public:
    view() = default;
    explicit view(const replica& source);

    /// The team whose token has this SHA-256 hash; nullptr when there is none.
    const team* find_team(const std::string& token_sha256) const;
    const service* find_service(const std::string& name) const;
    const service* service_of_model(const std::string& model) const;
    /// The plain service with the longest path prefix that matches.
    const service* service_of_path(std::string_view path) const;
    /// A service's targets, sorted by name.
    const std::vector<target>& targets_of(const std::string& service) const;
    const target* find_target(const std::string& name) const;
    /// A team's guaranteed share of a service in percent; 0 when none is configured.
    std::int64_t share_percent(const std::string& team, const std::string& service) const;
    /// All guaranteed shares of a service, by team, in percent.
    std::map<std::string, std::int64_t> shares_of(const std::string& service) const;
    /// A team's priority for a service at a minute of the day; lower is more urgent.
    std::int64_t priority_level(const std::string& team, const std::string& service,
                                int minute_of_day) const;
    const std::map<std::string, host>& hosts() const { return m_hosts; }

private:
    void add(const resource& r);
    void add_host(const key_value& kv);

    std::map<std::string, team> m_teams_by_token;
    std::map<std::string, service> m_services;
    std::map<std::string, std::string> m_service_by_model;
    std::map<std::string, std::vector<target>> m_targets;
    std::map<std::pair<std::string, std::string>, std::int64_t> m_shares;
    std::vector<priority_rule> m_priorities;
    std::map<std::string, host> m_hosts;
};

} // namespace kumquatgap::config
