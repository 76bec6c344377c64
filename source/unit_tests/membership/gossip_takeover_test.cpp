#include "gossip_simulation.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap;
using namespace kumquatgap::membership;

namespace
{

/// Longer than it takes until only the regular watchers watch.
constexpr milliseconds settling_time{10'000};

gossip_options gateway_options(milliseconds apply_time)
{
    gossip_options out;
    out.max_all_watch = 12;
    out.watchers = 4;
    out.processes_per_watcher = 16;
    out.period = milliseconds{500};
    out.initial_read_backoff = milliseconds{200};
    out.max_read_backoff = milliseconds{1500};
    out.report_propagation = false;
    out.apply_time = apply_time;
    return out;
}

/// The options of routers and agents.
gossip_options daemon_options()
{
    return {};
}

struct deployment
{
    std::size_t processes;
    gossip_options options;
};

/// The installations of the users and a larger one, and a data centre with routers and agents.
std::vector<deployment> deployments()
{
    return {{13, gateway_options(milliseconds{2000})},
            {24, gateway_options(milliseconds{3000})},
            {24, gateway_options(milliseconds{2000})},
            {300, gateway_options(milliseconds{2000})},
            {209, daemon_options()}};
}

/// Asserts that a change is in effect in time at all processes that are left.
void assert_change_in_time(gossip_simulation& it, const deployment& of)
{
    it.change();
    const auto time = it.time_to_all(milliseconds{60'000});
    cr_assert(time && *time <= of.options.apply_time, "%zu processes: %lld ms of %lld",
              of.processes, static_cast<long long>(time.value_or(milliseconds{-1}).count()),
              static_cast<long long>(of.options.apply_time.count()));
}

} // namespace

/// With 24 gateways the last one turned to the store 15 s after the last contact of a watcher.
Test(gossip_takeover, change_is_in_time_after_loss_of_all_watchers)
{
    for (const auto& of : deployments())
    {
        for (const milliseconds wait : {milliseconds{0}, of.options.apply_time / 3})
        {
            gossip_simulation it{of.processes, of.options};
            it.run_for(settling_time * 3);
            for (const auto i : it.watching())
                it.end_process(i);
            it.run_for(wait);
            assert_change_in_time(it, of);
        }
    }
}

/// Each process that takes over ends at once, as long as more than a third of them is left.
Test(gossip_takeover, change_is_in_time_while_watchers_end_one_after_another)
{
    for (const auto& of : deployments())
    {
        gossip_simulation it{of.processes, of.options};
        it.run_for(settling_time * 3);
        it.change();
        auto running = of.processes;
        for (milliseconds time{0}; time < of.options.apply_time; time += milliseconds{1})
        {
            for (const auto i : it.watching())
            {
                if (running <= of.processes / 3)
                    break;
                it.end_process(i);
                --running;
            }
            it.run_for(milliseconds{1});
        }
        for (std::size_t i = 0; i < it.size(); ++i)
        {
            if (it.is_running(i))
                cr_assert_eq(it.node(i).replica().as_of(), 11, "process %zu of %zu", i, it.size());
        }
    }
}

/// The processes that are left believed peers that had heard of the change but had ended before
/// they passed it on.
Test(gossip_takeover, confirmation_of_newer_replica_is_ignored)
{
    gossip_options options = gateway_options(milliseconds{2000});
    options.watchers = 1;
    gossip_node it{{"self", "0"}, options, 1};
    const timestamp start{milliseconds{1'000'000}};
    it.begin(start);
    it.read_finished({10, {}}, start);
    it.set_peers({{"a", "1"}, {"b", "2"}, {"c", "3"}});
    const auto asked_at = start.time_since_epoch().count() + 900;
    digest answer{"a", "1", 11, 11, {{"a", milliseconds{0}}}};
    answer.answer_to = asked_at;
    const auto now = start + milliseconds{905};
    it.handle(answer, now);
    cr_assert_eq(it.unconfirmed_time(now), milliseconds{905});
    answer.as_of = answer.last_change = 10;
    it.handle(answer, now);
    cr_assert_eq(it.unconfirmed_time(now), milliseconds{5});
}

/// An answer that a partition or a frozen peer held up is as old as its request.
Test(gossip_takeover, late_answer_counts_from_its_request)
{
    gossip_options options = gateway_options(milliseconds{2000});
    gossip_node it{{"self", "0"}, options, 1};
    const timestamp start{milliseconds{1'000'000}};
    it.begin(start);
    it.read_finished({10, {}}, start);
    digest answer{"a", "1", 10, 10, {{"a", milliseconds{0}}}};
    answer.answer_to = start.time_since_epoch().count() + 100;
    answer.unconfirmed_time = milliseconds{40};
    const auto now = start + milliseconds{5000};
    it.handle(answer, now);
    cr_assert_eq(it.unconfirmed_time(now), milliseconds{4940});
}

Test(gossip_takeover, change_is_in_time_while_watchers_are_cut_from_store)
{
    for (const auto& of : deployments())
    {
        gossip_simulation it{of.processes, of.options};
        it.run_for(settling_time * 3);
        const auto cut = it.watching();
        for (const auto i : cut)
            it.cut_from_store(i);
        assert_change_in_time(it, of);
    }
}

Test(gossip_takeover, change_is_in_time_while_watchers_are_frozen)
{
    for (const auto& of : deployments())
    {
        gossip_simulation it{of.processes, of.options};
        it.run_for(settling_time * 3);
        const auto frozen = it.watching();
        for (const auto i : frozen)
            it.freeze(i, of.options.apply_time * 2);
        it.change();
        it.run_for(of.options.apply_time);
        for (std::size_t i = 0; i < it.size(); ++i)
        {
            if (std::ranges::find(frozen, i) == frozen.end())
                cr_assert_eq(it.node(i).replica().as_of(), 11, "process %zu of %zu", i, it.size());
        }
    }
}

Test(gossip_takeover, change_is_in_time_at_processes_that_receive_nothing)
{
    for (const auto& of : deployments())
    {
        gossip_simulation it{of.processes, of.options};
        it.run_for(settling_time * 3);
        for (std::size_t i = 0; i < it.size(); ++i)
        {
            if (!it.node(i).is_watching())
                it.cut_inbound(i);
        }
        assert_change_in_time(it, of);
    }
}

/// During an upgrade the watchers may be of a build that answers no requests for confirmation.
Test(gossip_takeover, change_is_in_time_after_loss_of_watchers_of_former_build)
{
    for (const auto& of : deployments())
    {
        gossip_simulation it{of.processes, of.options};
        for (std::size_t i = 0; i < it.size(); i += 2)
            it.be_former_build(i);
        it.run_for(settling_time * 3);
        for (std::size_t i = 0; i < it.size(); i += 2)
            it.end_process(i);
        assert_change_in_time(it, of);
    }
}

/// The cost on a quiet day: the regular watchers alone call the store.
Test(gossip_takeover, only_regular_watchers_call_store_on_quiet_day)
{
    for (const auto& of : deployments())
    {
        gossip_simulation it{of.processes, of.options};
        it.run_for(settling_time * 3);
        const auto watchers = it.watching().size();
        const auto calls = it.store_calls();
        it.run_for(settling_time);
        const auto made = it.store_calls() - calls;
        const auto per_watcher = settling_time / of.options.confirmation_period() + 1;
        cr_assert_leq(made, watchers * static_cast<std::size_t>(per_watcher));
        cr_assert_leq(watchers, std::max(of.options.watchers, (of.processes + 15) / 16));
    }
}

/// All processes that are left turn to the store within a short time. Their calls must stay within
/// its rate, 2,000 a second.
Test(gossip_takeover, takeover_stays_within_rate_of_store)
{
    const deployment of{400, gateway_options(milliseconds{2000})};
    gossip_simulation it{of.processes, of.options};
    it.run_for(settling_time * 3);
    for (const auto i : it.watching())
        it.end_process(i);
    constexpr std::uint64_t reads_per_s = 2000;
    for (int i = 0; i < 10; ++i)
    {
        const auto calls = it.store_calls();
        it.run_for(milliseconds{1000});
        cr_assert_leq(it.store_calls() - calls, reads_per_s);
    }
}
