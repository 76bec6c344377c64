#include "../fake_store.hpp"
#include "../fuzz.hpp"

#include "common/text.hpp"
#include "config/resource.hpp"
#include "membership/gossip_node.hpp"

#include <criterion/criterion.h>

#include <array>
#include <deque>
#include <optional>

using namespace kumquatgap;
using namespace kumquatgap::membership;

namespace
{

/// A fault put into the simulation to see that the property detects it.
enum class mutation
{
    none,
    /// A watch misses the oldest of several changes after the replica's revision.
    watch_skips_changes,
    /// No process takes over from a failed watcher.
    no_takeover,
    /// Processes accept an older state of the store within its era.
    accepts_regression,
    /// A watch goes on after the store was restored from a copy.
    watch_outlives_era
};

/// The processes of a data centre with a store that is at times unavailable, responds late or is
/// restored from a copy, over a network that loses, duplicates and reorders messages.
class simulated_gossip
{
public:
    static constexpr auto step_names =
        std::to_array<std::string_view>({"write",
                                         "erase",
                                         "tick",
                                         "tick",
                                         "deliver",
                                         "deliver",
                                         "deliver",
                                         "lose",
                                         "duplicate",
                                         "read_finishes",
                                         "read_finishes",
                                         "read_finishes_late",
                                         "watch_reports",
                                         "watch_is_lost",
                                         "restart",
                                         "store_down",
                                         "store_up",
                                         "read_finishes_from_old_store",
                                         "store_is_restored",
                                         "crash"});

    explicit simulated_gossip(mutation injected = mutation::none) : m_mutation{injected}
    {
        m_states[m_store.position()] = {};
        for (std::size_t n = 0; n < process_count; ++n)
            m_processes.push_back(make_process(n));
        for (std::size_t n = 0; n < process_count; ++n)
            carry_out(n, m_processes[n].state.begin(m_now));
    }

    void step(std::size_t kind, std::uint32_t a, std::uint32_t b)
    {
        const auto n = a % process_count;
        switch (kind)
        {
        case 0:
            return write(common::concat(config::resource_prefix, "team/", b), std::to_string(a));
        case 1:
            return write(common::concat(config::resource_prefix, "team/", b), std::nullopt);
        case 2:
        case 3:
            return tick(n);
        case 4:
        case 5:
        case 6:
            return deliver(b, false);
        case 7:
            if (!m_messages.empty())
                m_messages.erase(m_messages.begin() +
                                 static_cast<std::ptrdiff_t>(b % m_messages.size()));
            return;
        case 8:
            return deliver(b, true);
        case 9:
        case 10:
            return finish_read(n, m_store.range(std::string{config::replicated_prefix}));
        case 11:
            if (m_processes[n].late_response)
                finish_read(n, *m_processes[n].late_response);
            m_processes[n].late_response = m_store.range(std::string{config::replicated_prefix});
            return;
        case 12:
            return report_changes(n);
        case 13:
            return lose_watch(n, store_failure::unavailable);
        case 14:
            return b < 3 ? restart(n) : void();
        case 15:
            m_store_is_up = false;
            return;
        case 16:
            m_store_is_up = true;
            return;
        case 17:
            return finish_read_from_old_store(n, b);
        case 18:
            return restore_store(b);
        default:
            return crash_for_good(n);
        }
    }

    /// Ends the faults and checks that every live process has the newest resources within the
    /// required 15 s.
    void settle()
    {
        m_store_is_up = true;
        constexpr int seconds = 15;
        for (int i = 0; i < seconds; ++i)
        {
            for (std::size_t n = 0; n < process_count; ++n)
            {
                check_head(n);
                tick(n);
            }
            deliver_all();
            m_now += milliseconds{1000};
        }
        const auto newest = m_store.range(std::string{config::replicated_prefix});
        for (const auto& it : m_processes)
            RC_ASSERT(it.is_crashed || has_items(it.state.replica(), newest.items));
    }

private:
    static constexpr std::size_t process_count = 5;

