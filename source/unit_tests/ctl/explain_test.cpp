#include "ctl/explain.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace kumquatgap;
using namespace kumquatgap::ctl;

namespace
{

void add(std::vector<sourced_line>& lines, const std::string& source, const std::string& text)
{
    auto it = common::read_log_line(text);
    cr_assert(it.has_value(), "%s", text.c_str());
    lines.push_back({source, std::move(*it)});
}

std::string gateway_line(const std::string& time, const std::string& rest)
{
    return "time=2026-12-04T07:00:" + time + "Z level=info program=kqg-gateway " + rest;
}

std::string agent_line(const std::string& time, const std::string& rest)
{
    return "time=2026-12-04T07:00:" + time + "Z level=info program=kqg-rank-agent " + rest;
}

/// Log lines of a stream that was cut because its group lost a member, of related events, and of
/// unrelated calls.
std::vector<sourced_line> cut_stream()
{
    std::vector<sourced_line> out;
    add(out, "gw-1", gateway_line("01.000", "event=started address=127.0.0.1:80"));
    add(out, "gw-1",
        gateway_line("09.000", "event=target_learnt target=t-7 service=drafts "
                               "address=127.0.0.1:81 leaving=0 revision=9"));
    add(out, "gw-1",
        gateway_line("09.100", "event=target_learnt target=t-8 service=drafts "
                               "address=127.0.0.1:82 leaving=0 revision=10"));
    add(out, "gw-1",
        gateway_line("12.500", "event=attempt_failed id=r-1 target=t-7 outcome=unknown status=200 "
                               "fault=\"\" events=4 ms=2000"));
    add(out, "gw-1", gateway_line("12.510", "event=group_lost service=drafts fault=t-9"));
    add(out, "gw-1", gateway_line("12.520", "event=group_lost service=other fault=t-1"));
    add(out, "gw-1",
        gateway_line("12.600", "event=request_answered id=r-2 route=a service=drafts team=b code=0 "
                               "status=200 ms=10"));
    add(out, "gw-1",
        gateway_line("13.000",
                     "event=request_failed id=r-1 route=draft service=drafts team=\"a b\" "
                     "code=3003 status=502 attempts=2 wait_ms=5 first_ms=700 events=4 ms=2500 "
                     "waiting=3 targets=8 state=44 config=5"));
    add(out, "gw-2", gateway_line("12.000", "event=store_lost code=5001 revision=40"));
    add(out, "side-3", agent_line("12.450", "event=group_epoch epoch=8"));
    return out;
}

bool has(const request_timeline& timeline, const std::string& event, const std::string& field,
         const std::string& value)
{
    return std::ranges::any_of(timeline.lines,
                               [&](const timeline_entry& it) {
                                   return it.source_line->line.event == event &&
                                          it.source_line->line.field(field) == value;
                               });
}

} // namespace

Test(log_line, parses_quoted_fields_and_collector_prefix)
{
    const auto it = common::read_log_line(
        "  3.25 front-1 | time=2026-12-04T07:00:01.250Z level=warn program=kqg-gateway "
        R"(event=store_lost detail="no \"answer\" in time" code=5001 empty="")");
    cr_assert(it.has_value());
    cr_assert_eq(it->origin, "front-1");
    cr_assert_eq(it->event, "store_lost");
    cr_assert_eq(it->level, "warn");
    cr_assert_eq(it->field("detail"), "no \"answer\" in time");
    cr_assert_eq(it->field("code"), "5001");
    cr_assert_eq(it->field("empty"), "");
    cr_assert_eq(it->time.time_since_epoch().count() % 60'000, 1250);
}

Test(log_line, rejects_lines_of_other_formats)
{
    for (const auto* text : {"", "hello", "time=yesterday event=a", "time=2026-12-04T07:00:01Z x"})
        cr_assert_not(common::read_log_line(text).has_value(), "%s", text);
}

Test(explain, timeline_has_end_attempts_and_state_changes)
{
    const auto lines = cut_stream();
    const auto timeline = explain("r-1", lines);
    cr_assert_not_null(timeline.end);
    cr_assert_eq(timeline.end->line.event, "request_failed");
    cr_assert(has(timeline, "attempt_failed", "target", "t-7"));
    cr_assert(has(timeline, "group_lost", "fault", "t-9"));
    cr_assert(has(timeline, "target_learnt", "target", "t-7"));
    cr_assert(has(timeline, "group_epoch", "epoch", "8"), "the agents' lines about the group");
    cr_assert(std::ranges::is_sorted(timeline.lines, {}, &timeline_entry::after_arrival));
}

Test(explain, timeline_leaves_out_unrelated_lines)
{
    const auto lines = cut_stream();
    const auto timeline = explain("r-1", lines);
    cr_assert_not(has(timeline, "request_answered", "id", "r-2"));
    cr_assert_not(has(timeline, "group_lost", "fault", "t-1"), "another service");
    cr_assert_not(has(timeline, "target_learnt", "target", "t-8"), "a target that was not tried");
    cr_assert_not(has(timeline, "store_lost", "code", "5001"), "another gateway's store");
    cr_assert_not(has(timeline, "started", "address", "127.0.0.1:80"), "long before");
}

Test(explain, text_has_outcome_inputs_and_versions)
{
    const auto lines = cut_stream();
    const auto text = to_text("r-1", explain("r-1", lines));
    for (const auto* part :
         {"request r-1 route=draft service=drafts team=a b", "code 3003 stream_cut", "3 waiting",
          "8 usable targets", "state of revision 44", "configuration 5",
          "+2000 ms  gw-1         attempt_failed"})
        cr_assert(text.find(part) != std::string::npos, "%s is not in\n%s", part, text.c_str());
}

Test(explain, counts_repeated_lines)
{
    auto lines = cut_stream();
    for (int i = 0; i < 3; ++i)
        add(lines, "gw-1", gateway_line("12.550", "event=registration_failed code=5001"));
    const auto timeline = explain("r-1", lines);
    const auto it =
        std::ranges::find_if(timeline.lines, [](const timeline_entry& l)
                             { return l.source_line->line.event == "registration_failed"; });
    cr_assert(it != timeline.lines.end());
    cr_assert_eq(it->occurrences, 3);
}

Test(explain, reports_request_that_no_log_names)
{
    const auto lines = cut_stream();
    const auto timeline = explain("r-9", lines);
    cr_assert(timeline.lines.empty());
    cr_assert_eq(to_text("r-9", timeline), "no log line names request r-9\n");
}
