#pragma once

#include "common/clock.hpp"
#include "common/log.hpp"

#include <cstddef>
#include <initializer_list>
#include <string_view>

namespace kumquatgap::common
{

/// How many log lines may be written a second, and how many were left out.
class line_budget
{
public:
    /// A second's lines may come at once.
    explicit line_budget(double lines_per_second) : m_rate{lines_per_second} {}

    /// True when one more line may be written now; otherwise it counts as left out.
    bool take(timestamp now);
    /// The lines that were left out since the last report; 0 until a second has passed since it.
    std::size_t take_left_out(timestamp now);

private:
    double m_rate;
    /// Lines that may still be written now.
    double m_left = 0;
    timestamp m_filled_at;
    std::size_t m_left_out = 0;
    timestamp m_reported_at;
};

/// Writes log lines of one sort up to a rate. What it leaves out is counted, and told in a line of
/// its own once a second.
class limited_log
{
public:
    /// `sort` names the lines in the report.
    limited_log(std::string_view sort, double lines_per_second)
        : m_sort{sort}, m_budget{lines_per_second}
    {
    }

    void write(log_level level, std::string_view event, std::initializer_list<log_field> fields,
               timestamp now);
    /// Tells how many lines were left out, if any were; to be called now and then.
    void report(timestamp now);

private:
    std::string_view m_sort;
    line_budget m_budget;
};

} // namespace kumquatgap::common
