#include "fault_gate.hpp"

#include "common/text.hpp"

#include <algorithm>
#include <array>

namespace kumquatgap::stand_ins
{

namespace
{

struct fault_name
{
    fault kind;
    std::string_view name;
};

constexpr auto s_names = std::to_array<fault_name>({
    {fault::none, "none"},
    {fault::slow, "slow"},
    {fault::down, "down"},
    {fault::lose_answer, "lose_answer"},
    {fault::hang, "hang"},
});

int number_of(const io::http_request& request, std::string_view name)
{
    int n = 0;
    common::parse_number(io::query_parameter(request.query, name), n);
    return n;
}

} // namespace

bool fault_gate::take_order(const io::http_request& request, const io::responder_ptr& answer)
{
    if (request.path != "/stand_in/fault")
        return false;
    const auto name = io::query_parameter(request.query, "kind");
    const auto it = std::ranges::find(s_names, name, &fault_name::name);
    if (it == s_names.end())
    {
        answer->reply({400, {}, "unknown kind\n"});
        return true;
    }
    m_fault = it->kind;
    m_left = number_of(request, "count");
    m_delay = common::milliseconds{number_of(request, "delay_ms")};
    m_path = io::query_parameter(request.query, "path");
    answer->reply({200, {}, "ok\n"});
    return true;
}

fault fault_gate::next(const io::http_request& request)
{
    const bool matches = m_path.empty() || request.path == m_path;
    if (m_fault == fault::none || !matches)
        return fault::none;
    const auto out = m_fault;
    if (m_left > 0 && --m_left == 0)
        m_fault = fault::none;
    return out;
}

void fault_gate::pass(const io::http_request& request, const io::responder_ptr& answer,
                      const std::function<io::http_response()>& carry_out)
{
    switch (next(request))
    {
    case fault::none:
        answer->reply(carry_out());
        return;
    case fault::slow:
    {
        const auto it = m_timers.emplace(m_timers.end());
        *it = m_loop.after(m_delay, [answer, carry_out] { answer->reply(carry_out()); });
        return;
    }
    case fault::down:
        answer->cut();
        return;
    case fault::lose_answer:
        carry_out();
        answer->cut();
        return;
    case fault::hang:
        return;
    }
}

} // namespace kumquatgap::stand_ins
