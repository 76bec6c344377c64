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

/// A stream that was cut since its group lost a member, between lines that explain it and lines
/// of other calls.
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

bool has(const request_story& story, const std::string& event, const std::string& field,
         const std::string& value)
{
    return std::ranges::any_of(
        story.lines, [&](const story_line& it)
        { return it.what->line.event == event && it.what->line.field(field) == value; });
}

} // namespace

Test(log_line, is_read_with_quotes_and_behind_a_collectors_name)
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

Test(log_line, a_line_of_anybody_else_is_none)
{
    for (const auto* text : {"", "hello", "time=yesterday event=a", "time=2026-12-04T07:00:01Z x"})
        cr_assert_not(common::read_log_line(text).has_value(), "%s", text);
}

Test(explain, a_story_has_its_end_its_attempts_and_what_was_believed)
{
    const auto lines = cut_stream();
    const auto story = explain("r-1", lines);
    cr_assert_not_null(story.end);
    cr_assert_eq(story.end->line.event, "request_failed");
    cr_assert(has(story, "attempt_failed", "target", "t-7"));
    cr_assert(has(story, "group_lost", "fault", "t-9"));
    cr_assert(has(story, "target_learnt", "target", "t-7"));
    cr_assert(has(story, "group_epoch", "epoch", "8"), "the agents' lines on the group");
    cr_assert(std::ranges::is_sorted(story.lines, {}, &story_line::after_arrival));
}

Test(explain, a_story_leaves_out_what_has_nothing_to_do_with_it)
{
    const auto lines = cut_stream();
    const auto story = explain("r-1", lines);
    cr_assert_not(has(story, "request_answered", "id", "r-2"));
    cr_assert_not(has(story, "group_lost", "fault", "t-1"), "another service");
    cr_assert_not(has(story, "target_learnt", "target", "t-8"), "a target that was not tried");
    cr_assert_not(has(story, "store_lost", "code", "5001"), "another gateway's store");
    cr_assert_not(has(story, "started", "address", "127.0.0.1:80"), "long before");
}

Test(explain, the_text_names_outcome_inputs_and_their_versions)
{
    const auto lines = cut_stream();
    const auto text = to_text("r-1", explain("r-1", lines));
    for (const auto* part :
         {"request r-1 route=draft service=drafts team=a b", "code 3003 stream_cut", "3 waiting",
          "8 usable targets", "state of revision 44", "configuration 5",
          "+2000 ms  gw-1         attempt_failed"})
        cr_assert(text.find(part) != std::string::npos, "%s is not in\n%s", part, text.c_str());
}

Test(explain, repeated_lines_are_counted)
{
    auto lines = cut_stream();
    for (int i = 0; i < 3; ++i)
        add(lines, "gw-1", gateway_line("12.550", "event=registration_failed code=5001"));
    const auto story = explain("r-1", lines);
    const auto it = std::ranges::find_if(story.lines, [](const story_line& l)
                                         { return l.what->line.event == "registration_failed"; });
    cr_assert(it != story.lines.end());
    cr_assert_eq(it->times, 3);
}

Test(explain, a_request_that_no_log_names_is_said_so)
{
    const auto lines = cut_stream();
    const auto story = explain("r-9", lines);
    cr_assert(story.lines.empty());
    cr_assert_eq(to_text("r-9", story), "no log line names request r-9\n");
}
