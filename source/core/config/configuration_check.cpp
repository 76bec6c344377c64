#include "config/configuration_check.hpp"

#include "common/text.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace kumquatgap::config
{

using common::concat;
using common::milliseconds;
using fleet::configuration_listing;

namespace
{

constexpr milliseconds max_duration{24 * 3600 * 1000};
constexpr std::size_t max_request_bytes = std::size_t{1} << 30;

using findings = std::vector<finding>;

void add_error(findings& out, finding_code code, std::string place, std::string text)
{
    out.push_back({severity::error, code, std::move(place), std::move(text)});
}

void add_warning(findings& out, finding_code code, std::string place, std::string text)
{
    out.push_back({severity::warning, code, std::move(place), std::move(text)});
}

std::string place_of(const configuration_listing& it, std::size_t route)
{
    return concat("routes[", route, "] ", it.routes[route].name);
}

void check_duplicate_names(const std::vector<std::string>& names, std::string_view list,
                           findings& out)
{
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        if (!seen.insert(names[i]).second)
            add_error(out, finding_code::duplicate_entry, concat(list, "[", i, "] ", names[i]),
                      "another entry has the same name; only the last one is used");
    }
}

/// Finds each route by its own host and prefix, as a gateway does for a call.
void check_reachability(const configuration_listing& it, const gateway_limits& /*limits*/,
                        findings& out)
{
    std::map<const fleet::route*, std::size_t> found_by;
    for (std::size_t i = 0; i < it.routes.size(); ++i)
    {
        const auto& r = it.routes[i];
        const auto* found = it.effective.find_route(r.host, r.prefix);
        const bool is_found = found != nullptr && found->prefix == r.prefix;
        if (!is_found || !r.prefix.starts_with('/'))
        {
            add_error(out, finding_code::unreachable_route, place_of(it, i),
                      concat("no path leads to the prefix '", r.prefix,
                             "': it must begin and end with '/'"));
            continue;
        }
        const auto [first, is_new] = found_by.try_emplace(found, i);
        if (!is_new)
            add_error(out, finding_code::duplicate_route, place_of(it, i),
                      concat("has the host and prefix of ", place_of(it, first->second),
                             "; only the last one is used"));
    }
}

void check_shares(const configuration_listing& it, const gateway_limits& /*limits*/, findings& out)
{
    for (std::size_t i = 0; i < it.routes.size(); ++i)
    {
        const auto& shares = it.routes[i].shares;
        if (shares.empty())
            add_error(out, finding_code::no_service, place_of(it, i),
                      "no service receives the route's calls");
        for (const auto& share : shares)
        {
            if (!it.effective.services.contains(share.service))
                add_error(out, finding_code::unknown_service, place_of(it, i),
                          concat("there is no service '", share.service, "'"));
        }
    }
    for (const auto& share : it.unused_shares)
        add_warning(out, finding_code::zero_share, place_of(it, share.route),
                    concat("the service '", share.service, "' receives no calls, for its weight"));
}

bool is_duration(milliseconds it, milliseconds min)
{
    return it >= min && it <= max_duration;
}

void check_times(const configuration_listing& it, const gateway_limits& limits, findings& out)
{
    for (std::size_t i = 0; i < it.routes.size(); ++i)
    {
        const auto& r = it.routes[i];
        const auto place = place_of(it, i);
        if (!is_duration(r.timeout, milliseconds{1}) || !is_duration(r.goal, milliseconds{0}) ||
            !is_duration(r.gap_goal, milliseconds{0}))
        {
            add_error(out, finding_code::out_of_range, place,
                      "the timeout must be positive, the goals not negative, and none may be over "
                      "a day");
            continue;
        }
        if (std::max(r.goal, r.gap_goal) > r.timeout)
            add_error(out, finding_code::goal_over_timeout, place,
                      concat("a goal of ", std::max(r.goal, r.gap_goal).count(),
                             " ms can't be missed within the timeout of ", r.timeout.count(),
                             " ms"));
        if (limits.grace && r.timeout > *limits.grace)
            add_warning(out, finding_code::timeout_over_grace, place,
                        concat("calls of up to ", r.timeout.count(),
                               " ms may be cut off by a shutdown, which takes ",
                               limits.grace->count(), " ms"));
    }
}

/// The retries that the budget grants a single call when nothing else was called.
int granted_retries(const policy::retry_limits& limits, int wanted)
{
    const common::timestamp now{limits.window};
    policy::windowed_retry_budget budget{limits, {}, now};
    budget.set_all_known(now);
    budget.record_call("", now);
    int out = 0;
    while (out < wanted && budget.take("", now))
        ++out;
    return out;
}

void check_attempts(const configuration_listing& it, const gateway_limits& limits, findings& out)
{
    constexpr int max_attempts = 100;
    for (std::size_t i = 0; i < it.routes.size(); ++i)
    {
        const auto& r = it.routes[i];
        if (r.max_attempts < 1 || r.max_attempts > max_attempts)
        {
            add_error(out, finding_code::out_of_range, place_of(it, i),
                      concat("attempts must be from 1 to ", max_attempts));
            continue;
        }
        const int wanted = r.max_attempts - 1;
        if (!limits.retries || !fleet::is_safe_to_retry(r.kind))
            continue;
        const int granted = granted_retries(*limits.retries, wanted);
        if (granted < wanted)
            add_error(
                out, finding_code::retries_over_budget, place_of(it, i),
                concat("a call may need ", wanted, " retries, and the budget grants ", granted));
    }
}

void check_caller_limits(const configuration_listing& it, const gateway_limits& limits,
                         findings& out)
{
    const auto& l = it.effective.limits;
    const auto is_size = [](std::size_t bytes) { return bytes > 0 && bytes <= max_request_bytes; };
    if (!is_size(l.header_bytes) || !is_size(l.body_bytes))
        add_error(
            out, finding_code::out_of_range, "limits",
            concat("the longest header and body must be from 1 to ", max_request_bytes, " bytes"));
    else if (limits.memory_bytes && l.header_bytes + l.body_bytes > *limits.memory_bytes)
        add_error(out, finding_code::limits_over_memory, "limits",
                  concat("a request of ", l.header_bytes + l.body_bytes,
                         " bytes does not fit the memory of ", *limits.memory_bytes, " bytes"));
    if (!is_duration(l.header_timeout, milliseconds{1}) ||
        !is_duration(l.idle_timeout, milliseconds{1}))
        add_error(out, finding_code::out_of_range, "limits",
                  "the header and idle timeouts must be positive and at most a day");
}

void check_services(const configuration_listing& it, const gateway_limits& /*limits*/,
                    findings& out)
{
    check_duplicate_names(it.services, "services", out);
    for (const auto& [name, service] : it.effective.services)
    {
        if (service.engine && service.engine->slots < 1)
            add_error(out, finding_code::out_of_range, concat("services ", name),
                      "an engine must have at least one slot");
    }
}

/// Finds each team by each of its keys, as a gateway does for a call.
void check_teams(const configuration_listing& it, const gateway_limits& /*limits*/, findings& out)
{
    check_duplicate_names(it.teams, "tenants", out);
    std::map<std::string_view, std::string_view> team_of;
    for (const auto& listed : it.keys)
    {
        const auto place = concat("tenants ", listed.team);
        const auto [first, is_new] = team_of.try_emplace(listed.key, listed.team);
        if (listed.key.empty())
            add_error(out, finding_code::no_key, place, "a key is empty");
        else if (!is_new && first->second == listed.team)
            add_warning(out, finding_code::duplicate_key, place, "a key is listed twice");
        else if (!is_new)
            add_error(out, finding_code::duplicate_key, place,
                      concat("a key is also that of ", first->second, "; its calls count as ",
                             it.effective.find_team(listed.key)->name, "'s"));
    }
    for (const auto& team : it.teams)
    {
        if (std::ranges::find(it.keys, team, &fleet::listed_key::team) == it.keys.end())
            add_warning(out, finding_code::no_key, concat("tenants ", team),
                        "no key belongs to the team");
    }
}

bool has_permitted_data_centre(const fleet::permitted_regions& regions,
                               const fleet::region_table& table)
{
    return !regions.is_restricted() ||
           std::ranges::any_of(table, [&](const auto& it) { return regions.permits(it.second); });
}

/// The restrictions of the teams, by name.
std::map<std::string, fleet::permitted_regions> team_regions(const fleet::configuration& it)
{
    std::map<std::string, fleet::permitted_regions> out;
    for (const auto& [key, team] : it.teams_by_key())
        out.insert_or_assign(team.name, team.regions);
    return out;
}

/// Finds restrictions that no data centre meets, of one entry or of a route and a team together.
void check_regions(const configuration_listing& it, const gateway_limits& limits, findings& out)
{
    if (!limits.regions)
        return;
    const auto teams = team_regions(it.effective);
    for (const auto& [name, regions] : teams)
    {
        if (!has_permitted_data_centre(regions, *limits.regions))
            add_error(out, finding_code::no_permitted_region, concat("tenants ", name),
                      concat("no data centre lies in the regions ", regions.text()));
    }
    for (std::size_t i = 0; i < it.routes.size(); ++i)
    {
        const auto& own = it.routes[i].regions;
        if (!has_permitted_data_centre(own, *limits.regions))
        {
            add_error(out, finding_code::no_permitted_region, place_of(it, i),
                      concat("no data centre lies in the regions ", own.text()));
            continue;
        }
        for (const auto& [name, regions] : teams)
        {
            if (has_permitted_data_centre(regions, *limits.regions) &&
                !has_permitted_data_centre(own.intersected_with(regions), *limits.regions))
                add_warning(out, finding_code::no_permitted_region, place_of(it, i),
                            concat("calls of the team ", name, " are refused: its regions are ",
                                   regions.text(), ", those of the route ", own.text()));
        }
    }
}

using check = void (*)(const configuration_listing&, const gateway_limits&, findings&);

constexpr auto s_checks =
    std::to_array<check>({check_reachability, check_shares, check_times, check_attempts,
                          check_caller_limits, check_services, check_teams, check_regions});

} // namespace

std::vector<finding> configuration_check::run(const configuration_listing& it) const
{
    findings out;
    for (const auto one : s_checks)
        one(it, m_limits, out);
    return out;
}

std::vector<finding> configuration_check::run(const configuration_listing& it,
                                              const fleet::configuration& in_force) const
{
    auto out = run(it);
    if (it.effective.version <= in_force.version)
        add_error(out, finding_code::stale_version, "version",
                  concat("version ", it.effective.version, " does not replace version ",
                         in_force.version));
    return out;
}

} // namespace kumquatgap::config
