#include "experts/rank_driver.hpp"

#include <algorithm>
#include <utility>

namespace kumquatgap::experts
{

namespace
{

/// A copy that is not complete after this long is ordered again, in case it was lost.
constexpr milliseconds longest_copy{3000};

} // namespace

void rank_driver::take(const directive& d)
{
    const bool is_newer = d.token > m_directive.token ||
                          (d.token == m_directive.token && d.number > m_directive.number);
    if (!is_newer || d.agent != m_agent)
        return;
    m_was_fenced = false;
    m_orders = 0;
    m_directive = d;
    m_needs_report = true;
    if (m_shares_rank)
        m_late_until = timestamp::max();
}

void rank_driver::take(const rank_report& r)
{
    const bool is_other_life = m_report && (m_report->epoch != r.epoch || m_report->born != r.born);
    if (is_other_life)
        m_copying_version = 0;
    m_report = r;
    m_report_directive = m_directive.number;
    m_needs_report = false;
}

rank_order rank_driver::order(order_kind kind)
{
    return {kind,
            order_token(m_directive.token, m_directive.number, m_orders),
            m_report->epoch,
            m_directive.version,
            m_directive.pass,
            kind == order_kind::prepare ? m_directive.map : nullptr};
}

/// True while an order of this agent or of an earlier one may still be carried out.
bool rank_driver::has_late_orders(timestamp now) const
{
    return now < m_late_until;
}

bool rank_driver::is_copying(timestamp now) const
{
    return m_copying_version == m_directive.version && now - m_copying_since < longest_copy;
}

/// An order that changes nothing and fences off what may still arrive: it takes back a promise for
/// a version that no rank has had. Whenever it arrives itself, it does no harm.
std::optional<rank_order> rank_driver::fence_order(timestamp now)
{
    if (!has_late_orders(now) || !m_checks_fences)
        return std::nullopt;
    auto out = order(order_kind::disarm);
    out.version = std::max(m_directive.version, m_report->prepared) + 1;
    return out;
}

/// Takes the rank's promise back, also one that a late order might still make.
std::optional<rank_order> rank_driver::disarm_order(timestamp now)
{
    if (!m_report->armed)
        return fence_order(now);
    auto out = order(order_kind::disarm);
    out.version = m_report->armed->version;
    return out;
}

std::optional<rank_order> rank_driver::wanted_order(timestamp now)
{
    const auto& r = *m_report;
    const auto& d = m_directive;
    const armed_switch wanted{d.version, d.pass};
    switch (d.phase)
    {
    case switch_phase::rest:
        return std::nullopt;
    case switch_phase::prepare:
        if (r.prepared >= d.version || r.version >= d.version || is_copying(now) || !d.map)
            return std::nullopt;
        return order(order_kind::prepare);
    case switch_phase::hold:
        if (r.rank != d.holder)
            return std::nullopt;
        // A hold that got no answer must not come later, neither once it is seen to be in force nor
        // once its pass has begun.
        return r.held || r.pass >= d.pass ? fence_order(now) : order(order_kind::hold);
    case switch_phase::arm:
        if (r.armed == wanted || r.version == d.version)
            return std::nullopt;
        return order(order_kind::arm);
    case switch_phase::fence_holder:
        return r.rank == d.holder ? fence_order(now) : std::nullopt;
    case switch_phase::disarm:
        return disarm_order(now);
    case switch_phase::release:
    {
        // Nor may a release, of which the next hold could be the victim.
        if (!r.held)
            return fence_order(now);
        auto out = order(order_kind::release);
        out.pass = *r.held;
        return out;
    }
    }
    return std::nullopt;
}

std::optional<rank_order> rank_driver::next_order(timestamp now)
{
    if (m_under_way || m_needs_report || !m_report || m_directive.token == 0)
        return std::nullopt;
    if (!m_report->is_open || m_report->epoch != m_directive.epoch ||
        m_orders + 1 >= orders_per_directive)
        return std::nullopt;
    m_under_way = wanted_order(now);
    if (m_under_way)
        ++m_orders;
    return m_under_way;
}

void rank_driver::order_ended(order_end how, timestamp now)
{
    if (!m_under_way)
        return;
    const auto ended = *std::exchange(m_under_way, std::nullopt);
    m_needs_report = true;
    switch (how)
    {
    case order_end::accepted:
        if (ended.kind == order_kind::prepare)
        {
            m_copying_version = ended.version;
            m_copying_since = now;
        }
        // Every order before this one has a lower fence.
        if (m_checks_fences)
            m_late_until = now;
        note_accepted(ended);
        return;
    case order_end::unknown:
        m_late_until = now + late_orders;
        return;
    case order_end::fenced:
        m_was_fenced = true;
        return;
    case order_end::conflict:
        return;
    }
}

/// What an accepted order has changed is known without another report. The others are not: a copy
/// takes its time, and an order that only fences tells nothing of the rank's state.
void rank_driver::note_accepted(const rank_order& it)
{
    const bool is_fence_only = it.kind == order_kind::disarm &&
                               (!m_report->armed || m_report->armed->version != it.version);
    if (it.kind == order_kind::prepare || is_fence_only)
        return;
    m_needs_report = false;
    if (it.kind == order_kind::arm)
        m_report->armed = armed_switch{it.version, it.pass};
    else if (it.kind == order_kind::disarm)
        m_report->armed.reset();
    else if (it.kind == order_kind::hold)
        m_report->held = it.pass;
    else
        m_report->held.reset();
}

rank_status rank_driver::status(timestamp now) const
{
    return {*m_report,
            m_agent,
            m_directive.token,
            m_needs_report ? 0 : m_report_directive,
            !has_late_orders(now) && !m_under_way && !m_needs_report,
            m_was_fenced};
}

} // namespace kumquatgap::experts
