#include "common/metrics.hpp"

#include <spdlog/fmt/fmt.h>

namespace kumquatgap::common
{

namespace acc = boost::accumulators;

namespace
{

constexpr double median_quantile = 0.5;
constexpr double p99_quantile = 0.99;

} // namespace

summary::summary()
    : m_median{acc::quantile_probability = median_quantile}, m_p99{acc::quantile_probability =
                                                                       p99_quantile}
{
}

void summary::add(double value)
{
    m_median(value);
    m_p99(value);
}

std::uint64_t summary::count() const
{
    return acc::count(m_median);
}

double summary::sum() const
{
    return acc::sum(m_median);
}

double summary::median() const
{
    return count() == 0 ? 0 : acc::p_square_quantile(m_median);
}

double summary::p99() const
{
    return count() == 0 ? 0 : acc::p_square_quantile(m_p99);
}

void metrics::count(std::string_view name, std::int64_t n)
{
    const auto it = m_values.find(name);
    if (it == m_values.end())
        m_values.emplace(name, n);
    else
        it->second += n;
}

void metrics::set(std::string_view name, std::int64_t value)
{
    m_values.insert_or_assign(std::string{name}, value);
}

void metrics::measure(std::string_view name, double value)
{
    auto it = m_summaries.find(name);
    if (it == m_summaries.end())
        it = m_summaries.emplace(name, summary{}).first;
    it->second.add(value);
}

std::int64_t metrics::value(std::string_view name) const
{
    const auto it = m_values.find(name);
    return it == m_values.end() ? 0 : it->second;
}

std::string metrics::text() const
{
    std::string out;
    for (const auto& [name, value] : m_values)
        out += fmt::format("{} {}\n", name, value);
    for (const auto& [name, s] : m_summaries)
    {
        out += fmt::format("{}{{quantile=\"0.5\"}} {}\n", name, s.median());
        out += fmt::format("{}{{quantile=\"0.99\"}} {}\n", name, s.p99());
        out += fmt::format("{}_sum {}\n{}_count {}\n", name, s.sum(), name, s.count());
    }
    return out;
}

} // namespace kumquatgap::common
