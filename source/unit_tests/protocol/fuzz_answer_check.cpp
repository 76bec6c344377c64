#include "../fuzz.hpp"

#include "protocol/answer_check.hpp"

#include <criterion/criterion.h>

#include <array>
#include <vector>

using namespace kumquatgap;
using namespace kumquatgap::protocol;

namespace
{

/// Events of an answer and of another one, in whatever order a broken path may bring them.
class answer_world
{
public:
    static constexpr auto step_names = std::to_array<std::string_view>(
        {"next", "repeat", "skip", "foreign_part", "foreign_end", "heartbeat", "next", "next"});

    /// `trusts` breaks the rule on purpose: what the check says is passed over.
    explicit answer_world(bool trusts = false) : m_trusts{trusts}
    {
        m_own.push_back(answer_head{200, "t"});
        for (std::int64_t n = 1; n <= part_count; ++n)
            m_own.push_back(answer_body{n, "own " + std::to_string(n)});
        m_own.push_back(answer_end{"own", part_count, {}});
    }

    void step(std::size_t kind, std::uint32_t a, std::uint32_t /*b*/)
    {
        switch (kind)
        {
        case 1:
            return take(m_own[a % m_own.size()]);
        case 2:
            m_next = std::min(m_next + 1, m_own.size());
            return;
        case 3:
            return take(answer_body{static_cast<std::int64_t>(m_next), "foreign"});
        case 4:
            return take(answer_end{"foreign", part_count, {}});
        case 5:
            return take(answer_heartbeat{});
        default:
            if (m_next < m_own.size())
                take(m_own[m_next++]);
        }
    }

    /// A whole answer is exactly the own one; a foreign part can only come from the agent that
    /// the connection is to, so it counts as a fault of that agent and not of the path.
    void settle()
    {
        if (m_check.is_whole() && !m_had_foreign_part)
            RC_ASSERT(m_received == "own 1own 2own 3own 4own 5");
        if (m_check.is_whole())
            RC_ASSERT(m_ended_by == "own");
    }

private:
    static constexpr std::int64_t part_count = 5;

    void take(const answer_event& event)
    {
        if (m_failed)
            return;
        m_failed = m_check.take(event).has_value() && !m_trusts;
        if (m_failed)
            return;
        if (const auto* body = std::get_if<answer_body>(&event))
        {
            m_received += body->bytes;
            m_had_foreign_part = m_had_foreign_part || body->bytes == "foreign";
        }
        if (const auto* end = std::get_if<answer_end>(&event))
            m_ended_by = end->attempt;
    }

    bool m_trusts;
    std::vector<answer_event> m_own;
    std::size_t m_next = 0;
    answer_check m_check{"own"};
    bool m_failed = false;
    bool m_had_foreign_part = false;
    std::string m_received;
    std::string m_ended_by;
};

} // namespace

Test(fuzz_answer_check, a_whole_answer_is_the_own_one)
{
    cr_assert(fuzz::holds<answer_world>(true));
}

Test(fuzz_answer_check, notices_a_router_that_passes_over_the_check)
{
    cr_assert_not(fuzz::holds<answer_world>(false, true));
}
