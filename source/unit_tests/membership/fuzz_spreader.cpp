#include "../fake_store.hpp"
#include "../fuzz.hpp"

#include "common/text.hpp"
#include "config/resource.hpp"
#include "membership/spreader.hpp"

#include <criterion/criterion.h>

#include <array>
#include <deque>
#include <optional>

using namespace kumquatgap;
using namespace kumquatgap::membership;

namespace
{

/// A rule broken on purpose.
enum class mutation
{
    none,
    /// Watches start after the newest change and not after what the process has.
    watches_start_late,
    /// Nobody follows a watcher that has gone.
    nobody_takes_over,
    /// Processes obey a store that has lost its newest writes.
    regressions_are_obeyed
};

/// The processes of a data centre before a store that goes away, answers late or has lost writes,
/// over a network that loses, repeats and reorders.
class spreading_world
{
public:
    static constexpr auto step_names = std::to_array<std::string_view>(
        {"write", "erase", "tick", "tick", "deliver", "deliver", "deliver", "lose", "repeat",
         "store_answers", "store_answers", "store_answers_late", "watch_reports", "watch_is_lost",
         "restart", "store_down", "store_up", "old_store_answers", "die"});

    explicit spreading_world(mutation broken = mutation::none) : m_broken{broken}
    {
        m_states[m_store.revision()] = {};
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
            return answer_read(n, m_store.range(std::string{config::followed_prefix}));
        case 11:
            if (m_processes[n].late_answer)
                answer_read(n, *m_processes[n].late_answer);
            m_processes[n].late_answer = m_store.range(std::string{config::followed_prefix});
            return;
        case 12:
            return report(n);
        case 13:
            return lose_watch(n);
        case 14:
            return b < 3 ? restart(n) : void();
        case 15:
            m_store_is_up = false;
            return;
        case 16:
            m_store_is_up = true;
            return;
        case 17:
            return answer_from_old_store(n, b);
        default:
            return die(n);
        }
    }

    /// The faults end. Within the 15 s of the requirement everyone has the newest resources.
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
        const auto newest = m_store.range(std::string{config::followed_prefix});
        for (const auto& it : m_processes)
            RC_ASSERT(it.is_dead || same(it.state.copy(), newest.items));
    }

