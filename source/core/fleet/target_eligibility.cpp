#include "fleet/target_eligibility.hpp"

#include <algorithm>
#include <array>
#include <numeric>

namespace kumquatgap::fleet
{

namespace
{

/// In the order of the variant.
constexpr auto s_names = std::to_array<std::string_view>(
    {"draining", "busy", "rate_limited", "cold", "evacuated", "outside_permitted_regions"});
static_assert(s_names.size() == ineligibility_count);

} // namespace

std::string_view ineligibility_name(std::size_t index)
{
    return s_names.at(index);
}

std::optional<timestamp> eligible_from(const ineligibility& why)
{
    const auto* it = std::get_if<busy>(&why);
    return it == nullptr ? std::nullopt : std::optional{it->until};
}

bool is_set_by_operator(const ineligibility& why)
{
    return std::holds_alternative<evacuated>(why) ||
           std::holds_alternative<outside_permitted_regions>(why);
}

target_eligibility::target_eligibility(const target_table& targets, const evacuations& evacuated,
                                       region_table regions, rate_check may_send)
    : m_targets{targets}, m_evacuations{evacuated}, m_regions{std::move(regions)},
      m_may_send{std::move(may_send)}
{
}

std::string_view target_eligibility::region_of(const target& it) const
{
    const auto found = m_regions.find(it.data_centre);
    return found == m_regions.end() ? std::string_view{} : found->second;
}

std::optional<ineligibility>
target_eligibility::judge_apart_from_rate(const target& it, const permitted_regions& regions,
                                          timestamp now) const
{
    if (regions.is_restricted() && !regions.permits(region_of(it)))
        return outside_permitted_regions{};
    if (m_evacuations.covers(it.data_centre))
        return evacuated{};
    if (m_targets.is_draining(it, now))
        return draining{};
    if (const auto until = m_targets.busy_until(it, now))
        return busy{*until};
    return std::nullopt;
}

std::optional<ineligibility>
target_eligibility::judge(const target& it, const permitted_regions& regions, timestamp now) const
{
    if (const auto why = judge_apart_from_rate(it, regions, now))
        return why;
    if (!m_may_send || m_may_send(it, now))
        return std::nullopt;
    if (const auto period = m_targets.notices().cold_period_of(it.id, now))
        return cold{period->until};
    return rate_limited{};
}

/// False when only its own entry can speak against a target. This is the usual case, and each call
/// judges all targets of its service, so it must cost next to nothing. A new reason that notices or
/// other state can give has to be added here.
bool target_eligibility::may_have_reasons(const permitted_regions& regions) const
{
    return regions.is_restricted() || !m_evacuations.empty() || m_targets.has_notices();
}

std::vector<const target*> target_eligibility::placeable(std::string_view service,
                                                         const permitted_regions& regions,
                                                         timestamp now, skip_counts& skipped) const
{
    auto out = m_targets.registered(service, now);
    const bool judges_all = may_have_reasons(regions);
    std::erase_if(out,
                  [&](const target* it)
                  {
                      if (!judges_all && !it->is_draining)
                          return false;
                      const auto why = judge(*it, regions, now);
                      if (why)
                          ++skipped.at(why->index());
                      return why.has_value();
                  });
    return out;
}

std::vector<const target*> target_eligibility::eligible(std::string_view service,
                                                        const permitted_regions& regions,
                                                        timestamp now) const
{
    auto out = m_targets.registered(service, now);
    std::erase_if(out, [&](const target* it)
                  { return judge_apart_from_rate(*it, regions, now).has_value(); });
    return out;
}

std::size_t target_eligibility::slots(std::string_view service, const permitted_regions& regions,
                                      timestamp now) const
{
    const auto all = eligible(service, regions, now);
    return std::accumulate(all.begin(), all.end(), std::size_t{0},
                           [](std::size_t sum, const target* it)
                           { return sum + static_cast<std::size_t>(it->slots); });
}

std::optional<timestamp> target_eligibility::available_from(std::string_view service,
                                                            const permitted_regions& regions,
                                                            timestamp now) const
{
    // Only notices name a time.
    if (!m_targets.has_notices())
        return std::nullopt;
    std::optional<timestamp> out;
    const bool has_eligible =
        m_targets.any_registered(service, now,
                                 [&](const target& it)
                                 {
                                     const auto why = judge_apart_from_rate(it, regions, now);
                                     if (!why)
                                         return true;
                                     if (const auto from = eligible_from(*why))
                                         out = out ? std::min(*out, *from) : *from;
                                     return false;
                                 });
    return has_eligible ? std::nullopt : out;
}

std::optional<common::result_code> target_eligibility::refusal(std::string_view service,
                                                               const permitted_regions& regions,
                                                               timestamp now) const
{
    if (m_evacuations.empty() && !regions.is_restricted())
        return std::nullopt;
    std::optional<common::result_code> out;
    const bool may_wait =
        m_targets.any_registered(service, now,
                                 [&](const target& it)
                                 {
                                     const auto why = judge_apart_from_rate(it, regions, now);
                                     if (!why || !is_set_by_operator(*why))
                                         return true;
                                     if (std::holds_alternative<evacuated>(*why))
                                         out = common::result_code::data_centre_evacuated;
                                     else if (!out)
                                         out = common::result_code::no_permitted_target;
                                     return false;
                                 });
    return may_wait ? std::nullopt : out;
}

} // namespace kumquatgap::fleet
