#pragma once

#include "common/clock.hpp"
#include "common/log.hpp"

#include <cstddef>
#include <initializer_list>
#include <string_view>

namespace kumquatgap::common
{

/// Token bucket for log lines, which also counts the lines that it suppressed.
class log_rate_limiter
{
public:
    /// The bucket holds the lines of one second, which may be written as a burst.
    explicit log_rate_limiter(double lines_per_second) : m_rate{lines_per_second} {}

    /// True when one more line may be written now; otherwise the line counts as suppressed.
    bool take(timestamp now);
    /// Returns the number of lines suppressed since the last report and resets it; 0 until a second
    /// has passed since that report.
    std::size_t take_suppressed(timestamp now);

private:
    double m_rate;
    /// Tokens left: lines that may still be written as of m_refilled_at.
    double m_tokens = 0;
    timestamp m_refilled_at;
    std::size_t m_suppressed = 0;
    timestamp m_reported_at;
};

/// Writes log lines of one kind up to a maximum rate. Suppressed lines are counted, and a separate
/// line reports their number at most once a second.
class limited_log
{
public:
    /// `kind` names the lines in the report.
    limited_log(std::string_view kind, double lines_per_second)
        : m_kind{kind}, m_limiter{lines_per_second}
    {
    }

    void write(log_level level, std::string_view event, std::initializer_list<log_field> fields,
               timestamp now);
    /// Logs how many lines were suppressed, if any were. Must be called periodically, since the
    /// last suppressed lines are otherwise never reported.
    void report(timestamp now);

private:
    std::string_view m_kind;
    log_rate_limiter m_limiter;
};

} // namespace kumquatgap::common