private:
    static constexpr std::size_t process_count = 5;

    struct process
    {
        spreader state;
        bool reads = false;
        bool watches = false;
        bool is_dead = false;
        std::optional<kv::range_answer> late_answer = std::nullopt;
        kv::revision highest = 0;
    };

    static peer name_of(std::size_t n) { return {common::concat("host-", n), std::to_string(n)}; }

    process make_process(std::size_t n)
    {
        spreader_options options;
        if (m_broken == mutation::nobody_takes_over)
            options.watcher_silence = milliseconds{1'000'000};
        process out{spreader{name_of(n), options, n + 1}};
        std::vector<peer> peers;
        for (std::size_t i = 0; i < process_count; ++i)
            peers.push_back(name_of(i));
        out.state.set_peers(peers);
        return out;
    }

    static bool same(const config::replica& copy, const std::vector<kv::key_value>& items)
    {
        return std::ranges::equal(copy.items(), items,
                                  [](const auto& a, const auto& b) {
                                      return a.first == b.key && a.second.value == b.value &&
                                             a.second.modified == b.modified;
                                  });
    }

    /// After every event: revisions never go down, and a copy is what the store had at its
    /// revision.
    void check(std::size_t n)
    {
        auto& it = m_processes[n];
        RC_ASSERT(it.state.copy().as_of() >= it.highest);
        it.highest = it.state.copy().as_of();
        if (it.state.copy().is_ready())
            RC_ASSERT(same(it.state.copy(), m_states.at(it.highest)));
    }

    void write(const std::string& key, std::optional<std::string> value)
    {
        m_store.write({{}, {{key, std::move(value), 0}}});
        m_states[m_store.revision()] = m_store.range(std::string{config::followed_prefix}).items;
    }

    void carry_out(std::size_t n, const actions& list)
    {
        for (const auto& it : list)
            std::visit([&](const auto& action) { take(n, action); }, it);
        check(n);
    }
    void take(std::size_t, const send_message& it) { m_messages.push_back(it); }
    void take(std::size_t n, const read_store&) { m_processes[n].reads = true; }
    void take(std::size_t n, const start_watch&) { m_processes[n].watches = true; }
    void take(std::size_t n, const stop_watch&) { m_processes[n].watches = false; }

    void tick(std::size_t n)
    {
        m_now += milliseconds{150};
        if (m_processes[n].is_dead)
            return;
        carry_out(n, m_processes[n].state.tick(m_now));
    }

    void deliver(std::uint32_t b, bool keep)
    {
        if (m_messages.empty())
            return;
        const auto it = m_messages.begin() + static_cast<std::ptrdiff_t>(b % m_messages.size());
        const auto sent = *it;
        if (!keep)
            m_messages.erase(it);
        const auto n = static_cast<std::size_t>(std::stoul(sent.address));
        if (!m_processes[n].is_dead)
            carry_out(n, m_processes[n].state.received(sent.what, m_now));
    }

    void answer_read(std::size_t n, const kv::range_answer& answer)
    {
        auto& it = m_processes[n];
        if (!std::exchange(it.reads, false))
            return;
        carry_out(n, m_store_is_up ? it.state.store_read(answer, m_now)
                                   : it.state.store_failed(m_now));
    }

    void answer_from_old_store(std::size_t n, std::uint32_t b)
    {
        auto old = m_states.begin();
        std::advance(old, static_cast<std::ptrdiff_t>(b % m_states.size()));
        if (m_broken == mutation::regressions_are_obeyed)
        {
            // A process that obeys forgets what it had.
            if (std::exchange(m_processes[n].reads, false))
            {
                const auto highest = m_processes[n].highest;
                m_processes[n] = make_process(n);
                m_processes[n].highest = highest;
                carry_out(n, m_processes[n].state.store_read({old->first, old->second}, m_now));
            }
            return;
        }
        answer_read(n, {old->first, old->second});
    }

    void report(std::size_t n)
    {
        auto& it = m_processes[n];
        if (!it.watches || !m_store_is_up)
            return;
        const auto from = it.state.copy().as_of();
        std::vector<kv::change> changes;
        for (const auto& c : m_store.changes_after(from))
            changes.push_back(c);
        if (m_broken == mutation::watches_start_late && changes.size() > 1)
            changes.erase(changes.begin());
        if (!changes.empty())
            carry_out(
                n, it.state.store_changed({from, m_store.revision(), std::move(changes)}, m_now));
    }

    void lose_watch(std::size_t n)
    {
        if (std::exchange(m_processes[n].watches, false))
            carry_out(n, m_processes[n].state.store_failed(m_now));
    }

    void check_head(std::size_t n)
    {
        auto& it = m_processes[n];
        if (it.watches && it.state.copy().as_of() < m_store.revision())
            return lose_watch(n);
        if (it.watches)
            it.state.store_heard(m_now);
    }

    /// A process goes for good, while the platform's list still has it.
    void die(std::size_t n)
    {
        const auto dead = std::ranges::count_if(m_processes, &process::is_dead);
        constexpr int most_dead = 3;
        if (dead >= most_dead)
            return;
        m_processes[n] = make_process(n);
        m_processes[n].is_dead = true;
    }

    void restart(std::size_t n)
    {
        if (m_processes[n].is_dead)
            return;
        m_processes[n] = make_process(n);
        carry_out(n, m_processes[n].state.begin(m_now));
    }

    void deliver_all()
    {
        constexpr int most = 2000;
        for (int i = 0; i < most; ++i)
        {
            for (std::size_t n = 0; n < process_count; ++n)
                answer_read(n, m_store.range(std::string{config::followed_prefix}));
            if (m_messages.empty())
                return;
            deliver(0, false);
        }
    }

    mutation m_broken;
    fuzz::fake_store m_store;
    bool m_store_is_up = true;
    timestamp m_now{milliseconds{1'000'000}};
    std::vector<process> m_processes;
    std::deque<send_message> m_messages;
    std::map<kv::revision, std::vector<kv::key_value>> m_states;
};

} // namespace

Test(fuzz_spreader, configuration_never_reverts_and_reaches_everyone)
{
    cr_assert(fuzz::holds<spreading_world>(true));
}

Test(fuzz_spreader, notices_watches_that_start_late)
{
    cr_assert_not(fuzz::holds<spreading_world>(false, mutation::watches_start_late));
}

Test(fuzz_spreader, notices_that_nobody_takes_over)
{
    cr_assert_not(fuzz::holds<spreading_world>(false, mutation::nobody_takes_over));
}

Test(fuzz_spreader, notices_obedience_to_a_store_that_lost_writes)
{
    cr_assert_not(fuzz::holds<spreading_world>(false, mutation::regressions_are_obeyed));
}
