#include "ctl/explain.hpp"

#include "common/result_code.hpp"
#include "common/text.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <string_view>

namespace kumquatgap::ctl
{

using common::log_line;
using std::chrono::milliseconds;

namespace
{

/// Log fields that hold a request's id.
constexpr auto s_id_fields = std::to_array<std::string_view>({"id", "request_id", "trace_id"});

/// Events of the last line that a process logs for a request.
constexpr auto s_end_events = std::to_array<std::string_view>(
    {"request_answered", "request_refused", "request_failed", "caller_gone"});

/// Events that change the state which a process's decisions depend on.
constexpr auto s_state_events = std::to_array<std::string_view>(
    {"started", "stopped", "shutdown_begun", "settings_reloaded", "store_lost", "store_regained",
     "state_regressed", "configuration_in_force", "configuration_regressed",
     "configuration_malformed", "target_learnt", "target_gone", "target_entry_malformed",
     "target_pace", "group_lost", "registration_failed", "log_lines_left_out"});

/// Events of a group's agents. They concern all targets of the group, since a group serves as a
/// whole.
constexpr auto s_group_events = std::to_array<std::string_view>(
    {"group_epoch", "switch_phase", "agent_silent", "lease_won", "lease_lost", "order_not_accepted",
     "report_lost", "pace_told", "order_sent_from_afar"});

template <std::size_t n>
bool is_one_of(const std::array<std::string_view, n>& names, std::string_view name)
{
    return std::ranges::find(names, name) != names.end();
}

bool names_request(const log_line& it, std::string_view id)
{
    return std::ranges::any_of(s_id_fields,
                               [&](std::string_view key) { return it.field(key) == id; });
}

/// Facts about a request, collected from the lines that contain its id.
struct request_facts
{
    std::string id;
    std::chrono::sys_time<milliseconds> from;
    std::chrono::sys_time<milliseconds> to;
    std::set<std::string, std::less<>> sources;
    std::set<std::string, std::less<>> targets;
    std::string service;
};

void update_facts(request_facts& facts, const sourced_line& it)
{
    const auto& line = it.line;
    milliseconds::rep length_ms = 0;
    if (!common::parse_number(line.field("ms"), length_ms))
        length_ms = 0;
    const auto from = line.time - milliseconds{length_ms};
    facts.from = facts.sources.empty() ? from : std::min(facts.from, from);
    facts.to = facts.sources.empty() ? line.time : std::max(facts.to, line.time);
    facts.sources.insert(it.source);
    for (const std::string_view key : {"target", "fault"})
    {
        if (const auto target = line.field(key); !target.empty())
            facts.targets.emplace(target);
    }
    if (const auto service = line.field("service"); !service.empty())
        facts.service = service;
}

/// True for a line about a service or target that the request did not use.
bool concerns_other_request(const log_line& it, const request_facts& facts)
{
    const auto service = it.field("service");
    const auto target = it.field("target");
    if (!service.empty() && service != facts.service)
        return true;
    // For a request that was sent to no target, all targets of its service are relevant.
    return !facts.targets.empty() && !target.empty() && !facts.targets.contains(target);
}

std::optional<line_role> role_of(const sourced_line& it, const request_facts& facts)
{
    const auto& line = it.line;
    if (names_request(line, facts.id))
        return line_role::request;
    if (is_one_of(s_group_events, line.event))
        return line_role::target;
    if (!is_one_of(s_state_events, line.event) || concerns_other_request(line, facts))
        return std::nullopt;
    if (facts.sources.contains(it.source))
        return line_role::process_state;
    return std::nullopt;
}

bool is_repetition(const timeline_entry& a, const timeline_entry& b)
{
    const auto& x = a.source_line->line;
    const auto& y = b.source_line->line;
    return a.role != line_role::request && a.source_line->source == b.source_line->source &&
           x.event == y.event && x.fields == y.fields;
}

std::string line_text(const timeline_entry& it)
{
    const auto& line = it.source_line->line;
    auto out = fmt::format("{:>+7} ms  {:<12} {}", it.after_arrival.count(), it.source_line->source,
                           line.event);
    for (const auto& [key, value] : line.fields)
    {
        if (key != "id")
            out += fmt::format(" {}={}", key, value);
    }
    return it.occurrences == 1 ? out : fmt::format("{}  ({} times)", out, it.occurrences);
}

std::string heading(const std::string& id, const sourced_line& it)
{
    const auto& line = it.line;
    std::uint16_t code = 0;
    const auto* known =
        common::parse_number(line.field("code"), code) ? common::find_code(code) : nullptr;
    auto out = fmt::format("request {} route={} service={} team={}\n", id, line.field("route"),
                           line.field("service"), line.field("team"));
    out += fmt::format("{} at {}: code {} {}, status {}, {} attempt(s), {} ms\n", line.event,
                       it.source, line.field("code"), known == nullptr ? "" : known->name,
                       line.field("status"), line.field("attempts"), line.field("ms"));
    if (known != nullptr)
        out += fmt::format("{}\n", known->text);
    out += fmt::format("decided by: {} waiting in the service's line, {} usable targets, state of "
                       "revision {}, configuration {}\n",
                       line.field("waiting"), line.field("targets"), line.field("state"),
                       line.field("config"));
    return out;
}

} // namespace

request_timeline explain(const std::string& request_id, const std::vector<sourced_line>& lines,
                         explain_options options)
{
    request_timeline out;
    request_facts facts;
    facts.id = request_id;
    for (const auto& it : lines)
    {
        if (!names_request(it.line, request_id))
            continue;
        update_facts(facts, it);
        if (is_one_of(s_end_events, it.line.event))
            out.end = &it;
    }
    if (facts.sources.empty())
        return out;
    for (const auto& it : lines)
    {
        const auto at = it.line.time;
        if (at < facts.from - options.before || at > facts.to + options.after)
            continue;
        if (const auto role = role_of(it, facts))
            out.lines.push_back({*role, &it, at - facts.from});
    }
    std::ranges::stable_sort(out.lines, {}, &timeline_entry::after_arrival);
    std::vector<timeline_entry> merged;
    merged.reserve(out.lines.size());
    for (const auto& it : out.lines)
    {
        if (!merged.empty() && is_repetition(merged.back(), it))
            ++merged.back().occurrences;
        else
            merged.push_back(it);
    }
    out.lines = std::move(merged);
    return out;
}

std::string to_text(const std::string& request_id, const request_timeline& timeline)
{
    std::string out;
    if (timeline.lines.empty())
        return fmt::format("no log line names request {}\n", request_id);
    if (timeline.end == nullptr)
        out += fmt::format("request {}: no log has its end\n", request_id);
    else
        out += heading(request_id, *timeline.end);
    for (const auto& it : timeline.lines)
        out += line_text(it) + "\n";
    return out;
}

} // namespace kumquatgap::ctl
