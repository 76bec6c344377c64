#include "gateway_deployment.hpp"

#include "common/text.hpp"
#include "platform_wire.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>

using namespace kumquatgap;
using namespace kumquatgap::platform_tests;
using stand_ins::scripted_target;

namespace
{

using reply = scripted_target::reply;
constexpr std::size_t targets = 3;
constexpr std::size_t gateways = 3;
constexpr double cold_per_s = 8;
/// 8 x 1.5 + 5.
constexpr std::ptrdiff_t most_in_a_second = 17;
constexpr common::milliseconds cold_time{3000};
/// Short, so that slots don't keep the calls below the limit.
constexpr common::milliseconds work_time{5};
constexpr std::size_t calls_at_once = 8;

/// A service whose targets may be cold, behind gateways that callers overwhelm.
class cold_service
{
public:
    explicit cold_service(double per_s = cold_per_s, bool is_one_cut_off = true)
    {
        for (std::size_t i = 0; i < targets; ++i)
            m_targets.push_back(&m_deployment.add_target(
                name_of(i), "plain",
                [this, i](const io::http_request& it, const reply& out) { receive(i, it, out); }));
        auto config = m_deployment.config(5);
        config["services"][0]["coldPerS"] = per_s;
        config["services"][0]["coldStartS"] = 3.0;
        m_deployment.put_config(config);
        if (is_one_cut_off)
        {
            // Its messages and those of the others are refused.
            m_deployment.change_settings("deployment_token = t", "deployment_token = other", 2);
            m_deployment.restart_gateway(2);
        }
        for (std::size_t i = 0; i < gateways; ++i)
            cr_assert(m_deployment.wait_ready(i));
        // A gateway sends nothing to cold targets just after its start.
        m_deployment.run_for(common::milliseconds{1500});
    }

    gateway_deployment& deployment() { return m_deployment; }
    std::string name_of(std::size_t i) const { return common::concat("t-", m_starts, "-", i); }

    /// All targets crash and come back at once under other ids, and are cold.
    void return_cold()
    {
        for (std::size_t i = 0; i < targets; ++i)
            m_deployment.store().remove(common::concat("servers/", name_of(i)));
        ++m_starts;
        m_arrivals = {};
        m_at_once = {};
        m_most_early = {};
        m_most_later = {};
        for (std::size_t i = 0; i < targets; ++i)
            put_entry(i, cold_time);
        m_cold_since = common::now();
    }

    void put_entry(std::size_t i, common::milliseconds cold_for)
    {
        const nlohmann::json it = {{"service", "plain"},   {"address", m_targets[i]->address()},
                                   {"zone", "a"},          {"version", "v1"},
                                   {"slots", 6},           {"state", "ready"},
                                   {"sequence", m_starts}, {"coldRemainingMs", cold_for.count()}};
        m_deployment.store().put(common::concat("servers/", name_of(i)), it.dump());
    }

    /// Keeps calls open at all gateways for a time.
    void make_calls(common::milliseconds time)
    {
        const auto since = common::now();
        while (common::now() - since < time)
        {
            std::erase_if(m_open, [](const auto& it) { return it.second->result.ended; });
            for (std::size_t i = 0; i < gateways; ++i)
            {
                while (std::ranges::count(m_open, i, &open_entry::first) <
                       static_cast<std::ptrdiff_t>(calls_at_once))
                    m_open.emplace_back(
                        i, m_deployment.begin(
                               m_deployment.request("/read/x", common::concat("c", ++m_calls)), i));
            }
            m_deployment.run_for(common::milliseconds{10});
        }
    }

    /// The requests since the last start of the targets, without those for earlier starts.
    const std::vector<common::timestamp>& arrivals(std::size_t i) const { return m_arrivals[i]; }

    std::ptrdiff_t most_arrivals_in_a_second(std::size_t i) const
    {
        std::ptrdiff_t most = 0;
        const auto& all = m_arrivals[i];
        for (auto it = all.begin(); it != all.end() && *it < m_cold_since + cold_time; ++it)
            most = std::max(most, std::upper_bound(it, all.end(),
                                                   std::min(*it + common::milliseconds{1000},
                                                            m_cold_since + cold_time)) -
                                      it);
        return most;
    }

    /// The most requests that a target has had at once since its last start, while it was in the
    /// first third of its cold time and later.
    std::ptrdiff_t most_at_once_early(std::size_t i) const { return m_most_early[i]; }
    std::ptrdiff_t most_at_once_later(std::size_t i) const { return m_most_later[i]; }
    void set_work_time(common::milliseconds time) { m_work_time = time; }
    void set_header(const std::string& text) { m_header = text; }

private:
    using open_entry = std::pair<std::size_t, std::shared_ptr<open_call>>;

