#include "../fuzz.hpp"

#include "protocol/answer_check.hpp"

#include <criterion/criterion.h>

#include <array>
#include <vector>

using namespace kumquatgap;
using namespace kumquatgap::protocol;

namespace
{

/// Delivers events of the expected response and of another one, with losses, repetitions and wrong
/// order as a faulty connection may cause them.
class simulated_response
{
public:
    static constexpr auto step_names = std::to_array<std::string_view>(
        {"next", "repeat", "skip", "foreign_part", "foreign_end", "heartbeat", "next", "next"});

    /// `ignores_check` is the mutation: failures that the check reports are ignored.
    explicit simulated_response(bool ignores_check = false) : m_ignores_check{ignores_check}
    {
        m_expected.push_back(response_head{200, "t"});
        for (std::int64_t n = 1; n <= part_count; ++n)
            m_expected.push_back(response_body{n, "own " + std::to_string(n)});
        m_expected.push_back(response_end{"own", part_count, {}});
    }

    void step(std::size_t kind, std::uint32_t a, std::uint32_t /*b*/)
    {
        switch (kind)
        {
        case 1:
            return handle(m_expected[a % m_expected.size()]);
        case 2:
            m_next = std::min(m_next + 1, m_expected.size());
            return;
        case 3:
            return handle(response_body{static_cast<std::int64_t>(m_next), "foreign"});
        case 4:
            return handle(response_end{"foreign", part_count, {}});
        case 5:
            return handle(response_heartbeat{});
        default:
            if (m_next < m_expected.size())
                handle(m_expected[m_next++]);
        }
    }

    /// A response that passes the check is exactly the expected one, unless a foreign part arrived:
    /// only the agent at the other end can send one, so it is that agent's fault, not the
    /// connection's.
    void settle()
    {
        if (m_check.is_whole() && !m_had_foreign_part)
            RC_ASSERT(m_received == "own 1own 2own 3own 4own 5");
        if (m_check.is_whole())
            RC_ASSERT(m_ended_by == "own");
    }

private:
    static constexpr std::int64_t part_count = 5;

    void handle(const response_event& event)
    {
        if (m_failed)
            return;
        m_failed = m_check.take(event).has_value() && !m_ignores_check;
        if (m_failed)
            return;
        if (const auto* body = std::get_if<response_body>(&event))
        {
            m_received += body->bytes;
            m_had_foreign_part = m_had_foreign_part || body->bytes == "foreign";
        }
        if (const auto* end = std::get_if<response_end>(&event))
            m_ended_by = end->attempt;
    }

    bool m_ignores_check;
    std::vector<response_event> m_expected;
    std::size_t m_next = 0;
    answer_check m_check{"own"};
    bool m_failed = false;
    bool m_had_foreign_part = false;
    std::string m_received;
    std::string m_ended_by;
};

} // namespace

Test(fuzz_answer_check, complete_response_is_of_own_attempt)
{
    cr_assert(fuzz::holds<simulated_response>(true));
}

Test(fuzz_answer_check, notices_ignored_check_failure)
{
    cr_assert_not(fuzz::holds<simulated_response>(false, true));
}
