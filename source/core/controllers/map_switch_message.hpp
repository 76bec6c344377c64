#pragma once

#include <cstdint>
#include <optional>
#include <variant>

namespace kumquatgap::controllers
{

/// A fencing number: grows with every controller of a group, by the platform's store.
using fence_number = std::int64_t;
/// Names an expert map; unique, since it is made of its controller's fencing number and a count.
using map_version = std::int64_t;
/// A step of a group in lock-step.
using step_number = std::int64_t;
using rank_number = std::size_t;

/// A map that a rank has promised to wait for: it begins no step from `from` on before it knows
/// whether the map is committed.
struct pending_map
{
    map_version version = 0;
    step_number from = 0;
    bool committed = false;
    bool operator==(const pending_map&) const = default;
};

/// Where a rank is. It lives in the engine and outlasts the agent beside it.
struct rank_report
{
    map_version active = 0;
    std::optional<pending_map> pending;
    /// The last step that the rank has begun.
    step_number step = 0;
};

/// Asks a rank where it is; from then on it takes no order of a lower number.
struct ask_rank
{
};
/// Orders a rank to load a map's weights.
struct prepare_map
{
    map_version version = 0;
};
/// Asks a rank for the promise to wait for the decision before a step.
struct arm_map
{
    map_version version = 0;
    step_number from = 0;
};
/// Tells a rank that the map is in force from its step on.
struct commit_map
{
    map_version version = 0;
};
/// Tells a rank that the map will not come.
struct abort_map
{
    map_version version = 0;
};

using rank_order = std::variant<ask_rank, prepare_map, arm_map, commit_map, abort_map>;

/// An order with its controller's number.
struct fenced_order
{
    fence_number fence = 0;
    rank_order order;
};

/// What a rank says to an order.
enum class rank_answer : std::uint8_t
{
    done,
    /// The order's number is lower than one that the rank knows.
    stale,
    /// The agent has started and does not know the current number yet.
    not_ready,
    /// The step to wait for has begun already.
    too_late
};

/// A rank's answer to an order, with where it is now.
struct rank_reply
{
    rank_number rank = 0;
    fence_number fence = 0;
    rank_order to;
    rank_answer answer = rank_answer::done;
    rank_report report;
};

} // namespace kumquatgap::controllers
