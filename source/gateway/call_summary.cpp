#include "gateway/call_summary.hpp"

#include "common/text.hpp"

namespace kumquatgap::gateway
{

namespace
{

/// How a call ended for a caller with a latency goal.
std::string_view outcome_of(const call_summary& it)
{
    if (it.event == "request_refused")
        return it.is_late ? "refused_late" : "refused";
    if (it.event != "request_answered")
        return "lost";
    return it.is_late ? "late" : "on_time";
}

/// Counts calls by priority, and refusals by reason as well.
void record_priority_metrics(common::metrics& m, const call_summary& it)
{
    if (it.service.empty())
        return;
    const auto labels =
        common::concat("service=\"", it.service, "\",priority=\"", it.priority, "\"");
    m.count(
        common::concat("kqg_priority_calls_total{", labels, ",outcome=\"", outcome_of(it), "\"}"));
    if (it.event == "request_refused")
        m.count(common::concat("kqg_refusals_total{", labels, ",reason=\"",
                               common::info(it.code).name, "\"}"));
}

} // namespace

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
               {"config", summary.config},
               {"priority", summary.priority},
               {"late", summary.is_late ? 1 : 0}},
              now);
}

void record_metrics(common::metrics& m, const call_summary& summary)
{
    const auto labels =
        common::concat("route=\"", summary.route, "\",outcome=\"", summary.event, "\"");
    m.count(common::concat("kqg_requests_total{", labels, ",code=\"", common::number(summary.code),
                           "\"}"));
    m.measure(common::concat("kqg_request_ms{", labels, "}"), static_cast<double>(summary.ms));
    record_priority_metrics(m, summary);
    if (summary.wait_ms >= 0)
        m.measure(common::concat("kqg_wait_ms{service=\"", summary.service, "\"}"),
                  static_cast<double>(summary.wait_ms));
}

} // namespace kumquatgap::gateway
