#pragma once

#include "experts/map_changes.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace kumquatgap::experts
{

/// A byte carries numbers up to this.
inline constexpr int largest_byte = 255;

/// Maps, lists of experts and addresses as messages carry them. The functions that read throw
/// where the bytes are none of theirs.
nlohmann::json map_to_json(const expert_map& map);
expert_map map_from(const nlohmann::json& it);
nlohmann::json changes_to_json(const map_changes& it);
map_changes changes_from(const nlohmann::json& it);
nlohmann::json lists_to_json(const std::vector<std::vector<int>>& lists);
std::vector<std::vector<int>> lists_from(const nlohmann::json& it);
/// `ip:port` in six bytes each; an empty one is all zeros.
nlohmann::json addresses_to_json(const std::vector<std::string>& addresses);
std::vector<std::string> addresses_from(const nlohmann::json& it);

/// About how many bytes they take.
std::size_t map_bytes(const expert_map& map);
std::size_t changes_bytes(const map_changes& it);

} // namespace kumquatgap::experts
