#include "config/view.hpp"

#include <algorithm>

namespace kumquatgap::config
{

using nlohmann::json;

namespace
{

/// Parses `HH:MM`, a format that is checked when resources are read; 0 for an empty text.
int parse_minute_of_day(const std::string& text)
{
    constexpr int minutes_per_hour = 60;
    return text.empty()
               ? 0
               : std::stoi(text.substr(0, 2)) * minutes_per_hour + std::stoi(text.substr(3));
}

bool is_in_effect(const priority_rule& rule, int minute)
{
    if (rule.from_minute == rule.to_minute)
        return true;
    if (rule.from_minute < rule.to_minute)
        return minute >= rule.from_minute && minute < rule.to_minute;
    return minute >= rule.from_minute || minute < rule.to_minute;
}

service to_service(const resource& r)
{
    service out;
    out.name = r.name;
    out.model = r.spec.value("model", "");
    out.path = r.spec.value("path", "");
    out.echoes_request_id = r.spec.value("echoes_request_id", false);
    if (r.spec.contains("deadline_ms"))
        out.deadline = common::milliseconds{r.spec["deadline_ms"].get<std::int64_t>()};
    for (const auto& it : r.spec.value("once_only", json::array()))
        out.once_only.push_back({it["method"], it["path"]});
    return out;
}

target to_target(const resource& r)
{
    return {r.name,          r.spec["service"], r.spec["host"], r.spec["data_centre"],
            r.spec["agent"], r.spec["slots"],   false};
}

} // namespace

bool service::is_once_only(std::string_view method, std::string_view call_path) const
{
    return std::ranges::any_of(once_only,
                               [&](const once_only_rule& rule) {
                                   return rule.method == method && call_path.starts_with(rule.path);
                               });
}

view::view(const replica& source)
{
    for (const auto& [key, kv] : source.items())
    {
        if (key.starts_with(host_prefix))
            add_host(kv);
        else if (const auto r = deserialize(kv))
            add(*r);
    }
    for (auto& [service_name, targets] : m_targets)
    {
        for (auto& it : targets)
        {
            const auto found = m_hosts.find(it.host);
            it.leaving = found != m_hosts.end() && found->second.leaving;
        }
    }
}

void view::add(const resource& r)
{
    switch (r.type)
    {
    case kind::team:
        m_teams_by_token.emplace(r.spec["token_sha256"], team{r.name, r.spec["member"]});
        break;
    case kind::service:
    {
        const auto it = to_service(r);
        if (it.is_model())
            m_service_by_model.emplace(it.model, it.name);
        m_services.emplace(r.name, it);
        break;
    }
    case kind::target:
        m_targets[r.spec["service"]].push_back(to_target(r));
        break;
    case kind::share:
        m_shares.emplace(std::pair{r.spec["team"], r.spec["service"]}, r.spec["percent"]);
        break;
    case kind::priority:
        m_priorities.push_back({r.spec["team"], r.spec["service"], r.spec["level"],
                                parse_minute_of_day(r.spec.value("from", "")),
                                parse_minute_of_day(r.spec.value("to", ""))});
        break;
    case kind::rebalance_limit:
        break;
    }
}

void view::add_host(const key_value& kv)
{
    const auto value = json::parse(kv.value, nullptr, false);
    if (!value.is_object())
        return;
    const auto name = kv.key.substr(host_prefix.size());
    m_hosts.emplace(name,
                    host{name, value.value("data_centre", ""), value.value("control_address", ""),
                         value.value("state", "live") == "leaving"});
}

const team* view::find_team(const std::string& token_sha256) const
{
    const auto it = m_teams_by_token.find(token_sha256);
    return it == m_teams_by_token.end() ? nullptr : &it->second;
}

const service* view::find_service(const std::string& name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

const service* view::service_of_model(const std::string& model) const
{
    const auto it = m_service_by_model.find(model);
    return it == m_service_by_model.end() ? nullptr : find_service(it->second);
}

const service* view::service_of_path(std::string_view path) const
{
    const service* best = nullptr;
    for (const auto& [name, it] : m_services)
    {
        const bool matches = !it.path.empty() && path.starts_with(it.path);
        if (matches && (best == nullptr || it.path.size() > best->path.size()))
            best = &it;
    }
    return best;
}

const std::vector<target>& view::targets_of(const std::string& service) const
{
    static const std::vector<target> s_no_targets;
    const auto it = m_targets.find(service);
    return it == m_targets.end() ? s_no_targets : it->second;
}

const target* view::find_target(const std::string& name) const
{
    for (const auto& [service_name, targets] : m_targets)
    {
        const auto it = std::ranges::find(targets, name, &target::name);
        if (it != targets.end())
            return &*it;
    }
    return nullptr;
}

std::int64_t view::share_percent(const std::string& team, const std::string& service) const
{
    const auto it = m_shares.find({team, service});
    return it == m_shares.end() ? 0 : it->second;
}

std::map<std::string, std::int64_t> view::shares_of(const std::string& service) const
{
    std::map<std::string, std::int64_t> out;
    for (const auto& [key, percent] : m_shares)
    {
        if (key.second == service)
            out.emplace(key.first, percent);
    }
    return out;
}

std::int64_t view::priority_level(const std::string& team, const std::string& service,
                                  int minute_of_day) const
{
    std::int64_t best = default_priority_level;
    for (const auto& rule : m_priorities)
    {
        if (rule.team == team && rule.service == service && is_in_effect(rule, minute_of_day))
            best = std::min(best, rule.level);
    }
    return best;
}

} // namespace kumquatgap::config
