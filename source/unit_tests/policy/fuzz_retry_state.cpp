#include "../fuzz.hpp"

#include "policy/retry_state.hpp"

#include <criterion/criterion.h>

#include <array>

using namespace kumquatgap;
using namespace kumquatgap::policy;
using common::result_code;

namespace
{

/// One call whose attempts fail with any codes in any order.
class simulated_call
{
public:
    static constexpr auto step_names =
        std::to_array<std::string_view>({"choose_rule", "fails", "fails", "fails", "no_target"});

    /// Mutation `forgets`: each attempt gets a new plan without the earlier attempts.
    explicit simulated_call(bool forgets = false) : m_forgets{forgets} {}

    void step(std::size_t kind, std::uint32_t a, std::uint32_t b)
    {
        if (m_ended)
            return;
        if (kind == 0)
            return choose_rule(a);
        m_started = true;
        if (m_forgets)
            m_plan = retry_state{m_rule, {}};
        if (kind == 4)
            return follow(m_plan.no_target_left());
        const auto codes = common::result_codes();
        // Any code of the table, since an agent may send each of them.
        const auto& it = codes[(a * 6 + b) % codes.size()];
        if (it.code == result_code::ok)
            return;
        m_may_have_executed = m_may_have_executed || it.executed != common::execution::not_run;
        follow(m_plan.failed({it.code, ""}, b % 2 == 0, m_budget));
    }

    void settle() const {}

private:
    void choose_rule(std::uint32_t a)
    {
        constexpr auto rules = std::to_array<retry_rule>(
            {retry_rule::idempotent, retry_rule::keyed, retry_rule::at_most_once});
        if (m_started)
            return;
        m_rule = rules[a % rules.size()];
        m_plan = retry_state{m_rule, {}};
    }

    void follow(const retry_decision& step)
    {
        if (const auto* last = std::get_if<fail_call>(&step))
        {
            m_ended = true;
            RC_ASSERT(!(common::is_not_run(last->what.code) && m_may_have_executed));
            RC_ASSERT(last->what.retry_after.has_value());
            return;
        }
        RC_ASSERT(!(m_rule == retry_rule::at_most_once && m_may_have_executed));
        constexpr int max_sends = 4 + 4;
        RC_ASSERT(m_forgets || ++m_sends <= max_sends);
    }

    bool m_forgets;
    retry_rule m_rule = retry_rule::at_most_once;
    retry_state m_plan{retry_rule::at_most_once, {}};
    retry_budget m_budget{0.1, 20};
    bool m_started = false;
    bool m_may_have_executed = false;
    bool m_ended = false;
    int m_sends = 0;
};

} // namespace

Test(fuzz_retry_state, not_run_is_certain_and_attempts_are_bounded)
{
    cr_assert(fuzz::holds<simulated_call>(true));
}

Test(fuzz_retry_state, notices_a_plan_without_earlier_attempts)
{
    cr_assert_not(fuzz::holds<simulated_call>(false, true));
}

Test(retry_budget, retries_are_a_fraction_of_first_attempts)
{
    retry_budget budget{0.1, 5};
    int retries = 0;
    constexpr int calls = 1000;
    for (int i = 0; i < calls; ++i)
    {
        budget.earn();
        retries += budget.spend() ? 1 : 0;
    }
    cr_assert_leq(retries, calls / 10 + 5);
    cr_assert_geq(retries, calls / 10 - 1);
}

/// Guards against a full reserve at each start of a process.
Test(retry_budget, restarts_grant_few_retries)
{
    constexpr int restarts = 10;
    constexpr int calls_between = 20;
    int retries = 0;
    for (int n = 0; n < restarts; ++n)
    {
        retry_budget budget{0.1, 20};
        for (int i = 0; i < calls_between; ++i)
        {
            budget.earn();
            retries += budget.spend() ? 1 : 0;
        }
    }
    cr_assert_leq(retries, restarts * (calls_between / 10 + 2));
}
