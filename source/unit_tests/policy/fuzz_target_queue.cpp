#include "../fuzz.hpp"

#include "policy/target_queue.hpp"

#include <criterion/criterion.h>

#include <array>
#include <map>
#include <set>

using namespace kumquatgap;
using namespace kumquatgap::policy;

namespace
{

/// One target's queue and three teams with guaranteed shares; calls arrive, start, are preempted
/// and end.
class simulated_queue
{
public:
    static constexpr auto step_names =
        std::to_array<std::string_view>({"offer", "offer", "offer", "offer", "finish", "finish",
                                         "finish", "wait", "withdraw", "preempt"});

    /// Mutation `forgets_shares`: the queue is not given the teams' shares.
    explicit simulated_queue(bool forgets_shares = false)
    {
        for (const auto& [team, percent] : m_percent)
        {
            if (!forgets_shares)
                m_queue.set_share(team, percent);
        }
    }

    void step(std::size_t kind, std::uint32_t a, std::uint32_t b)
    {
        switch (kind)
        {
        case 4:
        case 5:
        case 6:
            return finish(a);
        case 7:
            m_now += milliseconds{400 * (1 + b)};
            for (const auto id : m_queue.expire(m_now))
                RC_ASSERT(m_waiting.erase(id) == 1);
            return;
        case 8:
            return withdraw(a);
        case 9:
            return preempt();
        default:
            return offer(a, b);
        }
    }

    /// All calls that were accepted end.
    void settle()
    {
        while (!m_running.empty())
            finish(0);
        RC_ASSERT(m_waiting.empty());
        RC_ASSERT(m_queue.in_service() == 0);
        RC_ASSERT(m_queue.waiting() == 0);
    }

private:
    static constexpr std::int64_t slots = 10;

    struct call
    {
        std::string team;
        bool is_long = false;
    };

    std::int64_t guaranteed(const std::string& team) const
    {
        return std::max<std::int64_t>(1, slots * m_percent.at(team) / 100);
    }
    std::int64_t running_of(const std::string& team) const
    {
        return std::ranges::count_if(m_running,
                                     [&](const auto& it) { return it.second.team == team; });
    }
    std::int64_t running_long() const
    {
        return std::ranges::count_if(m_running, [](const auto& it) { return it.second.is_long; });
    }

    void offer(std::uint32_t a, std::uint32_t b)
    {
        const std::string team(1, "abc"[a % 3]);
        const bool is_long = b % 3 == 0;
        const auto id = m_next_id++;
        const auto taken = m_queue.offer({.id = id,
                                          .team = team,
                                          .level = b % 2,
                                          .predicted = milliseconds{is_long ? 9000 : 500},
                                          .start_by = m_now + milliseconds{20'000},
                                          .preemptible = is_long},
                                         m_now);
        if (!taken)
        {
            RC_ASSERT(taken.error().retry_after.has_value());
            return;
        }
        m_waiting[id] = {team, is_long};
        start();
    }

    /// A team that borrows gets a slot only when no team below its share waits for one.
    void start()
    {
        for (const auto id : m_queue.start_ready(m_now))
        {
            const auto it = m_waiting.find(id);
            RC_ASSERT(it != m_waiting.end());
            const bool borrows = running_of(it->second.team) >= guaranteed(it->second.team);
            const bool long_is_full = running_long() >= long_slots;
            for (const auto& [other, c] : m_waiting)
            {
                const bool has_claim =
                    running_of(c.team) < guaranteed(c.team) && !(c.is_long && long_is_full);
                RC_ASSERT(!(borrows && has_claim));
            }
            m_running.insert(m_waiting.extract(it));
            RC_ASSERT(m_running.size() <= slots);
            RC_ASSERT(running_long() <= long_slots);
        }
    }

    void finish(std::uint32_t a)
    {
        if (m_running.empty())
            return;
        auto it = m_running.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(a % m_running.size()));
        m_queue.finished(it->first, m_now);
        m_running.erase(it);
        start();
    }

    void withdraw(std::uint32_t a)
    {
        if (m_waiting.empty())
            return;
        auto it = m_waiting.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(a % m_waiting.size()));
        RC_ASSERT(m_queue.withdraw(it->first));
        m_waiting.erase(it);
        start();
    }

    void preempt()
    {
        for (const auto id : m_queue.calls_to_preempt(m_now))
        {
            const auto it = m_running.find(id);
            RC_ASSERT(it != m_running.end() && it->second.is_long);
            RC_ASSERT(++m_preemptions[id] <= queue_limits{}.max_preemptions);
            m_queue.preempted(id, milliseconds{6000}, m_now);
            m_waiting.insert(m_running.extract(it));
        }
        start();
    }

    /// A quarter of the slots, rounded up, is reserved for short calls.
    static constexpr std::int64_t long_slots = slots - 3;

    const std::map<std::string, std::int64_t> m_percent = {{"a", 60}, {"b", 30}, {"c", 10}};
    target_queue m_queue{{.slots = slots, .max_waiting = 30}};
    timestamp m_now;
    std::uint64_t m_next_id = 1;
    std::map<std::uint64_t, call> m_waiting;
    std::map<std::uint64_t, call> m_running;
    std::map<std::uint64_t, int> m_preemptions;
};

} // namespace

Test(fuzz_target_queue, shares_hold_and_no_call_is_lost)
{
    cr_assert(fuzz::holds<simulated_queue>(true));
}

Test(fuzz_target_queue, notices_a_queue_without_shares)
{
    cr_assert_not(fuzz::holds<simulated_queue>(false, true));
}
