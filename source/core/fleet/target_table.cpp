#include "fleet/target_table.hpp"

namespace kumquatgap::fleet
{

void target_table::put(target it)
{
    auto id = it.id;
    m_rows.insert_or_assign(std::move(id), row{std::move(it), std::nullopt});
}

void target_table::remove(const std::string& id, timestamp now, bool store_was_away)
{
    const auto it = m_rows.find(id);
    if (it == m_rows.end())
        return;
    if (store_was_away && !it->second.it.is_leaving)
    {
        if (!it->second.gone_at)
            it->second.gone_at = now + lapse_grace;
        return;
    }
    m_rows.erase(it);
}

bool target_table::is_usable(const row& r, timestamp now)
{
    return !r.it.is_leaving && (!r.gone_at || now < *r.gone_at);
}

const target* target_table::find_usable(const std::string& id, timestamp now) const
{
    const auto it = m_rows.find(id);
    return it == m_rows.end() || !is_usable(it->second, now) ? nullptr : &it->second.it;
}

std::vector<const target*> target_table::usable(std::string_view service, timestamp now) const
{
    std::vector<const target*> out;
    for (const auto& [id, r] : m_rows)
    {
        if (r.it.service == service && is_usable(r, now))
            out.push_back(&r.it);
    }
    return out;
}

} // namespace kumquatgap::fleet
