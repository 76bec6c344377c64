#include "deployment.hpp"

#include "common/result_code.hpp"
#include "common/text.hpp"

#include <criterion/criterion.h>

#include <csignal>
#include <random>

using namespace kumquatgap;
using namespace kumquatgap::failures;
using common::milliseconds;
using common::result_code;

namespace
{

constexpr int created = 201;

plan orders_plan()
{
    return {.routers = 2,
            .targets = {{"orders-a", "orders"}, {"orders-b", "orders"}, {"orders-c", "orders"}},
            .agent_settings = "claim_timeout_ms=800\n",
            .router_settings = "agent_silence_ms=1000\n"};
}

/// One order that a caller repeats with its key until it has an answer, a few times at most.
struct caller
{
    std::string id;
    std::shared_ptr<open_call> call;
    int tries = 0;
    bool has_answer = false;
    /// True while every try so far was certainly not run.
    bool never_ran = true;
};

/// Sends many orders at once while a fault comes and goes.
class order_storm
{
public:
    order_storm(deployment& d, std::string prefix, int count)
        : m_deployment{d}, m_prefix{std::move(prefix)}, m_left{count}
    {
    }

    /// Runs until all callers have ended; `tick` brings the faults about.
    void run(const std::function<void(int)>& tick)
    {
        // Orders take a while, so that faults meet them between their claim and their answer.
        m_deployment.order_fault("orders", "kind=slow&delay_ms=25");
        int rounds = 0;
        const bool ended = m_deployment.wait_until(
            [&]
            {
                tick(rounds++);
                advance();
                return m_left == 0 && m_open.empty();
            });
        cr_assert(ended, "the callers have no answers after half a minute");
    }

    void check()
    {
        const auto ran = m_deployment.executions();
        for (const auto& it : m_done)
        {
            const auto n = ran.contains(it.id) ? ran.at(it.id) : 0;
            cr_assert_leq(n, 1, "%s ran %d times", it.id.c_str(), n);
            if (it.has_answer)
                cr_assert_eq(n, 1, "%s was answered but did not run", it.id.c_str());
            if (it.never_ran)
                cr_assert_eq(n, 0, "%s was called not run but ran", it.id.c_str());
        }
    }
    int answered() const
    {
        return static_cast<int>(std::ranges::count_if(m_done, &caller::has_answer));
    }

private:
    static constexpr std::size_t at_once = 16;
    static constexpr int most_tries = 4;

    void advance()
    {
        while (m_left > 0 && m_open.size() < at_once)
        {
            m_open.push_back({common::concat(m_prefix, "-", m_left--), nullptr});
            send(m_open.back());
        }
        for (auto& it : m_open)
        {
            if (it.call->ended)
                judge(it);
        }
        std::erase_if(m_open, [](const caller& it) { return it.call == nullptr; });
    }

    void send(caller& it)
    {
        const auto router = common::concat("router-", m_random() % 2);
        it.call = m_deployment.begin(m_deployment.address(router), order(it.id));
        ++it.tries;
    }

    void judge(caller& it)
    {
        const auto result = it.call->result;
        const bool not_connected = result.how == io::call_outcome::not_connected;
        it.has_answer = result.how == io::call_outcome::complete && result.status == created;
        it.never_ran = it.never_ran && (not_connected || result.says_not_run());
        if (it.has_answer)
            cr_assert(result.body.find("\"execution\":1") != std::string::npos);
        if (!it.has_answer && it.tries < most_tries)
            return send(it);
        it.call = nullptr;
        m_done.push_back(it);
    }

    deployment& m_deployment;
    std::string m_prefix;
    int m_left;
    std::mt19937 m_random{7};
    std::vector<caller> m_open;
    std::vector<caller> m_done;
};

} // namespace

Test(once_only, a_repeat_gets_the_first_answer)
{
    deployment d{orders_plan()};
    const auto first = d.call(d.address("router-0"), order("r-1"));
    const auto second = d.call(d.address("router-1"), order("r-1"));
    cr_assert_eq(first.status, created);
    cr_assert_eq(second.status, created);
    cr_assert(first.body == second.body);
    cr_assert_eq(d.executions().at("r-1"), 1);
}

Test(once_only, a_key_is_for_one_call)
{
    deployment d{orders_plan()};
    d.call(d.address("router-0"), order("r-1"));
    auto other = order("r-1");
    other.body = R"({"order_id":"r-2"})";
    cr_assert_eq(d.call(d.address("router-0"), other).code(),
                 common::number(result_code::key_reused));
    cr_assert_eq(d.executions().count("r-2"), 0);
}