    struct process
    {
        gossip_node state;
        bool is_reading = false;
        bool is_watching = false;
        bool is_crashed = false;
        std::optional<kv::range_response> late_response = std::nullopt;
        kv::position highest = {};
        kv::era watched_era = 0;
    };

    static peer name_of(std::size_t n) { return {common::concat("host-", n), std::to_string(n)}; }

    process make_process(std::size_t n)
    {
        gossip_options options;
        if (m_mutation == mutation::no_takeover)
            options.apply_time = milliseconds{2'000'000};
        process out{gossip_node{name_of(n), options, n + 1}};
        std::vector<peer> peers;
        for (std::size_t i = 0; i < process_count; ++i)
            peers.push_back(name_of(i));
        out.state.set_peers(peers);
        return out;
    }

    static bool has_items(const config::replica& replica, const std::vector<kv::key_value>& items)
    {
        return std::ranges::equal(replica.items(), items,
                                  [](const auto& a, const auto& b)
                                  {
                                      return a.first == b.key && a.second.value == b.value &&
                                             a.second.mod_revision == b.mod_revision;
                                  });
    }

    /// The invariants after every event: a replica's position never decreases, and its items are
    /// those that the store had at that position.
    void check_invariants(std::size_t n)
    {
        auto& it = m_processes[n];
        RC_ASSERT(it.state.replica().position() >= it.highest);
        it.highest = it.state.replica().position();
        if (it.state.replica().is_ready())
            RC_ASSERT(has_items(it.state.replica(), m_states.at(it.highest)));
    }

    void write(const std::string& key, std::optional<std::string> value)
    {
        m_store.write({{}, {{key, std::move(value)}}});
        m_states[m_store.position()] = m_store.range(std::string{config::replicated_prefix}).items;
    }

    void carry_out(std::size_t n, const actions& list)
    {
        for (const auto& it : list)
            std::visit([&](const auto& action) { perform(n, action); }, it);
        check_invariants(n);
    }
    void perform(std::size_t, const send_message& it) { m_messages.push_back(it); }
    void perform(std::size_t n, const read_store&) { m_processes[n].is_reading = true; }
    void perform(std::size_t n, const start_watch&)
    {
        m_processes[n].is_watching = true;
        m_processes[n].watched_era = m_processes[n].state.replica().era();
    }
    void perform(std::size_t n, const stop_watch&) { m_processes[n].is_watching = false; }

    void tick(std::size_t n)
    {
        m_now += milliseconds{150};
        if (m_processes[n].is_crashed)
            return;
        carry_out(n, m_processes[n].state.tick(m_now));
    }

    void deliver(std::uint32_t b, bool duplicate)
    {
        if (m_messages.empty())
            return;
        const auto it = m_messages.begin() + static_cast<std::ptrdiff_t>(b % m_messages.size());
        const auto sent = *it;
        if (!duplicate)
            m_messages.erase(it);
        const auto n = static_cast<std::size_t>(std::stoul(sent.address));
        if (!m_processes[n].is_crashed)
            carry_out(n, m_processes[n].state.handle(sent.payload, m_now));
    }

    void finish_read(std::size_t n, const kv::range_response& response)
    {
        auto& it = m_processes[n];
        if (!std::exchange(it.is_reading, false))
            return;
        carry_out(n, m_store_is_up ? it.state.read_finished(response, m_now)
                                   : it.state.store_failed(m_now));
    }

    void finish_read_from_old_store(std::size_t n, std::uint32_t b)
    {
        auto old = m_states.begin();
        std::advance(old, static_cast<std::ptrdiff_t>(b % m_states.size()));
        if (m_mutation == mutation::accepts_regression)
        {
            // Accepting the older state is simulated as a restart without the replica.
            if (std::exchange(m_processes[n].is_reading, false))
            {
                const auto highest = m_processes[n].highest;
                m_processes[n] = make_process(n);
                m_processes[n].highest = highest;
                carry_out(n, m_processes[n].state.read_finished(
                                 {old->first.at, old->second, old->first.in_era}, m_now));
            }
            return;
        }
        finish_read(n, {old->first.at, old->second, old->first.in_era});
    }

