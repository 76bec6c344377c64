#include "../fuzz.hpp"

#include "policy/call_plan.hpp"

#include <criterion/criterion.h>

#include <array>

using namespace kumquatgap;
using namespace kumquatgap::policy;
using common::result_code;

namespace
{

/// One call whose attempts fail in any order of ways.
class plan_world
{
public:
    static constexpr auto step_names =
        std::to_array<std::string_view>({"choose_rule", "fails", "fails", "fails", "no_target"});

    /// `forgets` breaks the rule on purpose: each attempt gets a plan that knows nothing of the
    /// earlier ones.
    explicit plan_world(bool forgets = false) : m_forgets{forgets} {}

    void step(std::size_t kind, std::uint32_t a, std::uint32_t b)
    {
        if (m_ended)
            return;
        if (kind == 0)
            return choose_rule(a);
        m_started = true;
        if (m_forgets)
            m_plan = call_plan{m_rule, {}};
        if (kind == 4)
            return follow(m_plan.no_target_left());
        const auto codes = common::result_codes();
        // Every code of the table, since an agent may send any of them.
        const auto& it = codes[(a * 6 + b) % codes.size()];
        if (it.code == result_code::ok)
            return;
        m_may_have_run = m_may_have_run || it.executed != common::execution::not_run;
        follow(m_plan.failed({it.code, ""}, b % 2 == 0, m_budget));
    }

    void settle() const {}

private:
    void choose_rule(std::uint32_t a)
    {
        constexpr auto rules = std::to_array<repeat_rule>(
            {repeat_rule::idempotent, repeat_rule::keyed, repeat_rule::forward_once});
        if (m_started)
            return;
        m_rule = rules[a % rules.size()];
        m_plan = call_plan{m_rule, {}};
    }

    void follow(const plan_step& step)
    {
        if (const auto* answer = std::get_if<give_answer>(&step))
        {
            m_ended = true;
            RC_ASSERT(!(common::is_not_run(answer->what.code) && m_may_have_run));
            RC_ASSERT(answer->what.retry_after.has_value());
            return;
        }
        RC_ASSERT(!(m_rule == repeat_rule::forward_once && m_may_have_run));
        constexpr int most_sends = 4 + 4;
        RC_ASSERT(m_forgets || ++m_sends <= most_sends);
    }

    bool m_forgets;
    repeat_rule m_rule = repeat_rule::forward_once;
    call_plan m_plan{repeat_rule::forward_once, {}};
    retry_budget m_budget{0.1, 20};
    bool m_started = false;
    bool m_may_have_run = false;
    bool m_ended = false;
    int m_sends = 0;
};

} // namespace

Test(fuzz_call_plan, not_run_is_true_and_attempts_are_bounded)
{
    cr_assert(fuzz::holds<plan_world>(true));
}

Test(fuzz_call_plan, notices_a_plan_that_forgets_earlier_attempts)
{
    cr_assert_not(fuzz::holds<plan_world>(false, true));
}

Test(retry_budget, repeats_are_a_fraction_of_first_attempts)
{
    retry_budget budget{0.1, 5};
    int repeats = 0;
    constexpr int calls = 1000;
    for (int i = 0; i < calls; ++i)
    {
        budget.earn();
        repeats += budget.spend() ? 1 : 0;
    }
    cr_assert_leq(repeats, calls / 10 + 5);
    cr_assert_geq(repeats, calls / 10 - 1);
}
