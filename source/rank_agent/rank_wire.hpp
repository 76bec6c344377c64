#pragma once

#include "common/failure.hpp"
#include "experts/expert_map.hpp"
#include "experts/switch_message.hpp"
#include "fleet/configuration.hpp"
#include "io/http_message.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquatgap::rank_agent
{

/// The longest answer of a rank; its lists and counts take a few tens of kB.
inline constexpr std::size_t most_rank_answer_bytes = std::size_t{1} << 20;

/// How often a rank's requests chose each expert since it started: the experts of the first set,
/// then those of the second, and so on.
struct choice_counts
{
    std::int64_t epoch = 0;
    std::vector<std::int64_t> totals;
};

/// The experts of a rank by set.
struct held_experts
{
    experts::map_version version = 0;
    std::vector<std::vector<int>> sets;
};

/// How a rank is asked and ordered. An implementation decides nothing.
class rank_wire
{
public:
    rank_wire() = default;
    rank_wire(const rank_wire&) = delete;
    rank_wire& operator=(const rank_wire&) = delete;
    virtual ~rank_wire() = default;

    virtual io::http_request report_request() const = 0;
    /// None when the answer is no report of a rank.
    virtual std::optional<experts::rank_report> read_report(const io::http_answer& it) const = 0;
    virtual io::http_request choices_request() const = 0;
    virtual std::optional<choice_counts> read_choices(const io::http_answer& it) const = 0;
    virtual io::http_request held_request() const = 0;
    virtual std::optional<held_experts> read_held(const io::http_answer& it) const = 0;
    virtual io::http_request order_request(const experts::rank_order& it) const = 0;
    virtual experts::order_end read_order_end(const io::http_answer& it) const = 0;
    /// The key of the store that holds the operators' configuration.
    virtual std::string configuration_key() const = 0;
    virtual std::optional<fleet::configuration>
    read_configuration(const std::string& text) const = 0;
};

} // namespace kumquatgap::rank_agent
