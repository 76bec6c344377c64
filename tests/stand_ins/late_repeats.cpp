#include "late_repeats.hpp"

#include <utility>

namespace kumquatgap::stand_ins
{

void late_repeats::plan(const scripted_target::reply& out, std::string response)
{
    m_due.insert_or_assign(out, std::move(response));
}

void late_repeats::send_due(const scripted_target::reply& out)
{
    const auto it = m_due.find(out);
    if (it == m_due.end())
        return;
    out.write(it->second);
    m_due.erase(it);
    ++m_sent;
}

} // namespace kumquatgap::stand_ins
