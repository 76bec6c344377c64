#pragma once

#include "kv/position.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::kv
{

/// The key under which the eras of an etcd cluster are recorded.
inline constexpr std::string_view etcd_era_key = "kqg/store_era";

/// The era of a cluster. etcd numbers no histories, but a cluster that was restored from a copy has
/// another id. Its copy has the record of the cluster before, so whoever meets the new cluster
/// first records a higher era.
struct etcd_era_record
{
    era number = 0;
    std::string cluster;

    bool operator==(const etcd_era_record&) const = default;
};

std::string serialize(const etcd_era_record& it);
/// Reads a record; empty when it is malformed.
std::optional<etcd_era_record> parse_era_record(const std::string& text);

/// The record that a cluster must have. It is the stored one unless that belongs to another
/// cluster, or its era is not later than `former`, the era in which this process knew another
/// cluster.
etcd_era_record required_record(const std::optional<etcd_era_record>& stored,
                                const std::string& cluster, era former);

} // namespace kumquatgap::kv
