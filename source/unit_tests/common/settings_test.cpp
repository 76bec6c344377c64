#include "common/settings.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace kumquatgap::common;

namespace
{

struct sample_settings
{
    std::string name;
    std::string address;
    milliseconds delay{50};
    std::int64_t count = 3;
    settings_schema schema;

    sample_settings()
    {
        schema.add("process", "name", text_setting{&name});
        schema.add("process", "address", address_setting{&address});
        schema.add("process", "delay_ms",
                   duration_setting{&delay, milliseconds{1}, milliseconds{1000}});
        schema.add("process", "count", number_setting{&count, 1, 10});
    }
};

} // namespace

Test(settings, values_are_read_and_defaults_kept)
{
    sample_settings s;
    const auto errors = s.schema.read("[process]\nname = a\naddress = 127.0.0.1:80\ndelay_ms=7\n");
    cr_assert(errors.empty());
    cr_assert(s.name == "a");
    cr_assert(s.delay == milliseconds{7});
    cr_assert_eq(s.count, 3);
}

Test(settings, environment_goes_before_the_file)
{
    ::setenv("KQG_PROCESS_COUNT", "5", 1);
    ::setenv("KQG_PROCESS_NAME", "b", 1);
    sample_settings s;
    cr_assert(s.schema.read("[process]\naddress = 127.0.0.1:80\ncount = 4\n").empty());
    cr_assert_eq(s.count, 5);
    cr_assert(s.name == "b");
    ::setenv("KQG_PROCESS_COUNT", "11", 1);
    const auto errors = s.schema.read("[process]\naddress = 127.0.0.1:80\n");
    cr_assert_eq(errors.size(), 1U);
    cr_assert(errors.front().text.starts_with("KQG_PROCESS_COUNT: "));
}

Test(settings, all_errors_are_reported_with_their_lines)
{
    sample_settings s;
    const auto errors = s.schema.read("[process]\n"
                                      "naem = a\n"
                                      "delay_ms = soon\n"
                                      "count = 11\n"
                                      "count = 2\n"
                                      "no value here\n");
    // The two missing keys are errors of the file as a whole, line 0.
    const std::vector<int> expected{0, 0, 2, 3, 4, 5, 6};
    cr_assert(std::ranges::equal(errors, expected, {}, &settings_error::line));
}

Test(settings, addresses_without_port_are_rejected)
{
    for (const char* text : {"", "127.0.0.1", "127.0.0.1:", ":80", "a:0", "a:65536", "a:x"})
        cr_assert_eq(parse_address(text).port, 0, "%s", text);
    cr_assert_eq(parse_address("10.0.0.1:65535").port, 65535);
}

Test(settings, differences_lists_keys_with_other_values)
{
    sample_settings a;
    sample_settings b;
    cr_assert(a.schema.read("[process]\nname = a\naddress = 127.0.0.1:80\n").empty());
    cr_assert(b.schema.read("[process]\nname = a\naddress = 127.0.0.1:80\n").empty());
    cr_assert(a.schema.differences(b.schema).empty());
    b.delay = milliseconds{51};
    b.name = "b";
    const std::vector<std::string> expected{"process.delay_ms", "process.name"};
    cr_assert(a.schema.differences(b.schema) == expected);
}

namespace
{

using table = std::map<std::string, std::string, std::less<>>;

/// The table that a value is read as; none when it is malformed.
std::optional<table> read_table(const std::string& value)
{
    table out{{"old", "value"}};
    settings_schema schema;
    schema.add("process", "regions", table_setting{&out});
    const auto errors = schema.read("[process]\nregions = " + value + "\n");
    return errors.empty() ? std::optional{out} : std::nullopt;
}

} // namespace

/// A template without data centres writes an empty value, which must not keep a program from
/// starting.
Test(settings, table_is_read)
{
    cr_assert(read_table("") == table{});
    cr_assert(read_table("a:north") == (table{{"a", "north"}}));
    cr_assert(read_table("a:north, b : south,") == (table{{"a", "north"}, {"b", "south"}}));
}

/// A data centre without a region or with two was taken for one without restrictions.
Test(settings, malformed_table_is_rejected)
{
    for (const char* text : {"a", "a:", ":north", "a:north,b", "a:north,a:south"})
        cr_assert_not(read_table(text).has_value(), "%s", text);
}

/// inih passes on the first 199 bytes of a line only, which a table of some data centres exceeds.
Test(settings, long_line_is_read_whole)
{
    table expected;
    std::string text;
    for (int i = 100; i < 160; ++i)
    {
        const auto n = std::to_string(i);
        expected.emplace("data-centre-" + n, "region-" + n);
        text.append("data-centre-").append(n).append(":region-").append(n).append(",");
    }
    cr_assert(read_table(text) == expected);
    cr_assert(read_table(text + " ; a comment") == expected);
    cr_assert_not(read_table(std::string(5000, 'a') + ":north").has_value());
}

/// A changed table takes effect at the next start, which the program has to report.
Test(settings, differences_lists_tables)
{
    table a{{"x", "north"}};
    table b = a;
    settings_schema first;
    settings_schema second;
    first.add("process", "regions", table_setting{&a});
    second.add("process", "regions", table_setting{&b});
    cr_assert(first.differences(second).empty());
    b["x"] = "south";
    cr_assert(first.differences(second) == std::vector<std::string>{"process.regions"});
}

/// Guards against a misspelt choice that would silently select the default.
Test(settings, unknown_choice_is_an_error)
{
    std::string policy = "deadline";
    settings_schema schema;
    schema.add("admission", "policy", choice_setting{&policy, {"deadline", "value"}});
    cr_assert(schema.read("[admission]\npolicy = value\n").empty());
    cr_assert(policy == "value");
    cr_assert_eq(schema.read("[admission]\npolicy = values\n").size(), 1U);
    cr_assert(schema.read("").empty());
}