Test(once_only, a_lost_answer_of_the_service_is_never_repeated)
{
    deployment d{orders_plan()};
    d.order_fault("orders", "kind=lose_answer&count=1");
    const auto first = d.call(d.address("router-0"), order("r-1"));
    cr_assert_not(first.says_not_run());
    const auto second = d.call(d.address("router-1"), order("r-1"));
    cr_assert_eq(second.code(), common::number(result_code::outcome_unknown));
    cr_assert_eq(d.executions().at("r-1"), 1);
}

Test(once_only, a_service_that_takes_no_connection_was_not_run_and_can_be_tried_again)
{
    deployment d{orders_plan()};
    d.at("orders").kill();
    const auto first = d.call(d.address("router-0"), order("r-1"));
    cr_assert(first.says_not_run(), "%s", first.body.c_str());
    d.restart("orders");
    cr_assert(d.wait_until(
        [&] { return d.call(d.address("router-0"), order("r-1")).status == created; }));
    cr_assert_eq(d.executions().at("r-1"), 1);
}

Test(once_only, without_the_store_orders_are_refused_and_look_ups_go_on)
{
    deployment d{orders_plan()};
    d.order_fault("store", "kind=down");
    cr_assert(d.call(d.address("router-0"), order("r-1")).says_not_run());
    auto look = order("x");
    look.method = "GET";
    look.path = "/orders/stock/coils";
    look.body.clear();
    cr_assert_eq(d.call(d.address("router-0"), look).status, 200);
    d.order_fault("store", "kind=none");
    cr_assert(d.wait_until(
        [&] { return d.call(d.address("router-0"), order("r-1")).status == created; }));
    cr_assert_eq(d.executions().at("r-1"), 1);
}

/// The record that the call has run was lost, so that a repeat ran it again.
Test(once_only, records_lost_by_a_restored_store)
{
    deployment d{orders_plan()};
    d.call(d.address("store"), {"POST", "/stand_in/copy"});
    cr_assert_eq(d.call(d.address("router-0"), order("r-1")).status, created);
    d.call(d.address("store"), {"POST", "/stand_in/restore"});
    for (int i = 0; i < 6; ++i)
        d.call(d.address(common::concat("router-", i % 2)), order(common::concat("other-", i)));
    cr_assert(d.wait_until(
        [&] { return d.call(d.address("router-1"), order("r-1")).status == created; }));
    cr_assert_eq(d.executions().at("r-1"), 1);
}

Test(once_only, restored_store)
{
    deployment d{orders_plan()};
    order_storm storm{d, "restored", 400};
    storm.run(
        [&](int round)
        {
            if (round == 20)
                d.call(d.address("store"), {"POST", "/stand_in/copy"});
            if (round == 60)
                d.call(d.address("store"), {"POST", "/stand_in/restore"});
        });
    storm.check();
}

Test(once_only, lost_store_answers)
{
    deployment d{orders_plan()};
    order_storm storm{d, "lost", 300};
    storm.run(
        [&](int round)
        {
            if (round % 10 == 0)
                d.order_fault("store", "kind=lose_answer&count=2&path=/v3/kv/txn");
        });
    storm.check();
    cr_assert_gt(storm.answered(), 200);
}

Test(once_only, killed_agents)
{
    deployment d{orders_plan()};
    order_storm storm{d, "killed", 400};
    std::mt19937 random{11};
    storm.run(
        [&](int round)
        {
            if (round % 80 == 79)
                d.restart(common::concat("agent-orders-", "abc"[random() % 3]));
        });
    storm.check();
    cr_assert_gt(storm.answered(), 200);
}

Test(once_only, frozen_agents)
{
    deployment d{orders_plan()};
    order_storm storm{d, "frozen", 400};
    std::string frozen;
    std::mt19937 random{13};
    storm.run(
        [&](int round)
        {
            if (round % 400 == 20)
            {
                frozen = common::concat("agent-orders-", "abc"[random() % 3]);
                d.at(frozen).signal(SIGSTOP);
            }
            if (round % 400 == 320)
                d.at(frozen).signal(SIGCONT);
        });
    d.at(frozen).signal(SIGCONT);
    storm.check();
    cr_assert_gt(storm.answered(), 200);
}

Test(once_only, killed_routers)
{
    deployment d{orders_plan()};
    order_storm storm{d, "routers", 500};
    storm.run(
        [&](int round)
        {
            if (round % 40 == 39)
                d.restart(common::concat("router-", round / 40 % 2));
        });
    storm.check();
    cr_assert_gt(storm.answered(), 200);
}

Test(once_only, a_frozen_store)
{
    deployment d{orders_plan()};
    order_storm storm{d, "store", 300};
    storm.run(
        [&](int round)
        {
            if (round % 500 == 10)
                d.at("store").signal(SIGSTOP);
            if (round % 500 == 400)
                d.at("store").signal(SIGCONT);
        });
    d.at("store").signal(SIGCONT);
    storm.check();
}
