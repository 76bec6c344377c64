#include "gateway/call_summary.hpp"

#include "common/text.hpp"

namespace kumquatgap::gateway
{

void write_line(common::limited_log& out, const call_summary& it, common::timestamp now)
{
    out.write(common::log_level::info, it.event,
              {{"id", it.id},
               {"route", it.route},
               {"service", it.service},
               {"team", it.team},
               {"code", common::number(it.code)},
               {"status", it.status},
               {"attempts", it.attempts},
               {"wait_ms", it.wait_ms},
               {"first_ms", it.first_ms},
               {"events", it.events},
               {"ms", it.ms},
               {"waiting", it.waiting},
               {"targets", it.targets},
               {"state", it.state},
               {"config", it.config}},
              now);
}

void count(common::metrics& m, const call_summary& it)
{
    const auto labels = common::concat("route=\"", it.route, "\",outcome=\"", it.event, "\"");
    m.count(
        common::concat("kqg_requests_total{", labels, ",code=\"", common::number(it.code), "\"}"));
    m.measure(common::concat("kqg_request_ms{", labels, "}"), static_cast<double>(it.ms));
    if (it.wait_ms >= 0)
        m.measure(common::concat("kqg_wait_ms{service=\"", it.service, "\"}"),
                  static_cast<double>(it.wait_ms));
}

} // namespace kumquatgap::gateway
