#include "fleet/configuration.hpp"

#include <criterion/criterion.h>

#include <map>

using namespace kumquatgap::fleet;

namespace
{

configuration example()
{
    configuration out;
    for (const auto* prefix : {"/", "/a/", "/a/b/", "/c/d/"})
    {
        route it;
        it.name = prefix;
        it.host = "Site.Example";
        it.prefix = prefix;
        out.add(it);
    }
    return out;
}

std::string found(std::string_view host, std::string_view path)
{
    const auto c = example();
    const auto* it = c.find_route(host, path);
    return it == nullptr ? "" : it->name;
}

} // namespace

Test(fleet_configuration, longest_prefix_matches)
{
    cr_assert_eq(found("site.example", "/a/b/c"), "/a/b/");
    cr_assert_eq(found("site.example", "/a/bc"), "/a/");
    cr_assert_eq(found("site.example:8080", "/a/"), "/a/");
    cr_assert_eq(found("SITE.example", "/ab"), "/");
    cr_assert_eq(found("site.example", "/c/d"), "/");
    cr_assert_eq(found("other.example", "/a/"), "");
    cr_assert_eq(found("site.example", "no slash"), "");
}

Test(fleet_configuration, shares_split_calls_by_weight)
{
    route it;
    it.shares = {{"x", 90}, {"y", 10}};
    std::map<std::string, int> n;
    constexpr int draws = 1000;
    for (int i = 0; i < draws; ++i)
        ++n[pick_service(it, static_cast<double>(i) / draws)];
    cr_assert_eq(n["x"], 900);
    cr_assert_eq(n["y"], 100);
}
