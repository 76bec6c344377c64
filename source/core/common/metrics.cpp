#include "common/metrics.hpp"

#include <boost/histogram/algorithm/sum.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <vector>

namespace kumquatgap::common
{

namespace
{

/// Bucket bounds in ms: three for each power of ten, from the time of one engine pass to the
/// longest deadline of a route.
const std::vector<double>& bounds_ms()
{
    static const std::vector<double> s_bounds{0,   1,   2,    5,    10,   20,    50,   100,
                                              200, 500, 1000, 2000, 5000, 10000, 30000};
    return s_bounds;
}

/// A metric's name with a suffix inserted before its labels and one more label added.
std::string with_label(std::string_view name, std::string_view suffix, std::string_view label)
{
    const auto brace = name.find('{');
    if (brace == std::string_view::npos)
        return fmt::format("{}{}{{{}}}", name, suffix, label);
    const auto labels = name.substr(brace + 1, name.size() - brace - 2);
    return fmt::format("{}{}{{{},{}}}", name.substr(0, brace), suffix, labels, label);
}

/// A metric's name with a suffix inserted before its labels.
std::string with_suffix(std::string_view name, std::string_view suffix)
{
    const auto brace = std::min(name.find('{'), name.size());
    return fmt::format("{}{}{}", name.substr(0, brace), suffix, name.substr(brace));
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
    constexpr int underflow_bin = -1;
    double cumulative = m_counts.at(underflow_bin);
    const auto& axis = m_counts.axis();
    for (int i = 0; i < axis.size(); ++i)
    {
        cumulative += m_counts.at(i);
        const auto bound = fmt::format("le=\"{}\"", axis.bin(i).upper());
        out += fmt::format("{} {}\n", with_label(name, "_bucket", bound), cumulative);
    }
    out += fmt::format("{} {}\n", with_label(name, "_bucket", "le=\"+Inf\""), count());
    out += fmt::format("{} {}\n{} {}\n", with_suffix(name, "_sum"), m_sum_ms,
                       with_suffix(name, "_count"), count());
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
