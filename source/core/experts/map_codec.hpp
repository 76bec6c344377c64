#pragma once

#include "experts/map_delta.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace kumquatgap::experts
{

/// The largest number that fits one byte.
inline constexpr int max_byte = 255;

/// Conversion of maps, expert lists and addresses to and from their form in messages. The decoding
/// functions throw nlohmann::json exceptions on malformed input.
nlohmann::json map_to_json(const expert_map& map);
expert_map map_from_json(const nlohmann::json& it);
nlohmann::json delta_to_json(const map_delta& it);
map_delta delta_from_json(const nlohmann::json& it);
nlohmann::json lists_to_json(const std::vector<std::vector<int>>& lists);
std::vector<std::vector<int>> lists_from_json(const nlohmann::json& it);
/// Six bytes for each `ip:port`; an empty address is encoded as zeros.
nlohmann::json addresses_to_json(const std::vector<std::string>& addresses);
std::vector<std::string> addresses_from_json(const nlohmann::json& it);

/// Estimated encoded sizes in bytes.
std::size_t estimated_map_bytes(const expert_map& map);
std::size_t estimated_delta_bytes(const map_delta& it);

} // namespace kumquatgap::experts
