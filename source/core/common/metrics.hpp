#pragma once

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace kumquatgap::common
{

/// Histogram of durations with fixed buckets.
class duration_histogram
{
public:
    duration_histogram();

    /// Adds one measurement in milliseconds.
    void add(double ms);
    std::uint64_t count() const;
    double sum_ms() const { return m_sum_ms; }
    /// The histogram in Prometheus' text format: a cumulative count for each upper bound, the sum
    /// and the count. `name` may carry labels.
    std::string text(std::string_view name) const;

private:
    using counts = boost::histogram::histogram<std::tuple<boost::histogram::axis::variable<>>>;

    counts m_counts;
    double m_sum_ms = 0;
};

/// A process's counters, gauges and histograms, written in Prometheus' text format. Names may carry
/// labels: `kqg_calls_total{code="0"}`.
class metrics
{
public:
    /// Adds to a counter.
    void count(std::string_view name, std::int64_t n = 1);
    /// Sets a gauge.
    void set(std::string_view name, std::int64_t value);
    /// Adds a duration in milliseconds to a histogram.
    void measure(std::string_view name, double ms);
    /// The value of a counter or gauge; 0 when it was never set.
    std::int64_t value(std::string_view name) const;
    /// All metrics in Prometheus' text format.
    std::string text() const;

private:
    std::map<std::string, std::int64_t, std::less<>> m_values;
    std::map<std::string, duration_histogram, std::less<>> m_histograms;
};

} // namespace kumquatgap::common
