#include "gateway_deployment.hpp"

#include "common/text.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using common::milliseconds;

namespace
{

/// Gateways of one installation, of which some don't watch the store themselves.
constexpr int gateway_count = 14;
/// Longer than it takes until only the regular watchers watch.
constexpr milliseconds settling_time{6000};
/// Longer than any watch call waits.
constexpr milliseconds count_time{3000};
/// The default of the setting [store] apply_ms.
constexpr milliseconds apply_time{2000};
/// For the way from this process to a gateway on a busy machine.
constexpr milliseconds margin{300};
constexpr milliseconds request_period{100};
constexpr milliseconds watched_time{6000};

/// The number of watch calls that a gateway has made, as its metrics show it.
std::string watch_calls(gateway_deployment& deployment, std::size_t i)
{
    const auto text = deployment.metrics(i);
    const auto at = text.find("kqg_store_calls{kind=\"watch\"}");
    return at == std::string::npos ? "" : text.substr(at, text.find('\n', at) - at);
}

/// Ends all gateways that watch the store, and returns the others.
std::vector<std::size_t> kill_watchers(gateway_deployment& deployment)
{
    std::vector<std::string> before;
    for (std::size_t i = 0; i < gateway_count; ++i)
        before.push_back(watch_calls(deployment, i));
    deployment.run_for(count_time);
    std::vector<std::size_t> left;
    std::vector<std::size_t> watching;
    for (std::size_t i = 0; i < gateway_count; ++i)
        (watch_calls(deployment, i) == before[i] ? left : watching).push_back(i);
    for (const auto i : watching)
        deployment.gateway(i).kill();
    return left;
}

/// True if a gateway's metrics have a line.
bool has_metric(gateway_deployment& deployment, std::size_t i, std::string_view line)
{
    return deployment.metrics(i).find(line) != std::string::npos;
}

} // namespace

/// Guards against gateways that go on with an old configuration for up to 15 s after the gateways
/// that had watched the store for them are gone.
Test(gateway_lost_peers, removed_key_is_refused_after_loss_of_all_watchers, .timeout = 90)
{
    gateway_deployment deployment{gateway_count};
    deployment.add_target("t-0", "plain",
                          [](const auto& request, const auto& out)
                          { out.write(whole_answer(request, 200, "t-0")); });
    auto config = deployment.config(1);
    deployment.put_config(config);
    for (std::size_t i = 0; i < gateway_count; ++i)
        cr_assert(deployment.wait_ready(i));
    deployment.run_for(settling_time);
    const auto left = kill_watchers(deployment);
    cr_assert_not(left.empty());
    config["version"] = 2;
    config["tenants"][0]["apiKeys"] = {"key-2"};
    deployment.put_config(config);
    const auto confirmed_at = common::now();
    std::vector<std::pair<milliseconds, std::shared_ptr<open_call>>> calls;
    while (common::now() < confirmed_at + watched_time)
    {
        for (const auto i : left)
            calls.emplace_back(
                common::now() - confirmed_at,
                deployment.begin(
                    deployment.request("/act/x", common::concat("r", calls.size()), "{}"), i));
        deployment.run_for(request_period);
    }
    cr_assert(deployment.wait_until(
        [&] {
            return std::ranges::all_of(calls,
                                       [](const auto& it) { return it.second->result.ended; });
        }));
    for (const auto& [sent_after, it] : calls)
    {
        if (sent_after > apply_time + margin)
            cr_assert_eq(it->result.answer.status, 401, "sent %lld ms after the confirmation: %d",
                         static_cast<long long>(sent_after.count()), it->result.answer.status);
    }
}

/// Guards against gateways that take the store for lost for good, since after the outage the others
/// confirm their state and they no longer call the store themselves. Entries that were removed
/// later counted as lapsed, and their targets got calls for two more seconds.
Test(gateway_lost_peers, outage_ends_at_gateways_that_do_not_watch, .timeout = 90)
{
    gateway_deployment deployment{gateway_count};
    deployment.put_config(deployment.config(1));
    for (std::size_t i = 0; i < gateway_count; ++i)
        cr_assert(deployment.wait_ready(i));
    deployment.run_for(settling_time);
    deployment.store().set_mood(stand_ins::store_mood::refuses);
    for (std::size_t i = 0; i < gateway_count; ++i)
        cr_assert(
            deployment.wait_until([&] { return has_metric(deployment, i, "kqg_store_lost 1"); }));
    deployment.store().set_mood(stand_ins::store_mood::serves);
    for (std::size_t i = 0; i < gateway_count; ++i)
        cr_assert(
            deployment.wait_until([&] { return has_metric(deployment, i, "kqg_store_lost 0"); }),
            "gateway %zu", i);
}