    void receive(std::size_t i, const io::http_request& request, const reply& out)
    {
        if (request.headers.find("x-expect-instance") != name_of(i))
            return out.write(whole_answer(request, 421, "", "X-Not-Executed: 1\r\n"));
        m_arrivals[i].push_back(common::now());
        const bool is_early = common::now() - m_cold_since < cold_time / 3;
        auto& most = (is_early ? m_most_early : m_most_later)[i];
        most = std::max(most, ++m_at_once[i]);
        const auto answer = whole_answer(request, 200, "ok", m_header);
        std::erase_if(m_timers, [](const auto& it) { return it.first < common::now(); });
        m_timers.emplace_back(common::now() + 2 * m_work_time,
                              m_deployment.loop().after(m_work_time,
                                                        [this, i, out, answer, at = m_starts]
                                                        {
                                                            m_at_once[i] -= at == m_starts ? 1 : 0;
                                                            out.write(answer);
                                                        }));
    }

    gateway_deployment m_deployment{gateways};
    std::vector<scripted_target*> m_targets;
    std::array<std::vector<common::timestamp>, targets> m_arrivals;
    std::array<std::ptrdiff_t, targets> m_at_once{};
    std::array<std::ptrdiff_t, targets> m_most_early{};
    std::array<std::ptrdiff_t, targets> m_most_later{};
    common::milliseconds m_work_time = work_time;
    std::vector<std::pair<common::timestamp, io::timer_handle>> m_timers;
    std::vector<open_entry> m_open;
    std::string m_header;
    common::timestamp m_cold_since;
    int m_starts = 0;
    int m_calls = 0;
};

} // namespace

/// Guards against a burst of calls to targets that return cold and look idle, of which one gateway
/// hears no other.
Test(gateway_cold_targets, returned_targets_get_no_more_than_they_can_handle)
{
    cold_service service;
    service.make_calls(common::milliseconds{500});
    service.return_cold();
    const auto since = common::now();
    service.make_calls(common::milliseconds{2900});
    for (std::size_t i = 0; i < targets; ++i)
    {
        const auto most = service.most_arrivals_in_a_second(i);
        cr_assert_leq(most, most_in_a_second, "target %zu: %td in a second", i, most);
        const auto used =
            std::ranges::count_if(service.arrivals(i), [&](auto at) { return at >= since; });
        cr_assert_geq(used, 5, "target %zu: %td", i, used);
    }
    cr_assert(service.deployment().log(0).find("target_cold target=t-1-0") != std::string::npos);
    // The limit ends with the cold time.
    service.make_calls(common::milliseconds{1500});
    const auto warm = std::ranges::count_if(service.arrivals(0), [&](auto at)
                                            { return at >= since + common::milliseconds{3200}; });
    cr_assert_gt(warm, most_in_a_second * 2);
}

/// Guards against a gateway that does not hear from the others that a target has become cold while
/// it runs, and against a cold time that outlasts the entry.
Test(gateway_cold_targets, cold_time_of_a_response_reaches_the_other_gateways)
{
    cold_service service;
    service.set_header("X-Cold-Ms: 60000\r\n");
    auto& deployment = service.deployment();
    deployment.call(deployment.request("/read/x", "first"), 0);
    cr_assert(deployment.log(0).find("heard_from=answer") != std::string::npos);
    cr_assert(deployment.wait_until(
        [&] { return deployment.log(1).find("heard_from=gateway-0") != std::string::npos; }));
    cr_assert(deployment.log(2).find("target_cold") == std::string::npos, "it is cut off");
    service.set_header("");
    for (std::size_t i = 0; i < targets; ++i)
        service.put_entry(i, common::milliseconds{0});
    const auto before = service.arrivals(0).size();
    cr_assert(deployment.wait_until(
        [&]
        {
            service.make_calls(common::milliseconds{100});
            return service.arrivals(0).size() > before + 100;
        }));
}

/// Guards against targets that return cold, look idle, and draw all calls at once though their
/// service names no rate.
Test(gateway_cold_targets, returned_targets_without_a_rate_start_slowly)
{
    cold_service service{0, false};
    service.set_work_time(common::milliseconds{100});
    service.make_calls(common::milliseconds{300});
    service.return_cold();
    service.make_calls(common::milliseconds{4000});
    for (std::size_t i = 0; i < targets; ++i)
    {
        // One of six slots, which all gateways may find free at the same moment.
        cr_assert_leq(service.most_at_once_early(i), static_cast<std::ptrdiff_t>(gateways));
        cr_assert_geq(service.most_at_once_early(i), 1);
        cr_assert_gt(service.most_at_once_later(i), static_cast<std::ptrdiff_t>(gateways));
    }
}

