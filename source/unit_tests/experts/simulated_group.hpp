#pragma once

#include "experts/rank_driver.hpp"
#include "experts/switch_controller.hpp"
#include "rank_engine.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace kumquatgap::experts
{

/// Simulates a group in lock-step, its agents, and controllers that fail, are paused and resume.
/// Orders, statuses and directives are lost, repeated and delayed.
class simulated_group
{
public:
    static constexpr auto step_names =
        std::to_array<std::string_view>({"pass",
                                         "pass",
                                         "advance",
                                         "advance",
                                         "advance",
                                         "advance",
                                         "advance",
                                         "advance",
                                         "advance",
                                         "advance",
                                         "advance",
                                         "advance",
                                         "report",
                                         "order",
                                         "order_executed_answer_lost",
                                         "order_delayed",
                                         "order_delayed",
                                         "order_delayed",
                                         "deliver_delayed",
                                         "deliver_delayed",
                                         "directive",
                                         "old_directive",
                                         "old_controller",
                                         "propose",
                                         "propose",
                                         "new_controller",
                                         "restart_agent",
                                         "restart_rank",
                                         "wait",
                                         "remote_driver",
                                         "advance_remote_driver",
                                         "advance_remote_driver",
                                         "advance_remote_driver"});

    explicit simulated_group(mutation active = mutation::none) : m_mutation{active}
    {
        m_ranks.resize(rank_count);
        for (rank_number r = 0; r < rank_count; ++r)
        {
            m_ranks[at(r)].state.rank = r;
            m_ranks[at(r)].state.size = rank_count;
            m_ranks[at(r)].restart(m_epoch);
            m_agents.push_back(new_agent(r));
            m_before_last_order.push_back(m_ranks[at(r)].state);
        }
        new_controller();
    }

    void step(std::size_t kind, std::uint32_t a, std::uint32_t b)
    {
        const auto r = static_cast<rank_number>(a % rank_count);
        const auto name = step_names[kind];
        m_now += milliseconds{5};
        // Remote drivers are left out where they do not matter for the mutation, because the
        // sequences of steps that detect one are long.
        const bool wants_remote_drivers =
            m_mutation == mutation::none || m_mutation == mutation::remote_drivers_trust_old_orders;
        if (!wants_remote_drivers && name.find("remote_driver") != std::string_view::npos)
            return;
        if (name == "pass")
            begin_pass();
        else if (name == "advance")
            advance(r);
        else if (name == "report")
            read_report(r, b % 4 == 0);
        else if (name == "order")
            order(r, delivery::answered);
        else if (name == "order_executed_answer_lost")
            order(r, delivery::executed_answer_lost);
        else if (name == "order_delayed")
            delay_order_to(r);
        else if (name == "deliver_delayed")
            deliver_delayed(b);
        else if (name == "directive")
            give_directive(r);
        else if (name == "old_directive")
            old_directive(r, b);
        else if (name == "old_controller")
            tick(*m_controllers[b % m_controllers.size()]);
        else if (name == "propose")
            m_controllers.back()->propose(std::make_shared<const expert_map>(), m_now);
        else if (name == "new_controller")
            new_controller();
        else if (name == "restart_agent")
            restart_agent(r);
        else if (name == "restart_rank")
            restart_rank(r, b);
        else if (name == "remote_driver")
            begin_remote_driver(r);
        else if (name == "advance_remote_driver")
            advance_remote_driver(r, b);
        else
            wait();
    }

    /// Ends all faults. The group must then begin passes and switch to a new map.
    void settle()
    {
        m_remote_drivers.clear();
        while (!m_delayed_orders.empty())
            deliver_delayed(0);
        m_now += rank_driver::max_order_delay + milliseconds{1};
        const auto start = m_ranks.front().state.pass;
        const auto before = m_ranks.front().state.version;
        constexpr int enough_rounds = 400;
        for (int i = 0; i < enough_rounds; ++i)
        {
            m_controllers.back()->propose(std::make_shared<const expert_map>(), m_now);
            round();
            m_now += milliseconds{10};
        }
        RC_ASSERT(m_ranks.front().state.pass > start);
        RC_ASSERT(m_ranks.front().state.version > before);
    }

private:
    enum class delivery
    {
        answered,
        executed_answer_lost,
        delayed
    };
    struct delayed_order
    {
        rank_number rank;
        rank_order what;
    };
    /// A driver on another host, which acts beside the rank's own agent. Its reports are old, but
    /// not older than its own last order.
    struct remote_driver
    {
        std::unique_ptr<rank_driver> driver;
        rank_report old_report;
    };
    static constexpr int rank_count = 3;

    static std::size_t at(rank_number r) { return static_cast<std::size_t>(r); }

    std::unique_ptr<rank_driver> new_agent(rank_number /*r*/)
    {
        return std::make_unique<rank_driver>(++m_agents_started, m_now);
    }

    void new_controller()
    {
        ++m_token;
        m_controllers.push_back(std::make_unique<switch_controller>(m_token, switch_options{}));
        // A controller learns of the ranks from their agents' statuses.
        for (rank_number r = 0; r < rank_count; ++r)
            read_report(r, false);
    }

    void begin_pass()
    {
        const auto next = m_ranks.front().state.pass + 1;
        if (std::ranges::any_of(m_ranks, [&](const auto& it) { return it.state.held == next; }))
            return;
        for (auto& it : m_ranks)
            it.begin_pass();
        const auto version = m_ranks.front().state.version;
        RC_ASSERT(std::ranges::all_of(m_ranks,
                                      [&](const auto& it) { return it.state.version == version; }));
    }

    void read_report(rank_number r, bool lose_status)
    {
        if (m_agents.size() != rank_count)
            return;
        auto& driver = *m_agents[at(r)];
        driver.handle(m_ranks[at(r)].state);
        if (lose_status)
            return;
        auto s = driver.status(m_now);
        apply_mutation(s);
        for (auto& it : m_controllers)
            it->handle(s, m_now);
    }

    /// Changes a status to what a controller or an agent with the mutation would assume.
    void apply_mutation(rank_status& s) const
    {
        const auto& d = m_controllers.back()->current();
        if (m_mutation == mutation::hold_not_awaited && d.phase == switch_phase::hold)
        {
            s.report.held = d.pass;
            s.is_settled = true;
            s.directive_token = d.token;
            s.directive_number = d.number;
        }
        const bool any_armed =
            std::ranges::any_of(m_ranks, [](const auto& it) { return it.state.armed.has_value(); });
        if (m_mutation == mutation::one_armed_rank_suffices && d.phase == switch_phase::arm &&
            any_armed)
            s.report.armed = armed_switch{d.version, d.pass};
        if (m_mutation == mutation::late_orders_ignored)
            s.is_settled = true;
    }

    void order(rank_number r, delivery kind)
    {
        auto& driver = *m_agents[at(r)];
        auto wanted = driver.next_order(m_now);
        if (!wanted)
            return;
        if (m_mutation == mutation::one_fence_per_lease)
            wanted->fence = driver.current().token;
        if (kind == delivery::delayed)
        {
            m_delayed_orders.push_back({r, *wanted});
            return driver.order_ended(order_outcome::unknown, m_now);
        }
        const auto outcome = execute(r, *wanted);
        driver.order_ended(kind == delivery::answered ? outcome : order_outcome::unknown, m_now);
    }

    void deliver_delayed(std::uint32_t b)
    {
        if (m_delayed_orders.empty())
            return;
        const auto it =
            m_delayed_orders.begin() + static_cast<std::ptrdiff_t>(b % m_delayed_orders.size());
        const auto what = *it;
        m_delayed_orders.erase(it);
        execute(what.rank, what.what);
    }

    void give_directive(rank_number r)
    {
        m_old_directives.push_back(m_controllers.back()->directive_for(r));
        take_directive(r, m_old_directives.back());
    }

    void take_directive(rank_number r, directive d)
    {
        if (m_mutation == mutation::agents_ignore_leases)
            d.token = m_token;
        if (m_mutation == mutation::agents_ignore_instance_ids)
            d.instance_id = m_agents[at(r)]->status(m_now).instance_id;
        m_agents[at(r)]->handle(d);
    }

    void old_directive(rank_number r, std::uint32_t b)
    {
        if (!m_old_directives.empty())
            take_directive(r, m_old_directives[b % m_old_directives.size()]);
    }

    void tick(switch_controller& it) { it.tick(m_now); }

    void restart_agent(rank_number r) { m_agents[at(r)] = new_agent(r); }

    /// Advances a rank as far as its agent and the controller can in one step.
    void advance(rank_number r)
    {
        give_directive(r);
        read_report(r, false);
        order(r, delivery::answered);
        read_report(r, false);
        tick(*m_controllers.back());
    }

    void begin_remote_driver(rank_number r)
    {
        m_remote_drivers[r] = {new_agent(r), m_before_last_order[at(r)]};
        if (m_mutation != mutation::remote_drivers_trust_old_orders)
            m_remote_drivers[r].driver->share_rank();
    }

    void advance_remote_driver(rank_number r, std::uint32_t b)
    {
        const auto found = m_remote_drivers.find(r);
        if (found == m_remote_drivers.end())
            return;
        auto& it = found->second;
        const auto report = [&]
        {
            for (auto& c : m_controllers)
                c->handle(it.driver->status(m_now), m_now);
        };
        const bool is_old = b % 2 == 0;
        it.driver->handle(is_old ? it.old_report : m_ranks[at(r)].state);
        report();
        it.driver->handle(m_controllers.back()->directive_for(r));
        it.driver->handle(is_old ? it.old_report : m_ranks[at(r)].state);
        if (const auto wanted = it.driver->next_order(m_now))
        {
            const auto outcome = execute(r, *wanted);
            it.driver->order_ended(b % 3 == 0 ? order_outcome::unknown : outcome, m_now);
            it.old_report = m_ranks[at(r)].state;
        }
        report();
        tick(*m_controllers.back());
    }

    order_outcome execute(rank_number r, const rank_order& it)
    {
        m_before_last_order[at(r)] = m_ranks[at(r)].state;
        return m_ranks[at(r)].carry_out(it, m_mutation);
    }

    /// The rank's next order is delayed, and its answer is lost.
    void delay_order_to(rank_number r)
    {
        give_directive(r);
        read_report(r, false);
        order(r, delivery::delayed);
    }

    /// Waits until a phase times out. The ranks still report.
    void wait()
    {
        m_now += switch_options{}.arm_timeout + milliseconds{1};
        for (rank_number r = 0; r < rank_count; ++r)
            read_report(r, false);
        tick(*m_controllers.back());
    }

    /// Restarts a rank. The other ranks stall until the group has formed again, in a new epoch.
    void restart_rank(rank_number r, std::uint32_t b)
    {
        // A restart ends the switch in progress, so restarts are rare unless the mutation concerns
        // them.
        constexpr std::uint32_t rare = 3;
        if (m_mutation != mutation::ranks_ignore_epochs && b % rare != 0)
            return;
        ++m_epoch;
        for (auto& it : m_ranks)
            it.restart(m_epoch);
        m_ranks[at(r)].highest = 0;
    }

    /// Advances each rank once and begins a pass.
    void round()
    {
        for (rank_number r = 0; r < rank_count; ++r)
            advance(r);
        begin_pass();
    }

    mutation m_mutation;
    kumquatgap::common::timestamp m_now{milliseconds{1'000'000}};
    std::int64_t m_epoch = 1;
    fencing_token m_token = 0;
    std::int64_t m_agents_started = 0;
    std::vector<rank_engine> m_ranks;
    std::vector<std::unique_ptr<rank_driver>> m_agents;
    std::map<rank_number, remote_driver> m_remote_drivers;
    /// The state of each rank before the last order that it received.
    std::vector<rank_report> m_before_last_order;
    std::vector<std::unique_ptr<switch_controller>> m_controllers;
    std::vector<directive> m_old_directives;
    std::vector<delayed_order> m_delayed_orders;
};

} // namespace kumquatgap::experts
