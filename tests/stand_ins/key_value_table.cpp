#include "key_value_table.hpp"

#include "common/text.hpp"

#include <algorithm>
#include <stdexcept>

namespace kumquatgap::stand_ins
{

using nlohmann::json;

namespace
{

std::string text_at(const json& object, const char* name)
{
    std::string out;
    if (object.contains(name) && !common::base64_decode(object[name].get<std::string>(), out))
        throw std::invalid_argument{"bad base64"};
    return out;
}

std::int64_t number_at(const json& object, const char* name)
{
    if (!object.contains(name))
        return 0;
    if (object[name].is_number_integer())
        return object[name];
    return std::stoll(object[name].get<std::string>());
}

json to_json(const std::string& key, const auto& it)
{
    json out = {{"key", common::base64_encode(key)},
                {"create_revision", std::to_string(it.created)},
                {"mod_revision", std::to_string(it.modified)},
                {"version", std::to_string(it.version)},
                {"value", common::base64_encode(it.value)}};
    if (it.lease != 0)
        out["lease"] = std::to_string(it.lease);
    return out;
}

} // namespace

json key_value_table::header() const
{
    return {{"cluster_id", std::to_string(m_cluster)},
            {"member_id", "1"},
            {"revision", std::to_string(m_revision)}};
}

json key_value_table::range(const json& request) const
{
    const auto key = text_at(request, "key");
    const auto end = text_at(request, "range_end");
    json kvs = json::array();
    for (auto it = m_entries.lower_bound(key); it != m_entries.end(); ++it)
    {
        const bool inside = end.empty() ? it->first == key : it->first < end;
        if (!inside)
            break;
        kvs.push_back(to_json(it->first, it->second));
    }
    json out = {{"header", header()}};
    if (kvs.empty())
        return out;
    out["count"] = std::to_string(kvs.size());
    out["kvs"] = std::move(kvs);
    return out;
}

bool key_value_table::holds(const json& compare) const
{
    const auto it = m_entries.find(text_at(compare, "key"));
    const bool by_creation = compare.value("target", "") == "CREATE";
    const auto expected = number_at(compare, by_creation ? "create_revision" : "mod_revision");
    if (it == m_entries.end())
        return expected == 0;
    return expected == (by_creation ? it->second.created : it->second.modified);
}

bool key_value_table::has_unknown_lease(const json& operations) const
{
    return std::ranges::any_of(operations,
                               [this](const json& it)
                               {
                                   if (it.contains("request_txn"))
                                       return has_unknown_lease(
                                           it["request_txn"].value("success", json::array()));
                                   if (!it.contains("request_put"))
                                       return false;
                                   const auto id = number_at(it["request_put"], "lease");
                                   return id != 0 && !m_leases.contains(id);
                               });
}

json key_value_table::transaction(const json& request)
{
    if (has_unknown_lease(request.value("success", json::array())))
        throw std::invalid_argument{"etcdserver: requested lease not found"};
    bool wrote = false;
    auto out = run_transaction(request, m_revision + 1, wrote);
    m_revision += wrote ? 1 : 0;
    out["header"] = header();
    return out;
}

json key_value_table::run_transaction(const json& request, std::int64_t revision, bool& wrote)
{
    const bool holds_all = std::ranges::all_of(request.value("compare", json::array()),
                                               [this](const json& it) { return holds(it); });
    json responses = json::array();
    for (const auto& it : request.value(holds_all ? "success" : "failure", json::array()))
        responses.push_back(run(it, revision, wrote));
    json out = {{"responses", std::move(responses)}};
    if (holds_all)
        out["succeeded"] = true;
    return out;
}

json key_value_table::run(const json& operation, std::int64_t revision, bool& wrote)
{
    if (operation.contains("request_txn"))
        return {{"response_txn", run_transaction(operation["request_txn"], revision, wrote)}};
    if (operation.contains("request_range"))
        return {{"response_range", range(operation["request_range"])}};
    wrote = true;
    if (operation.contains("request_put"))
    {
        const auto& it = operation["request_put"];
        put(text_at(it, "key"), text_at(it, "value"), number_at(it, "lease"), revision);
        return {{"response_put", json::object()}};
    }
    erase(text_at(operation.at("request_delete_range"), "key"), revision);
    return {{"response_delete_range", json::object()}};
}

void key_value_table::put(const std::string& key, const std::string& value, std::int64_t lease_id,
                          std::int64_t revision)
{
    auto& it = m_entries[key];
    it.created = it.version == 0 ? revision : it.created;
    it.modified = revision;
    it.value = value;
    it.lease = lease_id;
    ++it.version;
    m_history.push_back({key, value, revision});
}

void key_value_table::erase(const std::string& key, std::int64_t revision)
{
    if (m_entries.erase(key) > 0)
        m_history.push_back({key, std::nullopt, revision});
}

json key_value_table::grant_lease(const json& request, std::int64_t now_s)
{
    const auto id = m_next_lease++;
    const auto ttl = number_at(request, "TTL");
    m_leases[id] = {ttl, now_s + ttl};
    return {{"header", header()}, {"ID", std::to_string(id)}, {"TTL", std::to_string(ttl)}};
}

json key_value_table::keep_lease(const json& request, std::int64_t now_s)
{
    const auto id = number_at(request, "ID");
    json result = {{"header", header()}, {"ID", std::to_string(id)}};
    const auto it = m_leases.find(id);
    if (it != m_leases.end())
    {
        it->second.ends_s = now_s + it->second.time_to_live_s;
        result["TTL"] = std::to_string(it->second.time_to_live_s);
    }
    return {{"result", std::move(result)}};
}

json key_value_table::revoke_lease(const json& request)
{
    end_lease(number_at(request, "ID"));
    return {{"header", header()}};
}

void key_value_table::expire_leases(std::int64_t now_s)
{
    std::vector<std::int64_t> ended;
    for (const auto& [id, it] : m_leases)
    {
        if (it.ends_s <= now_s)
            ended.push_back(id);
    }
    std::ranges::for_each(ended, [this](std::int64_t id) { end_lease(id); });
}

void key_value_table::end_lease(std::int64_t id)
{
    m_leases.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, it] : m_entries)
    {
        if (it.lease == id)
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    ++m_revision;
    for (const auto& key : keys)
        erase(key, m_revision);
}

} // namespace kumquatgap::stand_ins
