#include "fleet/configuration.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace kumquatgap::fleet
{

namespace
{

constexpr auto s_kind_names =
    std::to_array<std::string_view>({"idempotent", "once", "stream", "resumable_stream"});

/// The host name in lower case without its port.
std::string normalise_host(std::string_view host)
{
    std::string out{host.substr(0, host.find(':'))};
    std::ranges::transform(out, out.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

std::string route_key(std::string_view host, std::string_view prefix)
{
    auto out = normalise_host(host);
    out += ' ';
    out += prefix;
    return out;
}

} // namespace

std::string_view name_of(call_kind kind)
{
    return s_kind_names[static_cast<std::size_t>(kind)];
}

void configuration::add(route it)
{
    auto key = route_key(it.host, it.prefix);
    m_routes.insert_or_assign(std::move(key), std::move(it));
}

void configuration::add_key(std::string key, const team& owner)
{
    m_teams_by_key.insert_or_assign(std::move(key), owner);
}

const route* configuration::find_route(std::string_view host, std::string_view path) const
{
    auto key = route_key(host, "");
    const auto host_size = key.size();
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1))
    {
        key.resize(host_size);
        key += path.substr(0, end + 1);
        if (const auto it = m_routes.find(key); it != m_routes.end())
            return &it->second;
        if (end == 0)
            break;
    }
    return nullptr;
}

const service* configuration::find_service(const std::string& name) const
{
    const auto it = services.find(name);
    return it == services.end() ? nullptr : &it->second;
}

std::string configuration::health_path(const std::string& name) const
{
    const auto it = services.find(name);
    return it == services.end() ? std::string{} : it->second.health_path;
}

bool configuration::is_group(const std::string& name) const
{
    const auto it = services.find(name);
    return it != services.end() && it->second.engine && it->second.engine->expert_sets > 0;
}

const team* configuration::find_team(const std::string& key) const
{
    const auto it = m_teams_by_key.find(key);
    return it == m_teams_by_key.end() ? nullptr : &it->second;
}

const std::string& pick_service(const route& it, double draw)
{
    static const std::string s_none;
    double total = 0;
    for (const auto& share : it.shares)
        total += share.weight;
    double left = draw * total;
    for (const auto& share : it.shares)
    {
        left -= share.weight;
        if (left < 0)
            return share.service;
    }
    return it.shares.empty() ? s_none : it.shares.back().service;
}

} // namespace kumquatgap::fleet
