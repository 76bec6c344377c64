#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatgap::stand_ins
{

/// The content of the platform's store: keys, their history and leases, behind the part of etcd
/// v3's JSON gateway that kumquatgap uses.
class key_value_table
{
public:
    /// One change in the history that watches read.
    struct event
    {
        std::string key;
        std::optional<std::string> value;
        std::int64_t revision = 0;
    };

    nlohmann::json range(const nlohmann::json& request) const;
    nlohmann::json transaction(const nlohmann::json& request);
    nlohmann::json grant_lease(const nlohmann::json& request, std::int64_t now_s);
    nlohmann::json keep_lease(const nlohmann::json& request, std::int64_t now_s);
    nlohmann::json revoke_lease(const nlohmann::json& request);

    /// Ends leases whose time is over.
    void expire_leases(std::int64_t now_s);
    /// Goes back to a copy, as a cluster with another id: what was written since is lost.
    void restore(const key_value_table& copy)
    {
        const auto cluster = m_cluster + 1;
        *this = copy;
        m_cluster = cluster;
    }
    nlohmann::json header() const;
    /// Forgets the history up to a revision.
    void compact(std::int64_t revision) { m_compacted = revision; }

    std::int64_t revision() const { return m_revision; }
    std::int64_t compacted() const { return m_compacted; }
    const std::vector<event>& history() const { return m_history; }

private:
    struct entry
    {
        std::string value;
        std::int64_t created = 0;
        std::int64_t modified = 0;
        std::int64_t version = 0;
        std::int64_t lease = 0;
    };
    struct lease
    {
        std::int64_t time_to_live_s = 0;
        std::int64_t ends_s = 0;
    };

    bool holds(const nlohmann::json& compare) const;
    bool has_unknown_lease(const nlohmann::json& operations) const;
    nlohmann::json run(const nlohmann::json& operation, std::int64_t revision, bool& wrote);
    nlohmann::json run_transaction(const nlohmann::json& request, std::int64_t revision,
                                   bool& wrote);
    void put(const std::string& key, const std::string& value, std::int64_t lease_id,
             std::int64_t revision);
    void erase(const std::string& key, std::int64_t revision);
    void end_lease(std::int64_t id);

    std::int64_t m_cluster = 1;
    std::int64_t m_revision = 1;
    std::int64_t m_compacted = 0;
    std::int64_t m_next_lease = 1000;
    std::map<std::string, entry> m_entries;
    std::map<std::int64_t, lease> m_leases;
    std::vector<event> m_history;
};

} // namespace kumquatgap::stand_ins
