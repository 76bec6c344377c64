#include "fleet/attempt_outcome.hpp"

#include <algorithm>
#include <array>

namespace kumquatgap::fleet
{

namespace
{

constexpr auto s_names = std::to_array<std::string_view>(
    {"not_sent", "refused_unrun", "other_target", "unknown", "answered"});

/// Attempts that no target ran, after which a call is given up.
constexpr int most_unrun_attempts = 4;

} // namespace

std::string_view name_of(attempt_outcome outcome)
{
    return s_names[static_cast<std::size_t>(outcome)];
}

next_target next_after(attempt_outcome last, const std::vector<const target*>& usable,
                       const std::set<std::string>& tried)
{
    // A target that starts meanwhile may still serve the call, unless there is an answer already.
    if (usable.empty())
        return last == attempt_outcome::answered ? next_target::none : next_target::untried;
    if (std::ranges::any_of(usable, [&](const target* it) { return !tried.contains(it->id); }))
        return next_target::untried;
    const bool is_of_path = last == attempt_outcome::unknown || last == attempt_outcome::not_sent;
    return is_of_path ? next_target::any : next_target::none;
}

void attempt_record::end(attempt_outcome outcome)
{
    if (is_unrun(outcome))
        return;
    ++m_ran;
    m_may_have_run = true;
}

bool attempt_record::may_send_again() const
{
    if (m_may_have_run && !may_repeat(m_kind))
        return false;
    return m_ran < m_max_attempts && m_sent < m_max_attempts + most_unrun_attempts;
}

} // namespace kumquatgap::fleet
