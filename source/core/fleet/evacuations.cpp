#include "fleet/evacuations.hpp"

#include <algorithm>
#include <chrono>

namespace kumquatgap::fleet
{

bool evacuations::begin(const std::string& data_centre, timestamp now)
{
    const auto [it, is_new] = m_active.try_emplace(data_centre, evacuation{now, {}, {}});
    it->second.ends_at.reset();
    m_version += is_new ? 1 : 0;
    return is_new;
}

bool evacuations::end(const std::string& data_centre)
{
    const bool is_known = m_active.erase(data_centre) > 0;
    m_version += is_known ? 1 : 0;
    return is_known;
}

void evacuations::lose(const std::string& data_centre, timestamp now)
{
    const auto it = m_active.find(data_centre);
    if (it != m_active.end() && !it->second.ends_at)
        it->second.ends_at = now + rewrite_grace;
}

std::vector<std::string> evacuations::take_expired(timestamp now)
{
    std::vector<std::string> out;
    for (const auto& [data_centre, it] : m_active)
    {
        if (it.ends_at && *it.ends_at <= now)
            out.push_back(data_centre);
    }
    for (const auto& it : out)
        end(it);
    return out;
}

std::optional<timestamp> evacuations::next_end() const
{
    std::optional<timestamp> out;
    for (const auto& [data_centre, it] : m_active)
    {
        if (it.ends_at)
            out = out ? std::min(*out, *it.ends_at) : *it.ends_at;
    }
    return out;
}

void evacuations::record_send(std::string_view data_centre, timestamp now)
{
    if (const auto it = m_active.find(data_centre); it != m_active.end())
        it->second.last_send_at = now;
}

std::map<std::string, milliseconds> evacuations::last_sends() const
{
    std::map<std::string, milliseconds> out;
    for (const auto& [data_centre, it] : m_active)
        out.emplace(data_centre, it.last_send_at ? std::chrono::duration_cast<milliseconds>(
                                                       *it.last_send_at - it.learnt_at)
                                                 : milliseconds{0});
    return out;
}

} // namespace kumquatgap::fleet