    void restore_store(std::uint32_t b)
    {
        constexpr kv::revision max_lost = 6;
        m_store.restore(std::max<kv::revision>(1, m_store.revision() - b % max_lost));
        m_states[m_store.position()] = m_store.range(std::string{config::replicated_prefix}).items;
    }

    void report_changes(std::size_t n)
    {
        auto& it = m_processes[n];
        if (!it.is_watching || !m_store_is_up)
            return;
        if (it.watched_era != m_store.position().in_era &&
            m_mutation != mutation::watch_outlives_era)
            return lose_watch(n, store_failure::history_lost);
        const auto from = it.state.replica().as_of();
        std::vector<kv::change> changes;
        for (const auto& c : m_store.changes_after(from))
            changes.push_back(c);
        if (m_mutation == mutation::watch_skips_changes && changes.size() > 1)
            changes.erase(changes.begin());
        if (!changes.empty())
            carry_out(n, it.state.store_changed(
                             {from, m_store.revision(), std::move(changes), it.watched_era}, m_now,
                             m_now));
    }

    void lose_watch(std::size_t n, store_failure why)
    {
        if (std::exchange(m_processes[n].is_watching, false))
            carry_out(n, m_processes[n].state.store_failed(m_now, why));
    }

    void check_head(std::size_t n)
    {
        auto& it = m_processes[n];
        if (it.is_watching && it.state.replica().position() < m_store.position())
            return lose_watch(n, store_failure::history_lost);
        if (it.is_watching)
            it.state.store_responded(m_now);
    }

    /// A process crashes and does not restart, while the platform's list still includes it.
    void crash_for_good(std::size_t n)
    {
        const auto crashed_count = std::ranges::count_if(m_processes, &process::is_crashed);
        constexpr int max_crashed = 3;
        if (crashed_count >= max_crashed)
            return;
        m_processes[n] = make_process(n);
        m_processes[n].is_crashed = true;
    }

    void restart(std::size_t n)
    {
        if (m_processes[n].is_crashed)
            return;
        m_processes[n] = make_process(n);
        carry_out(n, m_processes[n].state.begin(m_now));
    }

    void deliver_all()
    {
        constexpr int max_rounds = 2000;
        for (int i = 0; i < max_rounds; ++i)
        {
            for (std::size_t n = 0; n < process_count; ++n)
                finish_read(n, m_store.range(std::string{config::replicated_prefix}));
            if (m_messages.empty())
                return;
            deliver(0, false);
        }
    }

    mutation m_mutation;
    fuzz::fake_store m_store;
    bool m_store_is_up = true;
    timestamp m_now{milliseconds{1'000'000}};
    std::vector<process> m_processes;
    std::deque<send_message> m_messages;
    std::map<kv::position, std::vector<kv::key_value>> m_states;
};

} // namespace

Test(fuzz_gossip_node, replicas_never_regress_and_converge)
{
    cr_assert(fuzz::holds<simulated_gossip>(true));
}

Test(fuzz_gossip_node, notices_watch_that_skips_changes)
{
    cr_assert_not(fuzz::holds<simulated_gossip>(false, mutation::watch_skips_changes));
}

Test(fuzz_gossip_node, notices_missing_takeover)
{
    cr_assert_not(fuzz::holds<simulated_gossip>(false, mutation::no_takeover));
}

Test(fuzz_gossip_node, notices_accepted_regression)
{
    cr_assert_not(fuzz::holds<simulated_gossip>(false, mutation::accepts_regression));
}

Test(fuzz_gossip_node, notices_watch_that_outlives_era)
{
    cr_assert_not(fuzz::holds<simulated_gossip>(false, mutation::watch_outlives_era));
}
