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

/// A group in lock-step, its agents, and controllers that die, are paused and come back. Orders,
/// statuses and directives are lost, repeated and late.
class group_world
{
public:
    static constexpr auto step_names = std::to_array<std::string_view>({"pass",
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
                                                                        "order_lost_and_done",
                                                                        "order_late",
                                                                        "order_late",
                                                                        "order_late",
                                                                        "deliver_late",
                                                                        "deliver_late",
                                                                        "directive",
                                                                        "old_directive",
                                                                        "old_controller",
                                                                        "propose",
                                                                        "propose",
                                                                        "new_controller",
                                                                        "restart_agent",
                                                                        "restart_rank",
                                                                        "wait",
                                                                        "stand_in",
                                                                        "advance_stand_in",
                                                                        "advance_stand_in",
                                                                        "advance_stand_in"});

    explicit group_world(mutation broken = mutation::none) : m_broken{broken}
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
        // Each missing guard is looked for where it matters, since chains of faults are long.
        const bool wants_stand_ins =
            m_broken == mutation::none || m_broken == mutation::stand_ins_trust_old_orders;
        if (!wants_stand_ins && name.find("stand_in") != std::string_view::npos)
            return;
        if (name == "pass")
            begin_pass();
        else if (name == "advance")
            advance(r);
        else if (name == "report")
            read_report(r, b % 4 == 0);
        else if (name == "order")
            order(r, delivery::answered);
        else if (name == "order_lost_and_done")
            order(r, delivery::done_and_lost);
        else if (name == "order_late")
            late_order_to(r);
        else if (name == "deliver_late")
            deliver_late(b);
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
        else if (name == "stand_in")
            begin_stand_in(r);
        else if (name == "advance_stand_in")
            advance_stand_in(r, b);
        else
            wait();
    }

    /// Once the faults have ended the group must go on and take a new map.
    void settle()
    {
        m_stand_ins.clear();
        while (!m_late.empty())
            deliver_late(0);
        m_now += rank_driver::late_orders + milliseconds{1};
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
        done_and_lost,
        late
    };
    struct late_order
    {
        rank_number rank;
        rank_order what;
    };
    /// A driver of a rank from afar, beside the rank's agent. Its reports are old, but not older
    /// than its own last order.
    struct stand_in
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
        // A controller hears of the ranks by their agents' statuses.
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
        auto& agent = *m_agents[at(r)];
        agent.take(m_ranks[at(r)].state);
        if (lose_status)
            return;
        auto s = agent.status(m_now);
        falsify(s);
        for (auto& it : m_controllers)
            it->take(s, m_now);
    }

    /// What a controller or an agent without one of its guards would believe.
    void falsify(rank_status& s) const
    {
        const auto& d = m_controllers.back()->current();
        if (m_broken == mutation::hold_is_not_awaited && d.phase == switch_phase::hold)
        {
            s.report.held = d.pass;
            s.is_settled = true;
            s.directive_token = d.token;
            s.directive_number = d.number;
        }
        const bool any_armed =
            std::ranges::any_of(m_ranks, [](const auto& it) { return it.state.armed.has_value(); });
        if (m_broken == mutation::one_armed_is_enough && d.phase == switch_phase::arm && any_armed)
            s.report.armed = armed_switch{d.version, d.pass};
        if (m_broken == mutation::late_orders_are_forgotten)
            s.is_settled = true;
    }

    void order(rank_number r, delivery how)
    {
        auto& agent = *m_agents[at(r)];
        auto wanted = agent.next_order(m_now);
        if (!wanted)
            return;
        if (m_broken == mutation::one_fence_per_lease)
            wanted->fence = agent.current().token;
        if (how == delivery::late)
        {
            m_late.push_back({r, *wanted});
            return agent.order_ended(order_end::unknown, m_now);
        }
        const auto end = execute(r, *wanted);
        agent.order_ended(how == delivery::answered ? end : order_end::unknown, m_now);
    }

    void deliver_late(std::uint32_t b)
    {
        if (m_late.empty())
            return;
        const auto it = m_late.begin() + static_cast<std::ptrdiff_t>(b % m_late.size());
        const auto what = *it;
        m_late.erase(it);
        execute(what.rank, what.what);
    }

    void give_directive(rank_number r)
    {
        m_old_directives.push_back(m_controllers.back()->directive_for(r));
        take_directive(r, m_old_directives.back());
    }

    void take_directive(rank_number r, directive d)
    {
        if (m_broken == mutation::agents_ignore_leases)
            d.token = m_token;
        if (m_broken == mutation::agents_ignore_names)
            d.agent = m_agents[at(r)]->status(m_now).agent;
        m_agents[at(r)]->take(d);
    }

    void old_directive(rank_number r, std::uint32_t b)
    {
        if (!m_old_directives.empty())
            take_directive(r, m_old_directives[b % m_old_directives.size()]);
    }

    void tick(switch_controller& it) { it.tick(m_now); }

    void restart_agent(rank_number r) { m_agents[at(r)] = new_agent(r); }

    /// A rank is brought as far as its agent and the controller can bring it at once.
    void advance(rank_number r)
    {
        give_directive(r);
        read_report(r, false);
        order(r, delivery::answered);
        read_report(r, false);
        tick(*m_controllers.back());
    }

    void begin_stand_in(rank_number r)
    {
        m_stand_ins[r] = {new_agent(r), m_before_last_order[at(r)]};
        if (m_broken != mutation::stand_ins_trust_old_orders)
            m_stand_ins[r].driver->share_rank();
    }

    void advance_stand_in(rank_number r, std::uint32_t b)
    {
        const auto found = m_stand_ins.find(r);
        if (found == m_stand_ins.end())
            return;
        auto& it = found->second;
        const auto tell = [&]
        {
            for (auto& c : m_controllers)
                c->take(it.driver->status(m_now), m_now);
        };
        const bool is_old = b % 2 == 0;
        it.driver->take(is_old ? it.old_report : m_ranks[at(r)].state);
        tell();
        it.driver->take(m_controllers.back()->directive_for(r));
        it.driver->take(is_old ? it.old_report : m_ranks[at(r)].state);
        if (const auto wanted = it.driver->next_order(m_now))
        {
            const auto end = execute(r, *wanted);
            it.driver->order_ended(b % 3 == 0 ? order_end::unknown : end, m_now);
            it.old_report = m_ranks[at(r)].state;
        }
        tell();
        tick(*m_controllers.back());
    }

    order_end execute(rank_number r, const rank_order& it)
    {
        m_before_last_order[at(r)] = m_ranks[at(r)].state;
        return m_ranks[at(r)].carry_out(it, m_broken);
    }

    /// The rank's next order is lost on the way for now.
    void late_order_to(rank_number r)
    {
        give_directive(r);
        read_report(r, false);
        order(r, delivery::late);
    }

    /// Long enough for a phase to be given up; the ranks stay known.
    void wait()
    {
        m_now += switch_options{}.longest_arm + milliseconds{1};
        for (rank_number r = 0; r < rank_count; ++r)
            read_report(r, false);
        tick(*m_controllers.back());
    }

    /// The other ranks stall until the group has formed anew, in another epoch.
    void restart_rank(rank_number r, std::uint32_t b)
    {
        // Restarts undo what was under way, so they are rare but where they are what is looked at.
        constexpr std::uint32_t rare = 3;
        if (m_broken != mutation::ranks_ignore_epochs && b % rare != 0)
            return;
        ++m_epoch;
        for (auto& it : m_ranks)
            it.restart(m_epoch);
        m_ranks[at(r)].highest = 0;
    }

    /// All is told and done once.
    void round()
    {
        for (rank_number r = 0; r < rank_count; ++r)
            advance(r);
        begin_pass();
    }

    mutation m_broken;
    kumquatgap::common::timestamp m_now{milliseconds{1'000'000}};
    std::int64_t m_epoch = 1;
    fencing_token m_token = 0;
    std::int64_t m_agents_started = 0;
    std::vector<rank_engine> m_ranks;
    std::vector<std::unique_ptr<rank_driver>> m_agents;
    std::map<rank_number, stand_in> m_stand_ins;
    /// Each rank's state before the last order that reached it.
    std::vector<rank_report> m_before_last_order;
    std::vector<std::unique_ptr<switch_controller>> m_controllers;
    std::vector<directive> m_old_directives;
    std::vector<late_order> m_late;
};

} // namespace kumquatgap::experts
