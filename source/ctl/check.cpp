#include "ctl/check.hpp"

#include "config/resource_check.hpp"

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace kumquatgap::ctl
{

using config::finding_code;
using config::severity;
using nlohmann::json;

std::optional<std::string> read_file(const std::string& path)
{
    std::stringstream text;
    if (path == "-")
    {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream file{path};
    if (!file)
        return std::nullopt;
    text << file.rdbuf();
    return text.str();
}

std::optional<std::vector<config::resource>> read_resources(const std::string& text)
{
    const auto file = json::parse(text, nullptr, false);
    if (file.is_discarded())
        return std::nullopt;
    std::vector<config::resource> out;
    for (const auto& it : file.is_array() ? file : json::array({file}))
    {
        if (!it.is_object() || !it.value("kind", json()).is_string() ||
            !it.value("name", json()).is_string())
            return std::nullopt;
        const auto type = config::find_kind(it["kind"].get_ref<const std::string&>());
        if (!type)
            return std::nullopt;
        auto r = config::from_json(*type, it["name"].get_ref<const std::string&>(), it);
        if (!r)
            return std::nullopt;
        out.push_back(std::move(r.value()));
    }
    return out;
}

check_report check_resources(const std::string& text,
                             const std::optional<std::vector<config::resource>>& in_force)
{
    const auto file = json::parse(text, nullptr, false);
    if (file.is_discarded())
        return {{{severity::error, finding_code::malformed, "file", "not JSON"}}, {}};
    config::resource_check check{in_force.value_or(std::vector<config::resource>{})};
    check.run(file);
    return {check.findings(), in_force ? check.differences() : std::vector<config::difference>{}};
}

} // namespace kumquatgap::ctl
