#include "common/metrics.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::common;

namespace
{

bool has_line(const std::string& text, const std::string& line)
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

Test(metrics, histogram_buckets_are_cumulative)
{
    metrics m;
    for (const double ms : {0.5, 3.0, 150.0, 99'000.0})
        m.measure("kqg_wait_ms", ms);
    const auto text = m.text();
    cr_assert(has_line(text, "kqg_wait_ms_bucket{le=\"1\"} 1"), "%s", text.c_str());
    cr_assert(has_line(text, "kqg_wait_ms_bucket{le=\"5\"} 2"));
    cr_assert(has_line(text, "kqg_wait_ms_bucket{le=\"200\"} 3"));
    cr_assert(has_line(text, "kqg_wait_ms_bucket{le=\"30000\"} 3"));
    cr_assert(has_line(text, "kqg_wait_ms_bucket{le=\"+Inf\"} 4"));
    cr_assert(has_line(text, "kqg_wait_ms_count 4"));
    cr_assert(has_line(text, "kqg_wait_ms_sum 99153.5"));
}

Test(metrics, histogram_keeps_labels)
{
    metrics m;
    m.measure("kqg_request_ms{route=\"read\"}", 7);
    const auto text = m.text();
    cr_assert(has_line(text, "kqg_request_ms_bucket{route=\"read\",le=\"10\"} 1"), "%s",
              text.c_str());
    cr_assert(has_line(text, "kqg_request_ms_count{route=\"read\"} 1"));
}

Test(metrics, counters_add_and_gauges_replace)
{
    metrics m;
    m.count("kqg_a_total");
    m.count("kqg_a_total", 2);
    m.set("kqg_b", 5);
    m.set("kqg_b", 4);
    cr_assert(has_line(m.text(), "kqg_a_total 3"));
    cr_assert(has_line(m.text(), "kqg_b 4"));
}
