#include "config/configuration_check.hpp"

#include "common/text.hpp"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string>
#include <string_view>

/// What a configuration changes, in an operator's terms.
namespace kumquatgap::config
{

using common::concat;

namespace
{

/// The name of a field and its value as text.
template <class Entry>
struct field
{
    std::string_view name;
    std::string (*text)(const Entry&);
};

std::string text_of(common::milliseconds it)
{
    return concat(it.count(), " ms");
}

std::string shares_text(const fleet::route& it)
{
    return absl::StrJoin(it.shares, ", ",
                         [](std::string* out, const fleet::service_share& share)
                         { out->append(concat(share.service, " (", share.weight, ")")); });
}

constexpr auto s_route_fields = std::to_array<field<fleet::route>>({
    {"name", [](const fleet::route& it) { return it.name; }},
    {"kind", [](const fleet::route& it) { return std::string{fleet::name_of(it.kind)}; }},
    {"timeout", [](const fleet::route& it) { return text_of(it.timeout); }},
    {"latency goal", [](const fleet::route& it) { return text_of(it.goal); }},
    {"gap goal", [](const fleet::route& it) { return text_of(it.gap_goal); }},
    {"priority", [](const fleet::route& it) { return concat(it.priority); }},
    {"attempts", [](const fleet::route& it) { return concat(it.max_attempts); }},
    {"public", [](const fleet::route& it) -> std::string { return it.is_public ? "yes" : "no"; }},
    {"services", shares_text},
    {"permitted regions", [](const fleet::route& it) { return it.regions.text(); }},
});

constexpr auto s_service_fields = std::to_array<field<fleet::service>>({
    {"health path", [](const fleet::service& it) { return it.health_path; }},
    {"connections of a target",
     [](const fleet::service& it) { return concat(it.max_connections); }},
    {"requests per second of a cold target",
     [](const fleet::service& it) { return concat(it.cold_per_second); }},
    {"slots of an engine",
     [](const fleet::service& it) { return it.engine ? concat(it.engine->slots) : "none"; }},
});

constexpr auto s_limit_fields = std::to_array<field<fleet::caller_limits>>({
    {"longest header", [](const fleet::caller_limits& it) { return concat(it.header_bytes); }},
    {"longest body", [](const fleet::caller_limits& it) { return concat(it.body_bytes); }},
    {"header timeout", [](const fleet::caller_limits& it) { return text_of(it.header_timeout); }},
    {"idle timeout", [](const fleet::caller_limits& it) { return text_of(it.idle_timeout); }},
});

template <class Entry, std::size_t n>
void compare_fields(const std::string& place, const std::array<field<Entry>, n>& fields,
                    const Entry& from, const Entry& to, std::vector<difference>& out)
{
    for (const auto& it : fields)
    {
        const auto before = it.text(from);
        const auto after = it.text(to);
        if (before != after)
            out.push_back({place, concat(it.name, ": ", before, " -> ", after)});
    }
}

/// Compares entries by their keys; those of an ordered map, so that the order is always the same.
template <class Entry, std::size_t n>
void compare_entries(std::string_view list, const std::array<field<Entry>, n>& fields,
                     const std::map<std::string, Entry>& from,
                     const std::map<std::string, Entry>& to, std::vector<difference>& out)
{
    for (const auto& [key, before] : from)
    {
        const auto place = concat(list, " ", key);
        if (const auto after = to.find(key); after != to.end())
            compare_fields(place, fields, before, after->second, out);
        else
            out.push_back({place, "removed"});
    }
    for (const auto& entry : to)
    {
        if (!from.contains(entry.first))
            out.push_back({concat(list, " ", entry.first), "added"});
    }
}

struct team_keys
{
    std::string priority;
    std::string regions;
    std::set<std::string> keys;
};

std::map<std::string, team_keys> teams_of(const fleet::configuration& it)
{
    std::map<std::string, team_keys> out;
    for (const auto& [key, team] : it.teams_by_key())
    {
        auto& entry = out[team.name];
        entry.priority = team.priority ? concat(*team.priority) : "the route's";
        entry.regions = team.regions.text();
        entry.keys.insert(key);
    }
    return out;
}

/// Counts the keys of `a` that `b` lacks: keys are secrets, and are not shown.
std::ptrdiff_t missing_keys(const team_keys& a, const team_keys& b)
{
    return std::ranges::count_if(a.keys, [&](const auto& it) { return !b.keys.contains(it); });
}

void compare_teams(const std::map<std::string, team_keys>& from,
                   const std::map<std::string, team_keys>& to, std::vector<difference>& out)
{
    constexpr auto fields = std::to_array<field<team_keys>>(
        {{"priority", [](const team_keys& it) { return it.priority; }},
         {"permitted regions", [](const team_keys& it) { return it.regions; }}});
    compare_entries("tenants", fields, from, to, out);
    for (const auto& [name, before] : from)
    {
        const auto after = to.find(name);
        if (after == to.end())
            continue;
        const auto removed = missing_keys(before, after->second);
        const auto added = missing_keys(after->second, before);
        if (removed + added > 0)
            out.push_back({concat("tenants ", name),
                           concat("keys: ", added, " added, ", removed, " removed")});
    }
}

} // namespace

std::vector<difference> differences(const fleet::configuration& in_force,
                                    const fleet::configuration& next)
{
    std::vector<difference> out;
    if (in_force.version != next.version)
        out.push_back({"version", concat(in_force.version, " -> ", next.version)});
    const auto& from = in_force.routes();
    const auto& to = next.routes();
    compare_entries<fleet::route>("routes", s_route_fields, {from.begin(), from.end()},
                                  {to.begin(), to.end()}, out);
    compare_entries<fleet::service>("services", s_service_fields, in_force.services, next.services,
                                    out);
    if (in_force.has_teams != next.has_teams)
        out.push_back({"tenants", next.has_teams ? "calls must carry a team's key"
                                                 : "calls need no key any more"});
    compare_teams(teams_of(in_force), teams_of(next), out);
    compare_fields("limits", s_limit_fields, in_force.limits, next.limits, out);
    return out;
}

} // namespace kumquatgap::config
