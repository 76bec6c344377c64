#include "fleet/attempt_outcome.hpp"

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
