#pragma once

#include "experts/switch_message.hpp"

#include <optional>

namespace kumquatgap::experts
{

/// Drives one rank towards a controller's directive, one order at a time. An order without an
/// answer may still be executed until the rank has accepted one with a higher fence. The same holds
/// for orders of an earlier agent of the rank. The rank is settled once no such order is possible.
class rank_driver
{
public:
    /// The longest time after sending an order at which it may be executed.
    static constexpr milliseconds max_order_delay{13'000};

    /// `instance_id` is a random number. `checks_fences` is true when the rank refuses orders with
    /// lower fences; otherwise it is settled only after max_order_delay.
    rank_driver(std::int64_t instance_id, timestamp now, bool checks_fences = true)
        : m_instance_id{instance_id}, m_checks_fences{checks_fences}, m_late_orders_until{
                                                                          now + max_order_delay}
    {
    }

    /// Declares that the rank's own agent may also send orders, as for a remote driver. Orders of
    /// that agent may have changed the rank since an earlier directive, so after each directive the
    /// rank is unsettled until an order of this driver is accepted. Requires ranks that check
    /// fences.
    void share_rank() { m_shares_rank = true; }
    /// Sets the directive. Older ones and those for other agent instances are ignored.
    void handle(const directive& d);
    /// Sets the report. It must have been requested after the last directive was set and after the
    /// last order ended.
    void handle(const rank_report& r);
    /// The order that is to be sent now, if any. It is pending until order_ended() is called.
    std::optional<rank_order> next_order(timestamp now);
    /// Handles the outcome of the pending order. A new report is needed afterwards, unless the
    /// outcome itself shows the rank's new state.
    void order_ended(order_outcome outcome, timestamp now);

    bool has_report() const { return m_report.has_value(); }
    const rank_report& report() const { return *m_report; }
    /// The status for the controller. Requires a report.
    rank_status status(timestamp now) const;
    const directive& current() const { return m_directive; }

private:
    bool may_have_late_orders(timestamp now) const;
    std::optional<rank_order> order_for_phase(timestamp now);
    std::optional<rank_order> disarm_order(timestamp now);
    std::optional<rank_order> fence_order(timestamp now);
    bool is_copying(timestamp now) const;
    void apply_accepted(const rank_order& it);
    rank_order make_order(order_kind kind);

    std::int64_t m_instance_id;
    bool m_checks_fences;
    bool m_shares_rank = false;
    /// No earlier order can be executed after this.
    timestamp m_late_orders_until;
    directive m_directive;
    /// The number of orders created for the current directive.
    std::int64_t m_order_count = 0;
    std::optional<rank_report> m_report;
    /// The number of the directive at the time of the report.
    std::int64_t m_report_directive = 0;
    std::optional<rank_order> m_pending_order;
    bool m_needs_report = true;
    bool m_was_fenced = false;
    /// The version that the rank is copying experts for, and when it accepted the order.
    map_version m_copying_version = 0;
    timestamp m_copying_since;
};

} // namespace kumquatgap::experts
