#include "config/resource.hpp"

#include "common/text.hpp"

#include "common/settings.hpp"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>
#include <numeric>

namespace kumquatgap::config
{

using common::failure;
using common::result_code;
using nlohmann::json;

namespace
{

constexpr std::size_t max_name_length = 63;
constexpr std::size_t sha256_hex_digits = 64;
constexpr std::int64_t full_share_percent = 100;
constexpr std::int64_t max_slots = 4096;
constexpr std::int64_t max_priority_level = 9;
constexpr std::int64_t max_deadline_ms = 3'600'000;
constexpr std::int64_t max_moves = 10'000;
constexpr std::int64_t max_interval_s = 86'400;

struct kind_name
{
    kind type;
    std::string_view name;
};

constexpr auto s_kind_names = std::to_array<kind_name>({
    {kind::team, "team"},
    {kind::service, "service"},
    {kind::target, "target"},
    {kind::share, "share"},
    {kind::priority, "priority"},
    {kind::rebalance_limit, "rebalance_limit"},
});

constexpr auto s_kinds = std::to_array<kind>(
    {kind::team, kind::service, kind::target, kind::share, kind::priority, kind::rebalance_limit});

/// The format of a field's value.
enum class value_format : std::uint8_t
{
    name,
    text,
    token_hash,
    address,
    integer,
    boolean,
    service_type,
    path,
    once_only_list,
    time_of_day
};

/// A field of the spec of one kind of resource.
struct field_rule
{
    kind type;
    std::string_view name;
    value_format format;
    bool required;
    std::int64_t min_value = 0;
    std::int64_t max_value = 0;
};

constexpr auto s_fields = std::to_array<field_rule>({
    {kind::team, "member", value_format::name, true},
    {kind::team, "token_sha256", value_format::token_hash, true},

    {kind::service, "type", value_format::service_type, true},
    {kind::service, "model", value_format::text, false},
    {kind::service, "path", value_format::path, false},
    {kind::service, "once_only", value_format::once_only_list, false},
    {kind::service, "deadline_ms", value_format::integer, false, 1, max_deadline_ms},
    {kind::service, "echoes_request_id", value_format::boolean, false},

    {kind::target, "service", value_format::name, true},
    {kind::target, "host", value_format::name, true},
    {kind::target, "data_centre", value_format::name, true},
    {kind::target, "agent", value_format::address, true},
    {kind::target, "slots", value_format::integer, true, 1, max_slots},

    {kind::share, "team", value_format::name, true},
    {kind::share, "service", value_format::name, true},
    {kind::share, "percent", value_format::integer, true, 1, full_share_percent},

    {kind::priority, "team", value_format::name, true},
    {kind::priority, "service", value_format::name, true},
    {kind::priority, "level", value_format::integer, true, 0, max_priority_level},
    {kind::priority, "from", value_format::time_of_day, false},
    {kind::priority, "to", value_format::time_of_day, false},

    {kind::rebalance_limit, "service", value_format::name, true},
    {kind::rebalance_limit, "max_moves", value_format::integer, true, 0, max_moves},
    {kind::rebalance_limit, "interval_s", value_format::integer, true, 1, max_interval_s},
});

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::ranges::all_of(text,
                               [](char c) {
                                   return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
                                          c == '-' || c == '_' || c == '.';
                               });
}

bool is_token_hash(std::string_view text)
{
    return text.size() == sha256_hex_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool is_time_of_day(std::string_view text)
{
    int hours = 0;
    int minutes = 0;
    constexpr int hours_per_day = 24;
    constexpr int minutes_per_hour = 60;
    return text.size() == 5 && text[2] == ':' && common::parse_number(text.substr(0, 2), hours) &&
           common::parse_number(text.substr(3), minutes) && hours < hours_per_day && hours >= 0 &&
           minutes < minutes_per_hour && minutes >= 0;
}

bool is_once_only_list(const json& value)
{
    return value.is_array() &&
           std::ranges::all_of(value,
                               [](const json& it)
                               {
                                   return it.is_object() && it.contains("method") &&
                                          it["method"].is_string() && it.contains("path") &&
                                          it["path"].is_string();
                               });
}

/// The error in a field's value; an empty text when it is valid.
std::string check_format(const field_rule& rule, const json& value)
{
    const bool is_text = value.is_string();
    const std::string_view text =
        is_text ? std::string_view{value.get_ref<const std::string&>()} : std::string_view{};
    switch (rule.format)
    {
    case value_format::name:
        return is_text && is_name(text) ? "" : "must be a name of a-z, 0-9, '-', '_' and '.'";
    case value_format::text:
        return is_text && !text.empty() ? "" : "must be text";
    case value_format::token_hash:
        return is_text && is_token_hash(text) ? "" : "must be 64 hexadecimal digits";
    case value_format::address:
        return is_text && common::parse_address(text).port != 0 ? "" : "must be ip:port";
    case value_format::integer:
        if (value.is_number_integer() && value.get<std::int64_t>() >= rule.min_value &&
            value.get<std::int64_t>() <= rule.max_value)
            return "";
        return common::concat("must be a whole number from ", rule.min_value, " to ",
                              rule.max_value);
    case value_format::boolean:
        return value.is_boolean() ? "" : "must be true or false";
    case value_format::service_type:
        return text == "model" || text == "plain" ? "" : "must be model or plain";
    case value_format::path:
        return text.starts_with('/') ? "" : "must start with '/'";
    case value_format::once_only_list:
        return is_once_only_list(value) ? "" : "must be a list of {method, path}";
    case value_format::time_of_day:
        return is_text && is_time_of_day(text) ? "" : "must be HH:MM";
    }
    return "";
}

/// All errors in a spec's fields.
std::vector<std::string> check_spec(kind k, const json& spec)
{
    std::vector<std::string> errors;
    const auto of_kind = [k](const field_rule& rule) { return rule.type == k; };
    for (const auto& rule : s_fields)
    {
        if (!of_kind(rule))
            continue;
        const auto it = spec.find(rule.name);
        if (it == spec.end() && rule.required)
            errors.push_back(common::concat("spec.", rule.name, " is missing"));
        if (it == spec.end())
            continue;
        const auto text = check_format(rule, *it);
        if (!text.empty())
            errors.push_back(common::concat("spec.", rule.name, " ", text));
    }
    for (const auto& it : spec.items())
    {
        const auto& name = it.key();
        const auto known = [&](const field_rule& rule)
        { return of_kind(rule) && rule.name == name; };
        if (std::ranges::none_of(s_fields, known))
            errors.push_back(common::concat("spec.", name, " is not a field of ", name_of(k)));
    }
    return errors;
}

/// Checks the rules between the fields of a service's spec.
void check_service(const json& spec, std::vector<std::string>& errors)
{
    const auto type = spec.value("type", "");
    if (type == "model" && !spec.contains("model"))
        errors.emplace_back("spec.model is missing for a service of type model");
    if (type == "plain" && !spec.contains("path"))
        errors.emplace_back("spec.path is missing for a service of type plain");
}

bool exists(std::span<const resource> all, kind k, const std::string& name)
{
    return std::ranges::any_of(all,
                               [&](const resource& it) { return it.type == k && it.name == name; });
}

/// The sum of the shares of a service in percent, without the resource that is being written.
std::int64_t sum_of_other_shares(const resource& r, std::span<const resource> others)
{
    return std::transform_reduce(others.begin(), others.end(), std::int64_t{0}, std::plus<>{},
                                 [&](const resource& it)
                                 {
                                     const bool is_counted =
                                         it.type == kind::share && it.name != r.name &&
                                         it.spec["service"] == r.spec["service"];
                                     return is_counted ? it.spec["percent"].get<std::int64_t>() : 0;
                                 });
}

/// True when another resource of the same kind has the same value in a field that must be unique.
bool is_value_in_use(const resource& r, std::span<const resource> others, const char* field)
{
    return r.spec.contains(field) && std::ranges::any_of(others,
                                                         [&](const resource& it)
                                                         {
                                                             return it.type == r.type &&
                                                                    it.name != r.name &&
                                                                    it.spec.contains(field) &&
                                                                    it.spec[field] == r.spec[field];
                                                         });
}

} // namespace

std::optional<kind> find_kind(std::string_view name)
{
    const auto it = std::ranges::find(s_kind_names, name, &kind_name::name);
    return it == s_kind_names.end() ? std::nullopt : std::optional{it->type};
}

std::string_view name_of(kind k)
{
    return std::ranges::find(s_kind_names, k, &kind_name::type)->name;
}

std::span<const kind> all_kinds()
{
    return s_kinds;
}

std::string key_of(kind k, std::string_view name)
{
    return common::concat(resource_prefix, name_of(k), "/", name);
}

std::string serialize(const resource& r)
{
    return json{{"spec", r.spec}, {"writer", r.writer}}.dump();
}

std::optional<resource> deserialize(const kv::key_value& kv)
{
    std::string_view key = kv.key;
    if (!key.starts_with(resource_prefix))
        return std::nullopt;
    key.remove_prefix(resource_prefix.size());
    const auto slash = key.find('/');
    const auto k = find_kind(key.substr(0, slash));
    const auto value = json::parse(kv.value, nullptr, false);
    if (slash == std::string_view::npos || !k || !value.is_object() || !value.contains("spec") ||
        !value["spec"].is_object() || !check_spec(*k, value["spec"]).empty())
        return std::nullopt;
    return resource{*k, std::string{key.substr(slash + 1)}, value["spec"], kv.mod_revision,
                    value.value("writer", "")};
}

json to_json(const resource& r)
{
    return {{"kind", name_of(r.type)},
            {"name", r.name},
            {"resourceVersion", std::to_string(r.version)},
            {"spec", r.spec}};
}

common::result<resource> from_json(kind k, std::string_view name, const json& body)
{
    std::vector<std::string> errors;
    resource out{k, std::string{name}, body.value("spec", json::object()), 0, ""};
    if (!is_name(name))
        errors.emplace_back("name must be of a-z, 0-9, '-', '_' and '.'");
    if (body.contains("kind") && body["kind"] != name_of(k))
        errors.emplace_back("kind does not fit the path");
    if (body.contains("name") && body["name"] != name)
        errors.emplace_back("name does not fit the path");
    const auto version = body.value("resourceVersion", json("0"));
    if (!version.is_string() ||
        !common::parse_number(version.get_ref<const std::string&>(), out.version) ||
        out.version < 0)
        errors.emplace_back("resourceVersion must be a number as text");
    for (const auto& [field, value] : body.items())
    {
        if (field != "kind" && field != "name" && field != "resourceVersion" && field != "spec")
            errors.push_back(common::concat(field, " is not a field of a resource"));
    }
    if (!out.spec.is_object())
        return failure{result_code::invalid_resource, "spec must be an object"};
    const auto spec_errors = check_spec(k, out.spec);
    errors.insert(errors.end(), spec_errors.begin(), spec_errors.end());
    if (errors.empty() && k == kind::service)
        check_service(out.spec, errors);
    if (!errors.empty())
        return failure{result_code::invalid_resource, absl::StrJoin(errors, "; ")};
    return out;
}

std::string find_conflict(const resource& r, std::span<const resource> others)
{
    for (const auto& [field, k] : {std::pair{"service", kind::service}, {"team", kind::team}})
    {
        if (r.spec.contains(field) && !exists(others, k, r.spec[field]))
            return common::concat("spec.", field, " names no ", name_of(k));
    }
    if (r.type == kind::share)
    {
        const auto sum = sum_of_other_shares(r, others) + r.spec["percent"].get<std::int64_t>();
        if (sum > full_share_percent)
            return common::concat("the service's shares would add up to ", sum, " percent");
    }
    for (const char* field : {"token_sha256", "model", "path"})
    {
        if (is_value_in_use(r, others, field))
            return common::concat("spec.", field, " is already in use");
    }
    return "";
}

} // namespace kumquatgap::config
