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

/// A team: who calls, and for which member.
struct team
{
    std::string name;
    std::string member;
};

/// A method and path prefix whose calls must not repeat.
struct once_only_rule
{
    std::string method;
    std::string path;
};

/// What callers can call.
struct service
{
    std::string name;
    /// The model's name; empty for a plain service.
    std::string model;
    /// The path prefix of a plain service.
    std::string path;
    std::vector<once_only_rule> once_only;
    common::milliseconds deadline{120'000};
    /// True when the engine's answer carries the id that it was given with the request.
    bool echoes_request_id = false;

    bool is_model() const { return !model.empty(); }
    /// True when a call must not run twice.
    bool is_once_only(std::string_view method, std::string_view call_path) const;
};

/// Where a service's calls can go.
struct target
{
    std::string name;
    std::string service;
    std::string host;
    std::string data_centre;
    std::string agent_address;
    std::int64_t slots = 1;
    /// True when the platform's list says that the target's host is leaving.
    bool leaving = false;
};

/// A host in the platform's lagging list.
struct host
{
    std::string name;
    std::string data_centre;
    std::string control_address;
    bool leaving = false;
};

/// A team's priority for a service, in force between two times of day.
struct priority_rule
{
    std::string team;
    std::string service;
    std::int64_t level = 0;
    /// Minutes after midnight; equal times mean the whole day.
    int from_minute = 0;
    int to_minute = 0;
};

/// The priority of a call that no rule names.
inline constexpr std::int64_t default_priority_level = 5;

/// The resources of one revision in the form that decisions use.
class view
{
public:
    view() = default;
    explicit view(const replica& source);

    /// The team with the token of this hash; a null pointer when there is none.
    const team* find_team(const std::string& token_sha256) const;
    const service* find_service(const std::string& name) const;
    const service* service_of_model(const std::string& model) const;
    /// The plain service with the longest path prefix that fits.
    const service* service_of_path(std::string_view path) const;
    /// A service's targets, in order of name.
    const std::vector<target>& targets_of(const std::string& service) const;
    const target* find_target(const std::string& name) const;
    /// A team's voted share of a service in percent; 0 when none was voted.
    std::int64_t share_percent(const std::string& team, const std::string& service) const;
    /// All voted shares of a service, by team, in percent.
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
