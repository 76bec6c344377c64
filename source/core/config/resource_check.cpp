#include "config/resource_check.hpp"

#include "common/text.hpp"
#include "config/view.hpp"

#include <algorithm>
#include <set>

namespace kumquatgap::config
{

using common::concat;
using nlohmann::json;

namespace
{

constexpr int minutes_per_day = 24 * 60;

std::string id_of(const resource& it)
{
    return concat(name_of(it.type), "/", it.name);
}

/// The view that the daemons have of these resources.
view view_of(const std::vector<resource>& resources)
{
    snapshot s{1, {}, 0};
    for (const auto& it : resources)
        s.items.push_back({key_of(it.type, it.name), serialize(it), 1});
    replica out;
    out.update(s);
    return view{out};
}

/// The kind that an entry names; nullopt when it names none or an unknown one.
std::optional<kind> kind_of(const json& entry)
{
    const auto it = entry.find("kind");
    return it != entry.end() && it->is_string() ? find_kind(it->get_ref<const std::string&>())
                                                : std::nullopt;
}

bool is_rule_for(const resource& it, const std::string& team, const std::string& service)
{
    return it.type == kind::priority && it.spec["team"] == team && it.spec["service"] == service;
}

/// True when a team's calls to a service have the same priority at every minute of the day.
bool is_same_priority(const view& a, const view& b, const std::string& team,
                      const std::string& service)
{
    for (int minute = 0; minute < minutes_per_day; ++minute)
    {
        if (a.priority_level(team, service, minute) != b.priority_level(team, service, minute))
            return false;
    }
    return true;
}

} // namespace

resource_check::resource_check(std::vector<resource> in_force) : m_resources{std::move(in_force)} {}

void resource_check::report(severity level, finding_code code, std::string place, std::string text)
{
    m_findings.push_back({level, code, std::move(place), std::move(text)});
}

void resource_check::run(const json& file)
{
    const auto list = file.is_array() ? file : json::array({file});
    for (std::size_t i = 0; i < list.size(); ++i)
        add(list[i], concat("[", i, "]"));
    check_targets();
    check_priorities();
}

/// Checks an entry as the API does: by itself, and then against the others.
void resource_check::add(const json& entry, const std::string& place)
{
    if (!entry.is_object() || !entry.value("name", json()).is_string())
        return report(severity::error, finding_code::malformed, place,
                      "a resource needs a kind and a name");
    const auto name = entry["name"].get<std::string>();
    const auto type = kind_of(entry);
    if (!type)
        return report(severity::error, finding_code::malformed, concat(place, " ", name),
                      "there is no such kind of resource");
    const auto id = concat(place, " ", name_of(*type), "/", name);
    auto it = from_json(*type, name, entry);
    if (!it)
        return report(severity::error, finding_code::invalid_resource, id, it.error().detail);
    if (std::ranges::find(m_written, id_of(it.value())) != m_written.end())
        report(severity::error, finding_code::duplicate_entry, id,
               "the file has this resource before; only the last one is kept");
    if (const auto* before = find(it.value()); before != nullptr && before->version != 0 &&
                                               entry.contains("resourceVersion") &&
                                               before->version != it.value().version)
        return report(severity::error, finding_code::conflict, id,
                      concat("the resource is at ", before->version));
    const auto conflict = find_conflict(it.value(), m_resources);
    if (!conflict.empty())
        return report(severity::error, finding_code::conflict, id, conflict);
    put(std::move(it.value()));
}

resource* resource_check::find(const resource& it)
{
    const auto found =
        std::ranges::find_if(m_resources, [&](const resource& other)
                             { return other.type == it.type && other.name == it.name; });
    return found == m_resources.end() ? nullptr : &*found;
}

void resource_check::put(resource it)
{
    m_written.push_back(id_of(it));
    auto* before = find(it);
    compare(before, it);
    if (before == nullptr)
        m_resources.push_back(std::move(it));
    else
        *before = std::move(it);
}

void resource_check::compare(const resource* before, const resource& after)
{
    const auto place = id_of(after);
    if (before == nullptr)
    {
        m_differences.push_back({place, "added"});
        return;
    }
    const auto text_of = [](const json& spec, const std::string& field)
    { return spec.contains(field) ? spec[field].dump() : std::string{"none"}; };
    std::set<std::string> fields;
    for (const auto* spec : {&before->spec, &after.spec})
    {
        for (const auto& it : spec->items())
            fields.insert(it.key());
    }
    for (const auto& field : fields)
    {
        const auto from = text_of(before->spec, field);
        const auto to = text_of(after.spec, field);
        if (from != to)
            m_differences.push_back({place, concat(field, ": ", from, " -> ", to)});
    }
}

/// Finds the services of the file that no target serves.
void resource_check::check_targets()
{
    const auto all = view_of(m_resources);
    for (const auto& it : m_resources)
    {
        const bool is_of_file = std::ranges::find(m_written, id_of(it)) != m_written.end();
        if (is_of_file && it.type == kind::service && all.targets_of(it.name).empty())
            report(severity::warning, finding_code::no_target, id_of(it),
                   "no target serves the service");
    }
}

/// Finds the priority rules of the file without which all calls would have the same priorities.
void resource_check::check_priorities()
{
    for (const auto& rule : m_resources)
    {
        if (rule.type != kind::priority ||
            std::ranges::find(m_written, id_of(rule)) == m_written.end())
            continue;
        const auto team = rule.spec["team"].get<std::string>();
        const auto service = rule.spec["service"].get<std::string>();
        std::vector<resource> with;
        std::ranges::copy_if(m_resources, std::back_inserter(with),
                             [&](const resource& it) { return is_rule_for(it, team, service); });
        auto without = with;
        std::erase_if(without, [&](const resource& it) { return it.name == rule.name; });
        if (is_same_priority(view_of(with), view_of(without), team, service))
            report(severity::warning, finding_code::covered_rule, id_of(rule),
                   "changes no priority at any time: other rules of the team and service, or the "
                   "level 5 of calls without a rule, are at least as urgent");
    }
}

} // namespace kumquatgap::config
