#include "gateway/call_summary.hpp"

#include "common/text.hpp"

namespace kumquatgap::gateway
{

void write_log_line(common::limited_log& out, const call_summary& summary, common::timestamp now)
{
    out.write(common::log_level::info, summary.event,
              {{"id", summary.id},
               {"route", summary.route},
               {"service", summary.service},
               {"team", summary.team},
               {"code", common::number(summary.code)},
               {"status", summary.status},
               {"attempts", summary.attempts},
               {"wait_ms", summary.wait_ms},
               {"first_ms", summary.first_ms},
               {"events", summary.events},
               {"ms", summary.ms},
               {"waiting", summary.waiting},
               {"targets", summary.targets},
               {"state", summary.state},
               {"config", summary.config}},
              now);
}

void record_metrics(common::metrics& m, const call_summary& summary)
{
    const auto labels =
        common::concat("route=\"", summary.route, "\",outcome=\"", summary.event, "\"");
    m.count(common::concat("kqg_requests_total{", labels, ",code=\"", common::number(summary.code),
                           "\"}"));
    m.measure(common::concat("kqg_request_ms{", labels, "}"), static_cast<double>(summary.ms));
    if (summary.wait_ms >= 0)
        m.measure(common::concat("kqg_wait_ms{service=\"", summary.service, "\"}"),
                  static_cast<double>(summary.wait_ms));
}

} // namespace kumquatgap::gateway
