#include "controllers/map_switch.hpp"

#include <algorithm>
#include <array>

namespace kumquatgap::controllers
{

namespace
{

/// A controller makes fewer maps than this.
constexpr map_version maps_a_controller = 1 << 20;

} // namespace

map_switch::map_switch(fence_number fence, std::size_t rank_count)
    : m_fence{fence}, m_reports(rank_count)
{
}

std::string_view map_switch::phase_name() const
{
    constexpr auto names = std::to_array<std::string_view>(
        {"asking", "preparing", "arming", "committing", "aborting", "settled", "deposed"});
    return names[static_cast<std::size_t>(m_phase)];
}

std::vector<send_order> map_switch::begin()
{
    return enter(phase::asking);
}

bool map_switch::propose()
{
    if (m_phase != phase::settled)
        return false;
    m_version = m_fence * maps_a_controller + ++m_maps_made;
    enter(phase::preparing);
    return true;
}

std::vector<send_order> map_switch::enter(phase next)
{
    m_phase = next;
    m_unanswered.clear();
    if (next == phase::settled || next == phase::deposed)
        return {};
    for (rank_number r = 0; r < m_reports.size(); ++r)
        m_unanswered.insert(r);
    return tick();
}

rank_order map_switch::current_order() const
{
    switch (m_phase)
    {
    case phase::preparing:
        return prepare_map{m_version};
    case phase::arming:
        return arm_map{m_version, m_from};
    case phase::committing:
        return commit_map{m_version};
    case phase::aborting:
        return abort_map{m_version};
    default:
        return ask_rank{};
    }
}

std::vector<send_order> map_switch::tick()
{
    std::vector<send_order> out;
    for (const auto r : m_unanswered)
        out.push_back({r, {m_fence, current_order()}});
    return out;
}

/// True when an answer is to the order of this phase, and not a late one to an earlier order.
bool map_switch::is_current(const rank_order& order) const
{
    const auto current = current_order();
    if (order.index() != current.index())
        return false;
    const auto* arm = std::get_if<arm_map>(&order);
    if (arm != nullptr && arm->from != m_from)
        return false;
    return std::visit(
        [this](const auto& it)
        {
            if constexpr (requires { it.version; })
                return it.version == m_version;
            else
                return true;
        },
        order);
}

std::vector<send_order> map_switch::received(const rank_reply& reply)
{
    if (m_phase == phase::deposed || m_phase == phase::settled || reply.fence != m_fence)
        return {};
    if (reply.answer == rank_answer::stale)
        return enter(phase::deposed);
    if (reply.answer == rank_answer::not_ready || !is_current(reply.to))
        return {};
    m_reports[reply.rank] = reply.report;
    if (reply.answer == rank_answer::too_late)
        return enter(phase::aborting);
    m_unanswered.erase(reply.rank);
    return m_unanswered.empty() ? next_phase() : std::vector<send_order>{};
}

std::vector<send_order> map_switch::next_phase()
{
    switch (m_phase)
    {
    case phase::asking:
        return decide_what_was_left();
    case phase::preparing:
        m_from = std::ranges::max_element(m_reports, {}, &rank_report::step)->step + lead_steps;
        return enter(phase::arming);
    case phase::arming:
        return enter(phase::committing);
    default:
        return enter(phase::settled);
    }
}

/// All ranks have answered and take no order of an earlier controller any more.
std::vector<send_order> map_switch::decide_what_was_left()
{
    map_version left = 0;
    for (const auto& it : m_reports)
    {
        if (it.pending)
            left = std::max(left, it.pending->version);
    }
    if (left == 0)
        return enter(phase::settled);
    m_version = left;
    const bool committed = std::ranges::any_of(
        m_reports,
        [left](const rank_report& it)
        {
            return it.active == left ||
                   (it.pending && it.pending->version == left && it.pending->committed);
        });
    return enter(committed ? phase::committing : phase::aborting);
}

} // namespace kumquatgap::controllers
