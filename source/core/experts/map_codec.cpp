#include "experts/map_codec.hpp"

#include "common/settings.hpp"
#include "common/text.hpp"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace kumquatgap::experts
{

using nlohmann::json;
using byte_list = json::binary_t::container_type;

namespace
{

constexpr unsigned bits_per_byte = 8;
constexpr std::size_t address_bytes = 6;
constexpr std::size_t port_offset = 4;
/// Sizes of a list header, and of the set and rank numbers of a row.
constexpr std::size_t list_header_bytes = 2;
constexpr std::size_t row_header_bytes = 6;

bool is_wide(const std::vector<int>& experts)
{
    return std::ranges::any_of(experts, [](int e) { return e > max_byte; });
}

/// Encodes experts as one byte each if all of them fit, else as two bytes, low byte first. The
/// first byte is 1 for the wide form.
json experts_to_json(const std::vector<int>& experts)
{
    const bool wide = is_wide(experts);
    byte_list bytes{static_cast<std::uint8_t>(wide ? 1 : 0)};
    bytes.reserve(1 + experts.size() * (wide ? 2 : 1));
    for (const int e : experts)
    {
        bytes.push_back(static_cast<std::uint8_t>(e & max_byte));
        if (wide)
            bytes.push_back(static_cast<std::uint8_t>(e >> bits_per_byte));
    }
    return json::binary(std::move(bytes));
}

std::vector<int> experts_from_json(const json& it)
{
    const auto& bytes = it.get_binary();
    if (bytes.empty())
        return {};
    if (bytes.front() == 0)
        return {bytes.begin() + 1, bytes.end()};
    std::vector<int> out;
    for (std::size_t i = 1; i + 1 < bytes.size(); i += 2)
        out.push_back(bytes[i] | (bytes[i + 1] << bits_per_byte));
    return out;
}

std::size_t estimated_experts_bytes(const std::vector<int>& experts)
{
    return list_header_bytes + experts.size() * (is_wide(experts) ? 2 : 1);
}

} // namespace

json lists_to_json(const std::vector<std::vector<int>>& lists)
{
    json out = json::array();
    std::ranges::transform(lists, std::back_inserter(out), experts_to_json);
    return out;
}

std::vector<std::vector<int>> lists_from_json(const json& it)
{
    std::vector<std::vector<int>> out;
    out.reserve(it.size());
    std::ranges::transform(it, std::back_inserter(out), experts_from_json);
    return out;
}

json map_to_json(const expert_map& map)
{
    json out = json::array();
    std::ranges::transform(map.sets, std::back_inserter(out), lists_to_json);
    return out;
}

expert_map map_from_json(const json& it)
{
    expert_map out;
    std::ranges::transform(it, std::back_inserter(out.sets), lists_from_json);
    return out;
}

json delta_to_json(const map_delta& it)
{
    json rows = json::array();
    for (const auto& row : it.rows)
        rows.push_back({row.set, row.rank, experts_to_json(row.experts)});
    return {it.base, it.checksum, std::move(rows)};
}

map_delta delta_from_json(const json& it)
{
    map_delta out{it.at(0), it.at(1), {}};
    for (const auto& row : it.at(2))
        out.rows.push_back({row.at(0), row.at(1), experts_from_json(row.at(2))});
    return out;
}

json addresses_to_json(const std::vector<std::string>& addresses)
{
    byte_list bytes(addresses.size() * address_bytes);
    for (std::size_t i = 0; i < addresses.size(); ++i)
    {
        const auto it = common::parse_address(addresses[i]);
        auto* at = bytes.data() + i * address_bytes;
        if (it.port == 0 || inet_pton(AF_INET, it.ip.c_str(), at) != 1)
            continue;
        const auto port = htons(it.port);
        std::memcpy(at + port_offset, &port, sizeof port);
    }
    return json::binary(std::move(bytes));
}

std::vector<std::string> addresses_from_json(const json& it)
{
    const auto& bytes = it.get_binary();
    std::vector<std::string> out(bytes.size() / address_bytes);
    for (std::size_t i = 0; i < out.size(); ++i)
    {
        const auto* at = bytes.data() + i * address_bytes;
        std::uint16_t port = 0;
        std::memcpy(&port, at + port_offset, sizeof port);
        std::array<char, INET_ADDRSTRLEN> ip{};
        if (port != 0 && inet_ntop(AF_INET, at, ip.data(), ip.size()) != nullptr)
            out[i] = common::concat(ip.data(), ":", ntohs(port));
    }
    return out;
}

std::size_t estimated_map_bytes(const expert_map& map)
{
    std::size_t out = 0;
    for (const auto& set : map.sets)
    {
        for (const auto& rank : set)
            out += estimated_experts_bytes(rank);
    }
    return out;
}

std::size_t estimated_delta_bytes(const map_delta& it)
{
    std::size_t out = 0;
    for (const auto& row : it.rows)
        out += row_header_bytes + estimated_experts_bytes(row.experts);
    return out;
}

} // namespace kumquatgap::experts
