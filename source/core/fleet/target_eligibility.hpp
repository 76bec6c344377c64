#pragma once

#include "common/result_code.hpp"
#include "fleet/evacuations.hpp"
#include "fleet/regions.hpp"
#include "fleet/target_table.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquatgap::fleet
{

/// The target finishes its calls and takes no new ones.
struct draining
{
};

/// The target has asked for no calls for a time.
struct busy
{
    timestamp until;
};

/// The rate that the target accepts is used up for now.
struct rate_limited
{
};

/// The target is cold, and the rate that it can handle until then is used up.
struct cold
{
    timestamp until;
};

/// The operator evacuates the target's data centre.
struct evacuated
{
};

/// The call must not be served in the region of the target's data centre, or that region is not
/// known.
struct outside_permitted_regions
{
};

/// Why a call is not sent to a target. A new reason also needs a row in the name table, and
/// target_eligibility::judge() to find it.
using ineligibility =
    std::variant<draining, busy, rate_limited, cold, evacuated, outside_permitted_regions>;

/// The number of reasons; a reason's number is its index in the variant.
inline constexpr std::size_t ineligibility_count = std::variant_size_v<ineligibility>;

/// How often targets were left out, by the number of the reason.
using skip_counts = std::array<std::int64_t, ineligibility_count>;

/// The name of a reason by its number, for logs and metrics.
std::string_view ineligibility_name(std::size_t index);
/// From when on the reason no longer applies; none when that is not known.
std::optional<timestamp> eligible_from(const ineligibility& why);
/// True for a reason that only the operator ends, so that a call can't wait for its end.
bool is_set_by_operator(const ineligibility& why);

/// Decides which targets a call may be sent to. All reasons against a target are found here, for
/// placement, retries and the predictions of the queue.
class target_eligibility
{
public:
    /// Returns false while the target's rate is used up.
    using rate_check = std::function<bool(const target&, timestamp)>;

    target_eligibility(const target_table& targets, const evacuations& evacuated,
                       region_table regions, rate_check may_send = {});

    /// Why the call is not sent to a registered target now; none when it may be.
    std::optional<ineligibility> judge(const target& it, const permitted_regions& regions,
                                       timestamp now) const;
    /// The same without reasons that apply to single moments: the target's rate. Retries and
    /// predictions count a target whose rate is used up, since the next call may be sent soon.
    std::optional<ineligibility>
    judge_apart_from_rate(const target& it, const permitted_regions& regions, timestamp now) const;
    /// The targets of a service to which the call may be sent now, by id. Adds the targets that are
    /// left out to `skipped`.
    std::vector<const target*> placeable(std::string_view service, const permitted_regions& regions,
                                         timestamp now, skip_counts& skipped) const;
    /// The targets of a service that may serve the call, by id, apart from their rates.
    std::vector<const target*> eligible(std::string_view service, const permitted_regions& regions,
                                        timestamp now) const;
    /// The slots of these targets.
    std::size_t slots(std::string_view service, const permitted_regions& regions,
                      timestamp now) const;
    /// The earliest time at which a target may serve the call again, if none may now and at least
    /// one has named a time; none otherwise.
    std::optional<timestamp> available_from(std::string_view service,
                                            const permitted_regions& regions, timestamp now) const;
    /// Why the call has to be refused: the service has targets, and only the operator's evacuations
    /// and restrictions keep the call from all of them. None otherwise.
    std::optional<common::result_code>
    refusal(std::string_view service, const permitted_regions& regions, timestamp now) const;

private:
    bool may_have_reasons(const permitted_regions& regions) const;
    std::string_view region_of(const target& it) const;

    const target_table& m_targets;
    const evacuations& m_evacuations;
    region_table m_regions;
    rate_check m_may_send;
};

} // namespace kumquatgap::fleet
