#include "../fuzz.hpp"

#include "controllers/map_switch.hpp"
#include "controllers/rank_guard.hpp"

#include <criterion/criterion.h>

#include <array>
#include <deque>
#include <map>

using namespace kumquatgap::controllers;
namespace fuzz = kumquatgap::fuzz;

namespace
{

/// A rule broken on purpose.
enum class mutation
{
    none,
    /// Agents pass on orders whatever their number.
    agents_ignore_numbers,
    /// Agents take orders after a restart before they know the current number.
    agents_do_not_learn,
    /// A new controller aborts what an earlier one left, without asking the ranks.
    successor_does_not_ask
};

/// A group in lock-step, its agents, and controllers that die, are paused and come back.
class group_world
{
public:
    static constexpr auto step_names = std::to_array<std::string_view>(
        {"run", "run", "run", "deliver_order", "deliver_order", "deliver_order", "deliver_reply",
         "deliver_reply", "deliver_reply", "lose_order", "repeat_order", "lose_reply",
         "new_controller", "propose", "tick", "restart_agent", "learn", "round", "round"});

    explicit group_world(mutation broken = mutation::none) : m_broken{broken}
    {
        for (rank_number r = 0; r < rank_count; ++r)
        {
            m_guards.emplace_back(r);
            m_guards[r].learn_fence(0);
        }
        m_engines.resize(rank_count);
        new_controller();
    }

    void step(std::size_t kind, std::uint32_t a, std::uint32_t b)
    {
        switch (kind)
        {
        case 0:
        case 1:
        case 2:
            return run(a % rank_count);
        case 3:
        case 4:
        case 5:
            return deliver_order(b, false);
        case 6:
        case 7:
        case 8:
            return deliver_reply(b);
        case 9:
            return lose(m_orders, b);
        case 10:
            return deliver_order(b, true);
        case 11:
            return lose(m_replies, b);
        case 12:
            return a < 2 ? new_controller() : void();
        case 13:
            m_controllers[b % m_controllers.size()].propose();
            return;
        case 14:
            return send(m_controllers[b % m_controllers.size()].tick());
        case 15:
            return restart_agent(a % rank_count);
        case 16:
            return learn(a % rank_count);
        default:
            return round(b);
        }
    }

    /// The faults end: one more controller, and the group must go on and take a new map.
    void settle()
    {
        for (rank_number r = 0; r < rank_count; ++r)
            learn(r);
        new_controller();
        run_to_rest();
        RC_ASSERT(m_controllers.back().is_settled());
        const auto before = m_engines[0].step;
        run_to_rest();
        RC_ASSERT(m_engines[0].step > before);
        RC_ASSERT(m_controllers.back().propose());
        run_to_rest();
        run_to_rest();
        for (const auto& it : m_engines)
            RC_ASSERT(it.active == m_controllers.back().version());
    }

private:
    static constexpr std::size_t rank_count = 3;

    /// A rank begins its next step when all have begun the one before, as lock-step has it.
    void run(rank_number r)
    {
        auto& engine = m_engines[r];
        const bool all_are_there = std::ranges::all_of(m_engines, [&](const rank_report& it)
                                                       { return it.step >= engine.step; });
        if (!all_are_there || !rank_guard::may_begin_next(engine))
            return;
        rank_guard::begin_next(engine);
        const auto [it, is_first] = m_map_of_step.emplace(engine.step, engine.active);
        RC_ASSERT(is_first || it->second == engine.active);
    }

    void new_controller()
    {
        m_controllers.emplace_back(++m_store_fence, rank_count);
        if (m_broken == mutation::successor_does_not_ask)
        {
            for (rank_number r = 0; r < rank_count; ++r)
            {
                if (m_engines[r].pending)
                    m_orders.push_back(
                        {r, {m_store_fence, abort_map{m_engines[r].pending->version}}});
            }
        }
        send(m_controllers.back().begin());
    }

    void send(const std::vector<send_order>& orders)
    {
        m_orders.insert(m_orders.end(), orders.begin(), orders.end());
    }

    void deliver_order(std::uint32_t b, bool keep)
    {
        if (m_orders.empty())
            return;
        const auto it = m_orders.begin() + static_cast<std::ptrdiff_t>(b % m_orders.size());
        const auto sent = *it;
        if (!keep)
            m_orders.erase(it);
        auto guard = &m_guards[sent.to];
        rank_guard fresh{sent.to};
        fresh.learn_fence(0);
        const bool skips_check = m_broken == mutation::agents_ignore_numbers ||
                                 (m_broken == mutation::agents_do_not_learn && !guard->is_ready());
        if (skips_check)
            guard = &fresh;
        m_replies.push_back(guard->take(sent.order, m_engines[sent.to]));
    }

    void deliver_reply(std::uint32_t b)
    {
        if (m_replies.empty())
            return;
        const auto it = m_replies.begin() + static_cast<std::ptrdiff_t>(b % m_replies.size());
        const auto reply = *it;
        m_replies.erase(it);
        // Numbers start at 1, one for each controller.
        send(m_controllers[static_cast<std::size_t>(reply.fence - 1)].received(reply));
    }

    template <class Queue>
    static void lose(Queue& queue, std::uint32_t b)
    {
        if (!queue.empty())
            queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(b % queue.size()));
    }

    /// Most of what is under way arrives, and the ranks run.
    void round(std::uint32_t b)
    {
        for (auto n = m_orders.size(); n > b; --n)
            deliver_order(0, false);
        for (auto n = m_replies.size(); n > 0; --n)
            deliver_reply(0);
        for (rank_number r = 0; r < rank_count; ++r)
            run(r);
    }

    void restart_agent(rank_number r) { m_guards[r] = rank_guard{r}; }
    void learn(rank_number r) { m_guards[r].learn_fence(m_store_fence); }

    void run_to_rest()
    {
        constexpr int rounds = 40;
        for (int i = 0; i < rounds; ++i)
        {
            send(m_controllers.back().tick());
            while (!m_orders.empty())
                deliver_order(0, false);
            while (!m_replies.empty())
                deliver_reply(0);
            for (rank_number r = 0; r < rank_count; ++r)
                run(r);
        }
    }

    mutation m_broken;
    fence_number m_store_fence = 0;
    std::vector<rank_guard> m_guards;
    std::vector<rank_report> m_engines;
    std::deque<map_switch> m_controllers;
    std::deque<send_order> m_orders;
    std::deque<rank_reply> m_replies;
    std::map<step_number, map_version> m_map_of_step;
};

} // namespace

Test(fuzz_map_switch, every_step_has_one_map_and_the_group_goes_on)
{
    cr_assert(fuzz::holds<group_world>(true));
}

Test(fuzz_map_switch, notices_agents_that_ignore_numbers)
{
    cr_assert_not(fuzz::holds<group_world>(false, mutation::agents_ignore_numbers));
}

Test(fuzz_map_switch, notices_agents_that_do_not_learn_the_number)
{
    cr_assert_not(fuzz::holds<group_world>(false, mutation::agents_do_not_learn));
}

Test(fuzz_map_switch, notices_a_successor_that_does_not_ask)
{
    cr_assert_not(fuzz::holds<group_world>(false, mutation::successor_does_not_ask));
}
