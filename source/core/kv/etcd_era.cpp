#include "kv/etcd_era.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kumquatgap::kv
{

using nlohmann::json;

std::string serialize(const etcd_era_record& it)
{
    return json{{"era", it.number}, {"cluster", it.cluster}}.dump();
}

std::optional<etcd_era_record> parse_era_record(const std::string& text)
{
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object() || !body.contains("era") || !body["era"].is_number_integer() ||
        !body.contains("cluster") || !body["cluster"].is_string())
        return std::nullopt;
    return etcd_era_record{body["era"], body["cluster"]};
}

etcd_era_record required_record(const std::optional<etcd_era_record>& stored,
                                const std::string& cluster, era former)
{
    if (stored && stored->cluster == cluster && stored->number > former)
        return *stored;
    return {std::max(stored ? stored->number : 0, former) + 1, cluster};
}

} // namespace kumquatgap::kv