/// Guards against health checks that a cold target gets beside the requests that it can handle.
Test(gateway_cold_targets, health_check_counts_as_a_request)
{
    gateway_deployment deployment;
    common::timestamp checked_at;
    common::timestamp called_at;
    const auto script = [&](const io::http_request& it, const reply& out)
    {
        if (it.path == "/act/x")
        {
            // A lost connection after the head makes the gateway check the target.
            out.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
            return out.close();
        }
        (it.path == "/health" ? checked_at : called_at) = common::now();
        out.write(whole_answer(it, 200, "ok", "X-Cold-Ms: 60000\r\n"));
    };
    deployment.add_target("t-0", "plain", script);
    auto config = deployment.config(5);
    config["services"][0]["coldPerS"] = 1;
    deployment.put_config(config);
    cr_assert(deployment.wait_ready());
    cr_assert_eq(deployment.call(deployment.request("/read/x", "r0")).answer.status, 200);
    // Until the burst of two requests is free.
    deployment.run_for(common::milliseconds{3500});
    deployment.call(deployment.request("/act/x", "a0"));
    cr_assert(deployment.wait_until([&] { return checked_at != common::timestamp{}; }));
    cr_assert_eq(deployment.call(deployment.request("/read/x", "r1")).answer.status, 200);
    cr_assert_geq((called_at - checked_at).count(), 500);
}

/// Guards against a gateway that starts, reads the entries of targets that started long ago, and
/// takes these targets for cold.
Test(gateway_cold_targets, old_entries_are_not_cold_for_a_gateway_that_starts)
{
    gateway_deployment deployment;
    auto& warm = deployment.add_target("t-0", "plain",
                                       [](const auto& it, const reply& out)
                                       { out.write(whole_answer(it, 200, "ok")); });
    deployment.put_config(deployment.config(5));
    cr_assert(deployment.wait_ready());
    const auto put = [&](const char* id, std::chrono::seconds age)
    {
        const auto born = std::chrono::floor<common::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch() - age);
        const nlohmann::json it = {
            {"service", "plain"}, {"address", warm.address()}, {"zone", "a"},         {"slots", 2},
            {"state", "ready"},   {"coldRemainingMs", 60'000}, {"born", born.count()}};
        deployment.store().put(common::concat("servers/", id), it.dump());
    };
    put("t-new", std::chrono::seconds{8});
    put("t-old", std::chrono::seconds{3600});
    const auto has = [&](std::string_view text)
    {
        const auto log = deployment.log();
        const auto last_start = log.rfind("configuration_in_force");
        return last_start != std::string::npos && log.find(text, last_start) != std::string::npos;
    };
    cr_assert(deployment.wait_until([&] { return has("target_cold target=t-old"); }),
              "a running gateway takes an entry for new");
    deployment.restart_gateway(0);
    cr_assert(deployment.wait_ready());
    cr_assert(deployment.wait_until([&] { return has("target_learnt target=t-old"); }));
    cr_assert(has("target_cold target=t-new"));
    cr_assert(!has("target_cold target=t-old"));
}

/// Guards against a field of another type that makes the configuration or an entry unreadable.
Test(gateway_cold_targets, cold_fields_are_read)
{
    const platform::platform_adapter adapter;
    gateway_deployment deployment{0};
    auto config = deployment.config(5);
    config["services"][0]["coldPerS"] = 26;
    config["services"][0]["coldStartS"] = 2.5;
    config["services"][1]["coldPerS"] = nullptr;
    config["services"][1]["coldStartS"] = "3";
    const auto read = adapter.read_configuration(config.dump());
    cr_assert(read.has_value());
    cr_assert_eq(read->services.at("plain").cold_per_second, 26);
    cr_assert_eq(read->services.at("plain").cold_time.count(), 2500);
    cr_assert_eq(read->services.at("engine").cold_per_second, 0);
    cr_assert_eq(read->services.at("engine").cold_time.count(), 0);
    nlohmann::json entry = {{"service", "plain"},
                            {"address", "10.0.0.1:80"},
                            {"zone", "a"},
                            {"slots", 2},
                            {"state", "ready"}};
    cr_assert_eq(adapter.read_target("t", entry.dump())->cold_for.count(), 0);
    const std::vector<std::pair<nlohmann::json, std::int64_t>> times = {
        {1500, 1500}, {0.4, 0}, {-3, 0}, {"9", 0}, {nullptr, 0}, {1e300, 600'000}};
    for (const auto& [value, expected] : times)
    {
        entry["coldRemainingMs"] = value;
        cr_assert_eq(adapter.read_target("t", entry.dump())->cold_for.count(), expected);
    }
}

/// Guards against a header of another form that makes a target cold for ever, or warm.
Test(gateway_cold_targets, cold_header_is_read)
{
    const platform::platform_adapter adapter;
    const auto read = [&](const std::string& text) {
        return adapter.read_response({200, {{"X-Cold-Ms", text}}, {}}).cold_for;
    };
    cr_assert_eq(read("2500")->count(), 2500);
    cr_assert_eq(read("0")->count(), 0);
    cr_assert_eq(read("1e9").has_value(), false);
    cr_assert_eq(read("99999999999999999999")->count(), 600'000);
    for (const auto* text : {"-1", "soon", "nan", "inf", ""})
        cr_assert(!read(text).has_value(), "%s", text);
    cr_assert(!adapter.read_response({200, {}, {}}).cold_for.has_value());
}
