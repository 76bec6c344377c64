#pragma once

#include "experts/switch_message.hpp"

#include <optional>

namespace kumquatgap::experts
{

/// Drives one rank towards a controller's directive, one order at a time. An order without an
/// answer may still be carried out, until the rank has accepted one with a higher fence; so may
/// orders of an earlier agent of the rank. The rank counts as settled once neither is possible.
class rank_driver
{
public:
    /// Orders may be carried out for this long after they were sent.
    static constexpr milliseconds late_orders{13'000};

    /// `agent` is a random number; `checks_fences` tells that the rank refuses lower fences; else
    /// only time settles it.
    rank_driver(std::int64_t agent, timestamp now, bool checks_fences = true)
        : m_agent{agent}, m_checks_fences{checks_fences}, m_late_until{now + late_orders}
    {
    }

    /// Makes this the driver of a rank that has an agent too. What it knew under an earlier
    /// directive may be outdated by that agent, so each directive leaves it unsettled until an
    /// order of it is accepted. Needs ranks that check fences.
    void share_rank() { m_shares_rank = true; }
    /// Takes a directive; older ones and those for other agents are ignored.
    void take(const directive& d);
    /// Takes a report that was asked for after the last directive and the last order's end.
    void take(const rank_report& r);
    /// The order that is to be sent now, if any. It counts as under way until order_ended().
    std::optional<rank_order> next_order(timestamp now);
    void order_ended(order_end how, timestamp now);

    bool has_report() const { return m_report.has_value(); }
    const rank_report& report() const { return *m_report; }
    /// The state for the controller.
    rank_status status(timestamp now) const;
    const directive& current() const { return m_directive; }

private:
    bool has_late_orders(timestamp now) const;
    std::optional<rank_order> wanted_order(timestamp now);
    std::optional<rank_order> disarm_order(timestamp now);
    std::optional<rank_order> fence_order(timestamp now);
    bool is_copying(timestamp now) const;
    void note_accepted(const rank_order& it);
    rank_order order(order_kind kind);

    std::int64_t m_agent;
    bool m_checks_fences;
    bool m_shares_rank = false;
    /// Orders that may still be carried out are past then.
    timestamp m_late_until;
    directive m_directive;
    /// Orders made under the current directive.
    std::int64_t m_orders = 0;
    std::optional<rank_report> m_report;
    /// The directive at the time of the report.
    std::int64_t m_report_directive = 0;
    std::optional<rank_order> m_under_way;
    bool m_needs_report = true;
    bool m_was_fenced = false;
    /// The version whose copy the rank has begun, and when it said so.
    map_version m_copying_version = 0;
    timestamp m_copying_since;
};

} // namespace kumquatgap::experts
