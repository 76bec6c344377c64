#pragma once

#include "common/failure.hpp"
#include "experts/expert_map.hpp"
#include "experts/switch_message.hpp"
#include "fleet/configuration.hpp"
#include "io/http_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatgap::rank_agent
{

/// Maximum size of a rank's response; its lists and counts take a few tens of kB.
inline constexpr std::size_t max_rank_response_bytes = std::size_t{1} << 20;

/// How often requests on a rank have selected each expert since the rank started: the experts of
/// the first set, then those of the second, and so on.
struct selection_totals
{
    std::int64_t epoch = 0;
    std::vector<std::int64_t> totals;
};

/// The experts that a rank holds, by set.
struct rank_experts
{
    experts::map_version version = 0;
    std::vector<std::vector<int>> sets;
};

/// Encodes requests to a rank and decodes its responses. Implementations only translate and make no
/// decisions.
class rank_protocol_adapter
{
public:
    rank_protocol_adapter() = default;
    rank_protocol_adapter(const rank_protocol_adapter&) = delete;
    rank_protocol_adapter& operator=(const rank_protocol_adapter&) = delete;
    virtual ~rank_protocol_adapter() = default;

    /// Adds the id that the rank echoes in its response.
    virtual void set_request_id(io::http_request& it, std::string_view id) const = 0;
    /// The id of the request that a response answers; empty if the rank echoes none.
    virtual std::string read_request_id(const io::http_response& it) const = 0;
    virtual io::http_request report_request() const = 0;
    /// Returns nullopt if the response is not a valid report.
    virtual std::optional<experts::rank_report> read_report(const io::http_response& it) const = 0;
    virtual io::http_request selection_totals_request() const = 0;
    virtual std::optional<selection_totals>
    read_selection_totals(const io::http_response& it) const = 0;
    virtual io::http_request rank_experts_request() const = 0;
    virtual std::optional<rank_experts> read_rank_experts(const io::http_response& it) const = 0;
    virtual io::http_request order_request(const experts::rank_order& it) const = 0;
    virtual experts::order_outcome read_order_outcome(const io::http_response& it) const = 0;
    /// The store key of the operators' configuration.
    virtual std::string configuration_key() const = 0;
    virtual std::optional<fleet::configuration>
    read_configuration(const std::string& text) const = 0;
};

} // namespace kumquatgap::rank_agent
