#pragma once

#include "common/clock.hpp"
#include "experts/expert_map.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::experts
{

using common::milliseconds;
using common::timestamp;

/// The fencing token of a group's controller: the store's revision of its lease key.
using fencing_token = std::int64_t;
/// The fencing token of one order, see order_token().
using order_fence = std::int64_t;
using map_version = std::int64_t;
/// A pass of the group, counted from the start of an epoch.
using pass_number = std::int64_t;
using rank_number = int;

/// What a controller wants of all ranks.
enum class switch_phase : std::uint8_t
{
    /// Nothing.
    rest,
    /// Load the new map's experts.
    prepare,
    /// One rank keeps the group from beginning the pass of the switch.
    hold,
    /// Each rank switches as that pass begins.
    arm,
    /// The rank that holds the pass takes no earlier order any more.
    fence_holder,
    /// No rank switches any more.
    disarm,
    /// The group may begin the pass.
    release
};

/// The name of a phase, for logs.
std::string_view name_of(switch_phase phase);

/// What a controller wants of the ranks now. Ranks are driven towards it by their agents, so a
/// directive that is lost or repeated does no harm.
struct directive
{
    fencing_token token = 0;
    /// Grows with each directive of a controller, and whenever a rank has a new agent.
    std::int64_t number = 0;
    /// The agent that it is for. An agent that started anew can't know which fences the one before
    /// it has used, so it takes only directives that were made for it.
    std::int64_t agent = 0;
    std::int64_t epoch = 0;
    switch_phase phase = switch_phase::rest;
    map_version version = 0;
    pass_number pass = 0;
    rank_number holder = 0;
    /// Stands in `prepare` only.
    std::shared_ptr<const expert_map> map = nullptr;
};

/// A promise of a rank to switch to a version as a pass begins.
struct armed_switch
{
    map_version version = 0;
    pass_number pass = 0;

    bool operator==(const armed_switch&) const = default;
};

/// What a rank says of itself.
struct rank_report
{
    std::string group;
    std::int64_t epoch = 0;
    rank_number rank = 0;
    int size = 0;
    bool is_open = false;
    /// The last pass that was begun.
    pass_number pass = 0;
    map_version version = 0;
    /// The newest version whose copy is complete; 0 for none.
    map_version prepared = 0;
    std::optional<armed_switch> armed;
    std::optional<pass_number> held;
    /// Milliseconds of the Unix clock at the rank's start; tells one life of a rank from another.
    std::int64_t born = 0;
    /// How much slower than usual the rank is; 1 for not at all.
    double pace = 1;
};

/// A rank's report, and how far its agent is with the directive.
struct rank_status
{
    rank_report report;
    /// A random number that each start of an agent draws.
    std::int64_t agent = 0;
    /// The directive that the agent had when it read the report.
    fencing_token directive_token = 0;
    std::int64_t directive_number = 0;
    /// No order that may still be carried out is left behind.
    bool is_settled = false;
    /// The rank has refused an order of this directive for a higher fence.
    bool was_fenced = false;
};

/// True when two statuses differ in more than the pass, which grows all the time.
bool differ(const rank_status& a, const rank_status& b);

enum class order_kind : std::uint8_t
{
    prepare,
    arm,
    disarm,
    hold,
    release
};

std::string_view name_of(order_kind kind);

/// An order for one rank. It is carried out only in its epoch and under no higher fence; each order
/// has a fence of its own, so one that arrives late changes nothing once a later one was accepted.
struct rank_order
{
    order_kind kind = order_kind::prepare;
    order_fence fence = 0;
    std::int64_t epoch = 0;
    map_version version = 0;
    pass_number pass = 0;
    std::shared_ptr<const expert_map> map;
};

/// The most directives of one lease, and the most orders of one directive, that fences tell apart.
inline constexpr std::int64_t directives_per_lease = 1'000'000;
inline constexpr std::int64_t orders_per_directive = 1000;

/// The versions that one lease can give, so that no controller gives one that a rank had before.
inline constexpr map_version versions_per_lease = 100'000;

/// The fence of an order: it grows with the lease, then with the directive, then with the order.
constexpr order_fence order_token(fencing_token lease, std::int64_t directive, std::int64_t order)
{
    return (lease * directives_per_lease + directive) * orders_per_directive + order;
}

/// How an order ended.
enum class order_end : std::uint8_t
{
    accepted,
    /// It does not fit the rank's state, and changed nothing.
    conflict,
    /// The rank has seen a higher token.
    fenced,
    /// No answer: it may have been carried out, or may be later.
    unknown
};

} // namespace kumquatgap::experts
