#include "common/metrics.hpp"

#include <boost/histogram/algorithm/sum.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <vector>

namespace kumquatgap::common
{

namespace
{

/// Upper bounds of the ranges, in ms: three to a power of ten, from a pass of an engine to the
/// longest deadline of a route.
const std::vector<double>& bounds_ms()
{
    static const std::vector<double> s_bounds{0,   1,   2,    5,    10,   20,    50,   100,
                                              200, 500, 1000, 2000, 5000, 10000, 30000};
    return s_bounds;
}

/// A metric's name with another ending and one more label.
std::string with_label(std::string_view name, std::string_view ending, std::string_view label)
{
    const auto brace = name.find('{');
    if (brace == std::string_view::npos)
        return fmt::format("{}{}{{{}}}", name, ending, label);
    const auto labels = name.substr(brace + 1, name.size() - brace - 2);
    return fmt::format("{}{}{{{},{}}}", name.substr(0, brace), ending, labels, label);
}

std::string with_ending(std::string_view name, std::string_view ending)
{
    const auto brace = std::min(name.find('{'), name.size());
    return fmt::format("{}{}{}", name.substr(0, brace), ending, name.substr(brace));
}

} // namespace

duration_histogram::duration_histogram()
    : m_counts{boost::histogram::make_histogram(boost::histogram::axis::variable<>(bounds_ms()))}
{
}

void duration_histogram::add(double ms)
{
    m_counts(ms);
    m_sum_ms += ms;
}

std::uint64_t duration_histogram::count() const
{
    return static_cast<std::uint64_t>(boost::histogram::algorithm::sum(m_counts));
}

std::string duration_histogram::text(std::string_view name) const
{
    std::string out;
    constexpr int below_all = -1;
    double cumulative = m_counts.at(below_all);
    const auto& axis = m_counts.axis();
    for (int i = 0; i < axis.size(); ++i)
    {
        cumulative += m_counts.at(i);
        const auto bound = fmt::format("le=\"{}\"", axis.bin(i).upper());
        out += fmt::format("{} {}\n", with_label(name, "_bucket", bound), cumulative);
    }
    out += fmt::format("{} {}\n", with_label(name, "_bucket", "le=\"+Inf\""), count());
    out += fmt::format("{} {}\n{} {}\n", with_ending(name, "_sum"), m_sum_ms,
                       with_ending(name, "_count"), count());
    return out;
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

void metrics::measure(std::string_view name, double ms)
{
    auto it = m_histograms.find(name);
    if (it == m_histograms.end())
        it = m_histograms.emplace(name, duration_histogram{}).first;
    it->second.add(ms);
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
    for (const auto& [name, it] : m_histograms)
        out += it.text(name);
    return out;
}

} // namespace kumquatgap::common
