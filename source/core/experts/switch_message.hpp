#pragma once

#include "common/clock.hpp"
#include "experts/expert_map.hpp"
#include "kv/position.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatgap::experts
{

using common::milliseconds;
using common::timestamp;

/// The fencing token of a group's controller; see make_fencing_token().
using fencing_token = std::int64_t;
/// The fencing token of one order; see make_order_fence().
using order_fence = std::int64_t;
using map_version = std::int64_t;
/// The number of a forward pass of the group, counted from the start of the epoch.
using pass_number = std::int64_t;
using rank_number = int;

/// The state that a controller wants all ranks to reach.
enum class switch_phase : std::uint8_t
{
    /// No switch is in progress.
    rest,
    /// Each rank copies the experts that the new map adds to it.
    prepare,
    /// One rank, the holder, keeps the group from beginning the pass of the switch.
    hold,
    /// Each rank is to switch when that pass begins.
    arm,
    /// The holder is brought to refuse all earlier orders.
    fence_holder,
    /// No rank is to switch.
    disarm,
    /// The group may begin the pass.
    release
};

/// The name of a phase in logs.
std::string_view name_of(switch_phase phase);

/// The state that a controller wants the ranks to reach. Agents drive their ranks towards it, so a
/// directive that is lost or repeated does no harm.
struct directive
{
    fencing_token token = 0;
    /// Increases with each directive of a controller, and when a rank has a new agent or its agent
    /// was fenced.
    std::int64_t number = 0;
    /// The instance id of the agent that the directive is for. A restarted agent does not know
    /// which fences its predecessor has used, so it accepts only directives with its own id.
    std::int64_t instance_id = 0;
    std::int64_t epoch = 0;
    switch_phase phase = switch_phase::rest;
    map_version version = 0;
    pass_number pass = 0;
    rank_number holder = 0;
    /// Set in `prepare` only.
    std::shared_ptr<const expert_map> map = nullptr;
};

/// A version that a rank will switch to, and the pass at whose start it does so.
struct armed_switch
{
    map_version version = 0;
    pass_number pass = 0;

    bool operator==(const armed_switch&) const = default;
};

/// The state of a rank as the rank reports it.
struct rank_report
{
    std::string group;
    std::int64_t epoch = 0;
    rank_number rank = 0;
    int size = 0;
    bool is_open = false;
    /// The last pass that the rank has begun.
    pass_number pass = 0;
    map_version version = 0;
    /// The newest version whose experts are all copied; 0 for none.
    map_version prepared = 0;
    std::optional<armed_switch> armed;
    std::optional<pass_number> held;
    /// The start time of the rank in milliseconds since the Unix epoch; shows whether it was
    /// restarted.
    std::int64_t born = 0;
    /// How many times slower than its normal speed the rank runs; 1 is normal.
    double slowdown = 1;
};

/// A rank's report, and its agent's progress with the directive.
struct rank_status
{
    rank_report report;
    /// The random number that an agent draws when it starts.
    std::int64_t instance_id = 0;
    /// The token and number of the directive that the agent had when it read the report.
    fencing_token directive_token = 0;
    std::int64_t directive_number = 0;
    /// True when no earlier order can still be executed.
    bool is_settled = false;
    /// True when the rank has refused an order of this directive because of a higher fence.
    bool was_fenced = false;
};

/// True when two statuses differ in anything but the pass, which changes all the time.
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

/// An order to one rank. The rank executes it only in its epoch, and only when it has accepted no
/// order with a higher fence. Each order has a higher fence than those before it, so an order that
/// arrives late has no effect once a later one was accepted.
struct rank_order
{
    order_kind kind = order_kind::prepare;
    order_fence fence = 0;
    std::int64_t epoch = 0;
    map_version version = 0;
    pass_number pass = 0;
    std::shared_ptr<const expert_map> map;
};

/// The most changes that a store can lose when it is restored from a copy.
inline constexpr fencing_token max_lost_changes = 100'000;

/// The fencing token of the controller whose lease key was written at this position. Within an era
/// tokens grow with the revision. A restored store goes back by fewer revisions than each era adds.
/// The first era adds nothing, so builds that know no eras make the same tokens in it.
constexpr fencing_token make_fencing_token(const kv::position& written_at)
{
    const auto restores = written_at.in_era > 1 ? written_at.in_era - 1 : 0;
    return restores * max_lost_changes + written_at.at;
}

/// The maximum number of directives per lease, and of orders per directive, with distinct fences.
inline constexpr std::int64_t directives_per_lease = 1'000'000;
inline constexpr std::int64_t orders_per_directive = 1000;

/// The number of map versions reserved for each lease, so that no two controllers use the same one.
inline constexpr map_version versions_per_lease = 100'000;

/// The fence of an order, which is ordered by the lease, then the directive, then the order.
constexpr order_fence make_order_fence(fencing_token lease, std::int64_t directive,
                                       std::int64_t order)
{
    return (lease * directives_per_lease + directive) * orders_per_directive + order;
}

/// How an order ended.
enum class order_outcome : std::uint8_t
{
    accepted,
    /// The order does not fit the rank's state. It had no effect.
    conflict,
    /// The rank has accepted an order with a higher fence.
    fenced,
    /// There was no answer. The order may have been executed, or may still be.
    unknown
};

} // namespace kumquatgap::experts
