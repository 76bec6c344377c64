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

bool log_rate_limiter::take(timestamp now)
{
    m_tokens = std::min(m_rate, m_tokens + seconds(m_refilled_at, now) * m_rate);
    m_refilled_at = now;
    if (m_tokens < 1)
    {
        ++m_suppressed;
        return false;
    }
    --m_tokens;
    return true;
}

std::size_t log_rate_limiter::take_suppressed(timestamp now)
{
    if (m_suppressed == 0 || now - m_reported_at < report_period)
        return 0;
    m_reported_at = now;
    return std::exchange(m_suppressed, 0);
}

void limited_log::write(log_level level, std::string_view event,
                        std::initializer_list<log_field> fields, timestamp now)
{
    if (m_limiter.take(now))
        log(level, event, fields);
    report(now);
}

void limited_log::report(timestamp now)
{
    if (const auto n = m_limiter.take_suppressed(now); n > 0)
        log(log_level::warn, "log_lines_left_out", {{"sort", m_kind}, {"lines", n}});
}

} // namespace kumquatgap::common
