#include "common/limited_log.hpp"

#include <algorithm>
#include <utility>

namespace kumquatgap::common
{

namespace
{

constexpr milliseconds report_period{1000};

double seconds(timestamp from, timestamp to)
{
    return std::chrono::duration<double>(to - from).count();
}

} // namespace

bool line_budget::take(timestamp now)
{
    m_left = std::min(m_rate, m_left + seconds(m_filled_at, now) * m_rate);
    m_filled_at = now;
    if (m_left < 1)
    {
        ++m_left_out;
        return false;
    }
    --m_left;
    return true;
}

std::size_t line_budget::take_left_out(timestamp now)
{
    if (m_left_out == 0 || now - m_reported_at < report_period)
        return 0;
    m_reported_at = now;
    return std::exchange(m_left_out, 0);
}

void limited_log::write(log_level level, std::string_view event,
                        std::initializer_list<log_field> fields, timestamp now)
{
    if (m_budget.take(now))
        log(level, event, fields);
    report(now);
}

void limited_log::report(timestamp now)
{
    if (const auto n = m_budget.take_left_out(now); n > 0)
        log(log_level::warn, "log_lines_left_out", {{"sort", m_sort}, {"lines", n}});
}

} // namespace kumquatgap::common
