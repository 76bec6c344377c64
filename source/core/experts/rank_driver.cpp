#include "experts/rank_driver.hpp"

#include <algorithm>
#include <utility>

namespace kumquatgap::experts
{

namespace
{

/// A copy that is not complete after this is ordered again, because it may have been lost.
constexpr milliseconds copy_timeout{3000};

} // namespace

void rank_driver::handle(const directive& d)
{
    const bool is_newer = d.token > m_directive.token ||
                          (d.token == m_directive.token && d.number > m_directive.number);
    if (!is_newer || d.instance_id != m_instance_id)
        return;
    m_was_fenced = false;
    m_order_count = 0;
    m_directive = d;
    m_needs_report = true;
    if (m_shares_rank)
        m_late_orders_until = timestamp::max();
}

void rank_driver::handle(const rank_report& r)
{
    const bool has_restarted = m_report && (m_report->epoch != r.epoch || m_report->born != r.born);
    if (has_restarted)
        m_copying_version = 0;
    m_report = r;
    m_report_directive = m_directive.number;
    m_needs_report = false;
}

rank_order rank_driver::make_order(order_kind kind)
{
    return {kind,
            make_order_fence(m_directive.token, m_directive.number, m_order_count),
            m_report->epoch,
            m_directive.version,
            m_directive.pass,
            kind == order_kind::prepare ? m_directive.map : nullptr};
}

/// True while an order of this agent or of an earlier one may still be executed.
bool rank_driver::may_have_late_orders(timestamp now) const
{
    return now < m_late_orders_until;
}

bool rank_driver::is_copying(timestamp now) const
{
    return m_copying_version == m_directive.version && now - m_copying_since < copy_timeout;
}

/// An order that changes nothing but makes the rank refuse all earlier orders: it disarms a version
/// that no rank has had, so it is harmless whenever it arrives. None when it is not needed, or when
/// the rank does not check fences.
std::optional<rank_order> rank_driver::fence_order(timestamp now)
{
    if (!may_have_late_orders(now) || !m_checks_fences)
        return std::nullopt;
    auto out = make_order(order_kind::disarm);
    out.version = std::max(m_directive.version, m_report->prepared) + 1;
    return out;
}

/// Disarms the rank, or fences off late orders that might still arm it.
std::optional<rank_order> rank_driver::disarm_order(timestamp now)
{
    if (!m_report->armed)
        return fence_order(now);
    auto out = make_order(order_kind::disarm);
    out.version = m_report->armed->version;
    return out;
}

std::optional<rank_order> rank_driver::order_for_phase(timestamp now)
{
    const auto& r = *m_report;
    const auto& d = m_directive;
    const armed_switch wanted{d.version, d.pass};
    switch (d.phase)
    {
    case switch_phase::rest:
        return std::nullopt;
    case switch_phase::prepare:
        // A prepare order that got no answer keeps the rank unsettled, whether it was executed or
        // not, so it is fenced off as soon as it is no longer needed.
        if (r.prepared >= d.version || r.version >= d.version || is_copying(now))
            return fence_order(now);
        return d.map ? std::optional{make_order(order_kind::prepare)} : std::nullopt;
    case switch_phase::hold:
        if (r.rank != d.holder)
            return std::nullopt;
        // A hold order that got no answer must not be executed later, neither when the rank already
        // holds the pass nor when the pass has begun.
        return r.held || r.pass >= d.pass ? fence_order(now) : make_order(order_kind::hold);
    case switch_phase::arm:
        if (r.armed == wanted || r.version == d.version)
            return std::nullopt;
        return make_order(order_kind::arm);
    case switch_phase::fence_holder:
        return r.rank == d.holder ? fence_order(now) : std::nullopt;
    case switch_phase::disarm:
        return disarm_order(now);
    case switch_phase::release:
    {
        // A release order must not be executed late either; it might undo the next hold.
        if (!r.held)
            return fence_order(now);
        auto out = make_order(order_kind::release);
        out.pass = *r.held;
        return out;
    }
    }
    return std::nullopt;
}

std::optional<rank_order> rank_driver::next_order(timestamp now)
{
    if (m_pending_order || m_needs_report || !m_report || m_directive.token == 0)
        return std::nullopt;
    if (!m_report->is_open || m_report->epoch != m_directive.epoch ||
        m_order_count + 1 >= orders_per_directive)
        return std::nullopt;
    m_pending_order = order_for_phase(now);
    if (m_pending_order)
        ++m_order_count;
    return m_pending_order;
}

void rank_driver::order_ended(order_outcome outcome, timestamp now)
{
    if (!m_pending_order)
        return;
    const auto ended = *std::exchange(m_pending_order, std::nullopt);
    m_needs_report = true;
    switch (outcome)
    {
    case order_outcome::accepted:
        if (ended.kind == order_kind::prepare)
        {
            m_copying_version = ended.version;
            m_copying_since = now;
        }
        // All earlier orders have lower fences.
        if (m_checks_fences)
            m_late_orders_until = now;
        apply_accepted(ended);
        return;
    case order_outcome::unknown:
        m_late_orders_until = now + max_order_delay;
        return;
    case order_outcome::fenced:
        m_was_fenced = true;
        return;
    case order_outcome::conflict:
        return;
    }
}

/// Updates the report with the effect of an accepted order, so that no new one is needed. Not
/// possible for `prepare`, because copying takes time, nor for an order that only fences, because
/// its acceptance does not show the rank's state.
void rank_driver::apply_accepted(const rank_order& it)
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
            m_instance_id,
            m_directive.token,
            m_needs_report ? 0 : m_report_directive,
            !may_have_late_orders(now) && !m_pending_order && !m_needs_report,
            m_was_fenced};
}

} // namespace kumquatgap::experts
