#include "fleet/attempt_outcome.hpp"

#include <algorithm>
#include <array>

namespace kumquatgap::fleet
{

namespace
{

constexpr auto s_names = std::to_array<std::string_view>(
    {"not_sent", "refused_unrun", "other_target", "unknown", "answered"});

/// A call fails after this many attempts that no target executed, beside max_attempts.
constexpr int max_unexecuted_attempts = 4;

} // namespace

std::string_view name_of(attempt_outcome outcome)
{
    return s_names[static_cast<std::size_t>(outcome)];
}

next_target next_target_after(attempt_outcome last, const std::vector<const target*>& usable,
                              const std::set<std::string>& tried)
{
    // A target that starts in the meantime may still serve the call, unless there is a response
    // already.
    if (usable.empty())
        return last == attempt_outcome::answered ? next_target::none : next_target::untried;
    if (std::ranges::any_of(usable, [&](const target* it) { return !tried.contains(it->id); }))
        return next_target::untried;
    const bool is_path_failure =
        last == attempt_outcome::unknown || last == attempt_outcome::not_sent;
    return is_path_failure ? next_target::any : next_target::none;
}

void attempt_history::end(attempt_outcome outcome)
{
    if (is_not_executed(outcome))
        return;
    ++m_possibly_executed;
    m_may_have_executed = true;
}

bool attempt_history::may_retry() const
{
    if (m_may_have_executed && !is_safe_to_retry(m_kind))
        return false;
    return m_possibly_executed < m_max_attempts &&
           m_sent < m_max_attempts + max_unexecuted_attempts;
}

} // namespace kumquatgap::fleet
