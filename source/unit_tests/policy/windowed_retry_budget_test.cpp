#include "policy/windowed_retry_budget.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace kumquatgap::policy;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};
constexpr milliseconds step{10};
const retry_limits limits{.ratio = 0.2, .extra = 40, .window = milliseconds{10'000}};

/// Gateways that report to each other after a delay, all of whose calls may fail.
class fleet
{
public:
    explicit fleet(std::size_t gateways, retry_limits of = limits) : m_limits{of}
    {
        for (std::size_t i = 0; i < gateways; ++i)
            m_names.insert(name_of(i));
        m_gateways.resize(gateways);
        m_is_cut_off.resize(gateways, false);
        for (std::size_t i = 0; i < gateways; ++i)
            restart(i);
        for (auto& it : m_gateways)
            it->set_all_known(m_now);
    }

    timestamp now() const { return m_now; }
    windowed_retry_budget& gateway(std::size_t i) { return *m_gateways[i]; }
    void stop(std::size_t i) { m_gateways[i].reset(); }
    void restart(std::size_t i)
    {
        m_gateways[i] = std::make_unique<windowed_retry_budget>(
            m_limits, gateway_run{name_of(i), ++m_runs}, m_now);
        auto peers = m_names;
        peers.erase(name_of(i));
        m_gateways[i]->set_peers(std::move(peers));
    }
    /// Its messages and those to it are lost.
    void cut_off(std::size_t i, bool on) { m_is_cut_off[i] = on; }
    void set_lost_messages(double share) { m_lost_messages = share; }

    /// A call arrives at a gateway, and asks for `retries` retries.
    void call(std::size_t i, int retries)
    {
        if (!m_gateways[i])
            return;
        m_gateways[i]->record_call("s", m_now);
        m_calls.push_back(m_now);
        for (int n = 0; n < retries; ++n)
        {
            if (m_gateways[i]->take("s", m_now))
                m_retries.push_back(m_now);
        }
    }

    void advance()
    {
        m_now += step;
        for (std::size_t i = 0; i < m_gateways.size(); ++i)
        {
            if (const auto it = m_gateways[i] ? m_gateways[i]->next_report(m_now) : std::nullopt)
                m_under_way.push_back({m_now + milliseconds{20}, i, *it});
        }
        for (const auto& it : m_under_way)
        {
            if (it.due == m_now)
                deliver(it);
        }
        std::erase_if(m_under_way, [&](const auto& it) { return it.due <= m_now; });
    }

    std::ptrdiff_t retries() const { return std::ssize(m_retries); }
    /// By how much the retries of some window exceed the limit.
    double most_excess() const
    {
        double out = -limits.extra;
        for (const auto to : m_retries)
            out = std::max(out, within(m_retries, to) - limits.ratio * within(m_calls, to) -
                                    limits.extra);
        return out;
    }

private:
    struct message
    {
        timestamp due;
        std::size_t from;
        retry_report report;
    };

    static std::string name_of(std::size_t i) { return "g-" + std::to_string(i); }
    double within(const std::vector<timestamp>& times, timestamp to) const
    {
        return static_cast<double>(std::ranges::count_if(
            times, [&](timestamp at) { return at <= to && to - at < limits.window; }));
    }
    void deliver(const message& it)
    {
        for (std::size_t i = 0; i < m_gateways.size(); ++i)
        {
            const bool is_lost = m_is_cut_off[i] || m_is_cut_off[it.from] ||
                                 std::bernoulli_distribution{m_lost_messages}(m_random);
            if (i != it.from && m_gateways[i] && !is_lost)
                m_gateways[i]->merge(name_of(it.from), it.report, m_now);
        }
    }

    retry_limits m_limits;
    timestamp m_now = start;
    std::uint64_t m_runs = 0;
    double m_lost_messages = 0;
    std::set<std::string> m_names;
    std::vector<std::unique_ptr<windowed_retry_budget>> m_gateways;
    std::vector<bool> m_is_cut_off;
    std::vector<message> m_under_way;
    std::vector<timestamp> m_calls;
    std::vector<timestamp> m_retries;
    std::mt19937_64 m_random{7};
};

} // namespace

/// Every attempt fails at all gateways for half a minute; most callers are at the first gateway.
Test(windowed_retry_budget, all_gateways_together_stay_within_limit)
{
    fleet site{4};
    for (int n = 0; n < 3000; ++n)
    {
        site.call(n % 5 == 0 ? 1 : 0, 1);
        site.call(2, 1);
        site.call(3, n % 100 == 0 ? 4 : 0);
        site.advance();
    }
    cr_assert_leq(site.most_excess(), 0);
    // 2,010 calls in each of three windows.
    cr_assert_gt(static_cast<double>(site.retries()),
                 3 * 0.7 * (limits.ratio * 2010 + limits.extra));
}

/// Guards against restarts that grant retries again: each gateway in turn, over and over.
Test(windowed_retry_budget, restarts_grant_no_further_retries)
{
    fleet site{4};
    for (int n = 0; n < 3000; ++n)
    {
        const auto i = static_cast<std::size_t>(n / 100) % 4;
        if (n % 100 == 0)
            site.stop(i);
        if (n % 100 == 50)
            site.restart(i);
        site.call(static_cast<std::size_t>(n) % 4, 2);
        site.advance();
    }
    cr_assert_leq(site.most_excess(), 0);
    cr_assert_gt(site.retries(), 400);
}

/// Guards against the same when no gateway is left that remembers.
Test(windowed_retry_budget, gateways_that_are_all_killed_get_no_further_retries)
{
    fleet site{3};
    for (int n = 0; n < 3000; ++n)
    {
        if (n % 400 == 0)
        {
            for (std::size_t i = 0; i < 3; ++i)
                site.restart(i);
        }
        site.call(static_cast<std::size_t>(n) % 3, 2);
        site.advance();
    }
    cr_assert_leq(site.most_excess(), 0);
}

/// Guards against calls that earn retries after a start although those of before have used up the
/// window: the gateways use what a calm window has earned, and are all killed, once or often.
Test(windowed_retry_budget, all_killed_after_a_burst_get_no_further_retries)
{
    for (const int kills : {1, 4})
    {
        fleet site{4};
        for (int n = 0; n < 3000; ++n)
        {
            for (int kill = 0; kill < kills; ++kill)
            {
                for (std::size_t i = 0; n == 1300 + kill * 150 && i < 4; ++i)
                    site.restart(i);
            }
            site.call(static_cast<std::size_t>(n) % 4, n < 1000 ? 0 : 2);
            site.advance();
        }
        cr_assert_leq(site.most_excess(), 0);
    }
}

/// A gateway that has started and hears the others may use what they leave over.
Test(windowed_retry_budget, started_gateway_uses_what_is_left)
{
    fleet site{3};
    for (int n = 0; n < 200; ++n)
    {
        site.call(static_cast<std::size_t>(n) % 3, 0);
        site.advance();
    }
    site.restart(0);
    cr_assert_not(site.gateway(0).take("s", site.now()), "nothing is known yet");
    for (int n = 0; n < 40; ++n)
        site.advance();
    const auto state = site.gateway(0).state("s", site.now());
    cr_assert_eq(state.heard, 3U);
    // Those of the others; its own of before were not reported, since nothing was retried.
    cr_assert_geq(state.calls, 133);
    cr_assert_geq(state.left(), 0.75 * (limits.extra + limits.ratio * 133));
}

/// Guards against a gateway that is ready for calls although it would refuse all their retries, and
/// against one that is never ready since another has stopped.
Test(windowed_retry_budget, started_gateway_settles_when_the_others_report_or_after_a_time)
{
    fleet site{3};
    cr_assert(site.gateway(0).has_settled(site.now(), site.now()), "no gateway has run before");
    site.advance();
    site.restart(0);
    auto since = site.now();
    cr_assert_not(site.gateway(0).has_settled(since, site.now()));
    while (!site.gateway(0).has_settled(since, site.now()))
        site.advance();
    cr_assert_lt((site.now() - since).count(), 250);
    site.gateway(0).record_call("s", site.now());
    cr_assert(site.gateway(0).take("s", site.now()));

    site.stop(1);
    site.stop(2);
    // Their last messages arrive before the next start.
    for (int n = 0; n < 5; ++n)
        site.advance();
    site.restart(0);
    since = site.now();
    while (!site.gateway(0).has_settled(since, site.now()))
        site.advance();
    cr_assert_eq((site.now() - since).count(), 250);
}

/// A gateway that hears no other has its own share of extra, and no more than the margin of it
/// in its first window.
Test(windowed_retry_budget, gateway_that_hears_no_other_gets_its_share_of_extra)
{
    windowed_retry_budget gateway{limits, {"g-0", 1}, start};
    gateway.set_peers({"g-1", "g-2", "g-3"});
    cr_assert_not(gateway.take("s", start));
    int taken = 0;
    while (gateway.take("s", start + milliseconds{9'990}))
        ++taken;
    cr_assert_leq(taken, 2);
    const auto now = start + milliseconds{10'000};
    while (gateway.take("s", now))
        ++taken;
    cr_assert_leq(taken, 10);
    cr_assert_geq(taken, 8);
    cr_assert(gateway.take("s", now + milliseconds{10'001}));
}

/// Gateways are cut off in turn, and a fifth of all messages are lost.
Test(windowed_retry_budget, cut_off_gateways_stay_within_limit)
{
    fleet site{5};
    site.set_lost_messages(0.2);
    for (int n = 0; n < 4000; ++n)
    {
        if (n % 300 == 0)
        {
            for (std::size_t i = 0; i < 5; ++i)
                site.cut_off(i, i == static_cast<std::size_t>(n / 300) % 5);
        }
        site.call(static_cast<std::size_t>(n) % 5, 2);
        site.advance();
    }
    cr_assert_leq(site.most_excess(), 0);
    cr_assert_gt(site.retries(), 500);
}

/// A gateway leaves for good and another takes its place under a new name.
Test(windowed_retry_budget, replaced_gateway_grants_no_further_retries)
{
    fleet site{4};
    for (std::size_t i = 2; i < 4; ++i)
        site.stop(i);
    for (int n = 0; n < 2000; ++n)
    {
        if (n == 300)
        {
            site.stop(0);
            site.restart(2);
        }
        if (n == 600)
        {
            site.stop(1);
            site.restart(3);
        }
        site.call(static_cast<std::size_t>(n) % 4, 2);
        site.advance();
    }
    cr_assert_leq(site.most_excess(), 0);
}

/// Guards against a start right after another gateway has ended, before anyone has missed that one:
/// it had used most of the budget, and so would the started one.
Test(windowed_retry_budget, gateway_that_starts_after_another_has_ended_learns_what_that_used)
{
    fleet site{3};
    for (int n = 0; n < 250; ++n)
    {
        site.call(0, n % 5 == 0 ? 2 : 0);
        site.advance();
    }
    const auto used = site.retries();
    site.stop(0);
    site.advance();
    site.restart(1);
    for (int n = 0; n < 200; ++n)
        site.advance();
    const auto state = site.gateway(1).state("s", site.now());
    cr_assert_eq(state.known, limits.window);
    // What it had used beyond its own share and the retries that its calls had earned.
    const auto share = limits.used_fraction * (limits.ratio * 250 + limits.extra / 3);
    cr_assert_geq(static_cast<double>(state.retries), static_cast<double>(used) - share - 1);
    cr_assert_gt(static_cast<double>(used), share + 2);
}

/// A mass failure at a large site: all gateways ask for many retries within one report.
Test(windowed_retry_budget, bursts_at_many_gateways_stay_within_limit)
{
    fleet site{21};
    for (int n = 0; n < 1500; ++n)
    {
        const bool is_burst = n % 500 == 100;
        for (std::size_t i = 0; i < 21; ++i)
            site.call(i, is_burst ? 40 : 0);
        site.advance();
    }
    cr_assert_leq(site.most_excess(), 0);
    cr_assert_gt(site.retries(), 500);
}

/// No reports are needed while nothing is retried and no gateway has started.
Test(windowed_retry_budget, nothing_is_reported_in_calm)
{
    fleet site{2};
    site.call(0, 0);
    site.advance();
    cr_assert_not(site.gateway(0).next_report(site.now() + milliseconds{5000}).has_value());
    site.call(0, 1);
    cr_assert(site.gateway(0).next_report(site.now()).has_value());
}
