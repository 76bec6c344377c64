#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace kumquatgap::common
{

/// A stream of measurements with its median and 99th percentile, by Boost.Accumulators.
class summary
{
public:
    summary();

    /// Adds one measurement.
    void add(double value);
    std::uint64_t count() const;
    double sum() const;
    /// 0 while nothing was added.
    double median() const;
    /// 0 while nothing was added.
    double p99() const;

private:
    using median_set = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::p_square_quantile>>;
    using p99_set = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

    median_set m_median;
    p99_set m_p99;
};

/// A process's counters, gauges and summaries, written in Prometheus' text format. Names may carry
/// labels: `kqg_calls_total{code="0"}`.
class metrics
{
public:
    /// Adds to a counter.
    void count(std::string_view name, std::int64_t n = 1);
    /// Sets a gauge.
    void set(std::string_view name, std::int64_t value);
    /// Adds a measurement to a summary.
    void measure(std::string_view name, double value);
    /// The value of a counter or gauge; 0 when it was never touched.
    std::int64_t value(std::string_view name) const;
    /// All of it in Prometheus' text format.
    std::string text() const;

private:
    std::map<std::string, std::int64_t, std::less<>> m_values;
    std::map<std::string, summary, std::less<>> m_summaries;
};

} // namespace kumquatgap::common
