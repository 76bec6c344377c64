#include "deployment.hpp"

#include "common/result_code.hpp"
#include "common/text.hpp"

#include <criterion/criterion.h>

#include <fstream>
#include <vector>

using namespace kumquatgap;
using namespace kumquatgap::failures;
using common::result_code;

namespace
{

/// A request that is refused, and with which code.
struct refused_request
{
    io::http_request request;
    result_code code;
};

io::http_request with_body(std::string body)
{
    auto out = chat("p", 1, false);
    out.body = std::move(body);
    return out;
}

io::http_request with_key(const std::string& key)
{
    auto out = order("r");
    out.headers = {{"Authorization", "Bearer test-team"}, {"Idempotency-Key", key}};
    return out;
}

std::vector<refused_request> bad_calls()
{
    std::vector<refused_request> out = {
        {with_body("{"), result_code::bad_json},
        {with_body("[]"), result_code::bad_json},
        {with_body(std::string(std::size_t{2} << 20, 'x')), result_code::body_too_large},
        {with_body(R"({"model":"assistant"})"), result_code::bad_field},
        {with_body(R"({"model":"assistant","messages":[{}],"max_tokens":0})"),
         result_code::bad_field},
        {with_body(R"({"model":"assistant","messages":[{}],"stream":"yes"})"),
         result_code::bad_field},
        {with_body(R"({"model":"none","messages":[{}]})"), result_code::unknown_model},
        {with_key(std::string(300, 'k')), result_code::bad_key},
        {with_key("two words"), result_code::bad_key},
    };
    auto it = chat("p", 1, false);
    it.method = "GET";
    out.push_back({it, result_code::method_not_allowed});
    it = chat("p", 1, false);
    it.path = "/nowhere";
    out.push_back({it, result_code::unknown_route});
    it = chat("p", 1, false);
    it.headers = {{"Authorization", "Bearer nobody"}};
    out.push_back({it, result_code::unknown_team});
    it = chat("p", 1, false);
    for (int i = 0; i < 5; ++i)
        it.headers.add(common::concat("x-long-", i), std::string(std::size_t{4} << 10, 'h'));
    out.push_back({it, result_code::headers_too_large});
    it = chat("p", 1, false);
    it.headers.add("two words", "a name with a space is no field");
    out.push_back({it, result_code::bad_request});
    it = chat("p", 1, false);
    it.headers.add("Content-Length", "1");
    out.push_back({it, result_code::bad_request});
    it = chat("p", 1, false);
    it.headers.add("Transfer-Encoding", "chunked");
    out.push_back({it, result_code::bad_request});
    it = order("r");
    it.headers = {{"Authorization", "Bearer test-team"}};
    out.push_back({it, result_code::key_required});
    return out;
}

plan both_services()
{
    return {.targets = {{"engine-a", "assistant"}, {"orders-a", "orders"}}};
}

} // namespace

Test(bad_input, each_mistake_has_its_code_and_reaches_no_target)
{
    deployment d{both_services()};
    for (const auto& it : bad_calls())
    {
        const auto result = d.call(d.address("router-0"), it.request);
        cr_assert(result.code() == common::number(it.code), "not %d but %d %s",
                  common::number(it.code), result.status, result.body.c_str());
        cr_assert(result.says_not_run());
    }
    cr_assert_eq(d.metric("engine-a", "stand_in_calls_total"), 0);
    cr_assert(d.executions().empty());
    cr_assert_eq(d.call(d.address("router-0"), chat("p", 2, false)).status, 200);
}

Test(bad_input, operators_mistakes_have_their_codes)
{
    deployment d{both_services()};
    const auto put = [&](const std::string& path, const std::string& token, const std::string& body)
    {
        return d
            .call(d.address("api"), {"PUT", path, {}, {{"Authorization", "Bearer " + token}}, body})
            .code();
    };
    const std::string good = R"({"spec":{"member":"m","token_sha256":"x"}})";
    cr_assert_eq(put("/v1/team/t", "test-operator", "{"), common::number(result_code::bad_json));
    cr_assert_eq(put("/v1/none/t", "test-operator", good),
                 common::number(result_code::unknown_kind));
    cr_assert_eq(put("/v1/team/t", "test-operator", good),
                 common::number(result_code::invalid_resource));
    cr_assert_eq(put("/v1/team/UPPER", "test-operator", good),
                 common::number(result_code::invalid_resource));
    cr_assert_eq(put("/v1/team/t", "reader", good), common::number(result_code::not_permitted));
    cr_assert_eq(put("/v1/team/t", "nobody", good), common::number(result_code::not_permitted));
}

Test(bad_input, wrong_settings_start_nothing)
{
    const std::string path = std::string{BINARY_FOLDER} + "/wrong_settings.ini";
    std::ofstream{path} << "[process]\nhots=a\n[router]\nlisten=nowhere\n";
    for (const auto* program : {"kqg-router", "kqg-agent", "kqg-api"})
    {
        process it{{std::string{BINARY_FOLDER} + "/" + program, "--config=" + path}, "/dev/null"};
        cr_assert_eq(it.wait(), 78, "%s", program);
    }
}
