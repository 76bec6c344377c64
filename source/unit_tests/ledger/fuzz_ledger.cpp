#include "../fake_store.hpp"
#include "../fuzz.hpp"

#include "common/text.hpp"
#include "ledger/attempt.hpp"

#include <criterion/criterion.h>

#include <array>
#include <deque>
#include <set>

using namespace kumquatgap;
using common::milliseconds;
using common::result_code;

namespace
{

/// A rule broken on purpose, to show that the model would notice.
enum class mutation
{
    none,
    /// The store takes writes whatever the key's revision.
    no_guards,
    /// An agent takes a lost answer for a write that took effect.
    lost_answer_means_yes,
    /// An agent takes a lost answer for a write that had no effect, and says so to the caller.
    lost_answer_means_no
};

/// Attempts of several agents at few keys, before a store that delays, loses and reorders.
class ledger_world
{
public:
    static constexpr auto step_names = std::to_array<std::string_view>(
        {"start", "deliver", "answer", "lose_answer", "store_down", "service_answers",
         "service_unreached", "service_loses", "withdraw", "kill", "wait", "retry"});

    explicit ledger_world(mutation broken = mutation::none) : m_broken{broken}
    {
        m_store.ignores_guards = broken == mutation::no_guards;
    }

    void step(std::size_t kind, std::uint32_t a, std::uint32_t b)
    {
        switch (kind)
        {
        case 0:
            return start(a % key_count, b % 5 == 0);
        case 1:
            return deliver(a);
        case 2:
            return answer(a);
        case 3:
            return lose_answer(a);
        case 4:
            return refuse_write(a);
        case 5:
            return service_answers(a);
        case 6:
            return service_unreached(a);
        case 7:
            return service_loses(a, b % 2 == 0);
        case 8:
            return withdraw(a);
        case 9:
            return b == 0 ? kill(a) : void();
        case 10:
            m_now += milliseconds{700};
            return;
        default:
            return send_later_writes();
        }
    }

    /// The faults end: everything is delivered and answered, then each key is tried once more.
    void settle()
    {
        run_to_rest();
        for (std::size_t key = 0; key < key_count; ++key)
        {
            const auto n = m_attempts.size();
            start(key, false);
            run_to_rest();
            const auto& last = m_attempts[n];
            const bool ended_well =
                last.executed || last.replayed || last.refused == result_code::key_reused;
            if (!m_may_be_unknown.contains(key))
                RC_ASSERT(ended_well);
        }
    }

private:
    static constexpr std::size_t key_count = 3;

    struct tried
    {
        std::size_t key = 0;
        ledger::attempt state;
        bool alive = true;
        bool waits_for_service = false;
        bool executed = false;
        bool replayed = false;
        bool said_not_run = false;
        std::optional<result_code> refused = std::nullopt;
        std::optional<ledger::write_record> later = std::nullopt;
    };
    struct request
    {
        std::size_t attempt = 0;
        kv::transaction write;
        std::optional<kv::write_answer> result;
        bool agent_waits = true;
    };

    static std::string store_key(std::size_t key)
    {
        return ledger::store_key("m", std::to_string(key));
    }

    void start(std::size_t key, bool other_body)
    {
        const auto n = m_attempts.size();
        m_attempts.push_back({.key = key,
                              .state = ledger::attempt{common::concat("attempt-", n),
                                                       other_body ? "other" : "call",
                                                       {}}});
        carry_out(n, m_attempts[n].state.begin(m_now));
    }

    void carry_out(std::size_t n, const ledger::actions& list)
    {
        for (const auto& it : list)
            std::visit([&](const auto& action) { take(n, action); }, it);
    }
    void take(std::size_t n, const ledger::write_record& it)
    {
        kv::transaction write;
        write.guards.push_back({store_key(m_attempts[n].key), it.expected});
        write.writes.push_back({store_key(m_attempts[n].key), ledger::to_stored(it.value), 0});
        m_requests.push_back({n, std::move(write), std::nullopt, true});
    }
    void take(std::size_t n, const ledger::write_later& it) { m_attempts[n].later = it.write; }
    void take(std::size_t n, const ledger::run_call&)
    {
        RC_ASSERT(!m_attempts[n].said_not_run);
        RC_ASSERT(!m_attempts[n].waits_for_service);
        m_attempts[n].waits_for_service = true;
    }
    void take(std::size_t n, const ledger::refuse_call& it)
    {
        m_attempts[n].refused = it.why.code;
        if (!common::is_not_run(it.why.code))
            return;
        RC_ASSERT(!m_attempts[n].executed);
        m_attempts[n].said_not_run = true;
    }
    void take(std::size_t n, const ledger::replay_answer& it)
    {
        m_attempts[n].replayed = true;
        RC_ASSERT(it.answer.body == m_answers.at(m_attempts[n].key));
    }
    void take(std::size_t, const ledger::forget_attempt&) {}

    /// Picks one of the elements that fit; the end when none does.
    template <class Range, class Fits>
    auto choose(Range& from, std::uint32_t a, Fits fits)
    {
        std::vector<decltype(from.begin())> found;
        for (auto it = from.begin(); it != from.end(); ++it)
        {
            if (fits(*it))
                found.push_back(it);
        }
        return found.empty() ? from.end() : found[a % found.size()];
    }

    /// The store carries out a write, at any time after it was sent and in any order.
    void deliver(std::uint32_t a)
    {
        const auto it = choose(m_requests, a, [](const request& r) { return !r.result; });
        if (it != m_requests.end())
            it->result = m_store.write(it->write);
    }
    void answer(std::uint32_t a)
    {
        const auto it =
            choose(m_requests, a, [](const request& r) { return r.result && r.agent_waits; });
        if (it == m_requests.end())
            return;
        const auto done = *it;
        m_requests.erase(it);
        tell(done.attempt, *done.result);
    }
    /// The agent gives up waiting; the write may have been carried out, or may be later.
    void lose_answer(std::uint32_t a)
    {
        const auto it = choose(m_requests, a, [](const request& r) { return r.agent_waits; });
        if (it == m_requests.end())
            return;
        it->agent_waits = false;
        const auto n = it->attempt;
        if (m_broken == mutation::lost_answer_means_yes)
            return tell(n, kv::write_answer{true, m_store.revision(), {}});
        if (m_broken == mutation::lost_answer_means_no && !m_attempts[n].said_not_run)
        {
            m_attempts[n].said_not_run = true;
            return;
        }
        tell(n, common::failure{result_code::write_outcome_unknown, ""});
    }
    void refuse_write(std::uint32_t a)
    {
        const auto it =
            choose(m_requests, a, [](const request& r) { return !r.result && r.agent_waits; });
        if (it == m_requests.end())
            return;
        const auto n = it->attempt;
        m_requests.erase(it);
        tell(n, common::failure{result_code::store_unavailable, ""});
    }
    void tell(std::size_t n, const common::result<kv::write_answer>& answer)
    {
        if (m_attempts[n].alive)
            carry_out(n, m_attempts[n].state.written(answer, m_now));
    }

    auto choose_running(std::uint32_t a)
    {
        return choose(m_attempts, a, [](const tried& t) { return t.alive && t.waits_for_service; });
    }
    std::size_t index_of(const std::deque<tried>::iterator& it) const
    {
        return static_cast<std::size_t>(it - m_attempts.begin());
    }
    void execute(tried& it)
    {
        RC_ASSERT(m_executed.insert(it.key).second);
        it.executed = true;
        m_answers[it.key] = common::concat("answer to ", it.key);
    }
    void service_answers(std::uint32_t a)
    {
        const auto it = choose_running(a);
        if (it == m_attempts.end())
            return;
        it->waits_for_service = false;
        execute(*it);
        carry_out(index_of(it), it->state.answered({200, "t", m_answers[it->key], true}));
    }
    void service_unreached(std::uint32_t a)
    {
        const auto it = choose_running(a);
        if (it == m_attempts.end())
            return;
        it->waits_for_service = false;
        carry_out(index_of(it), it->state.unreached());
    }
    void service_loses(std::uint32_t a, bool ran)
    {
        const auto it = choose_running(a);
        if (it == m_attempts.end())
            return;
        it->waits_for_service = false;
        if (ran)
            execute(*it);
        m_may_be_unknown.insert(it->key);
        carry_out(index_of(it), it->state.answer_lost());
    }
    void withdraw(std::uint32_t a)
    {
        const auto it = choose(m_attempts, a, [](const tried& t) { return t.alive && !t.refused; });
        if (it != m_attempts.end() && it->state.withdraw())
            it->said_not_run = true;
    }
    /// An agent dies with all it knew; what it has sent may still arrive, and what the service was
    /// asked may still run.
    void kill(std::uint32_t a)
    {
        const auto it = choose(m_attempts, a, [](const tried& t) { return t.alive; });
        if (it == m_attempts.end())
            return;
        it->alive = false;
        if (it->waits_for_service)
            execute(*it);
        it->waits_for_service = false;
        m_may_be_unknown.insert(it->key);
    }
    void send_later_writes()
    {
        for (std::size_t n = 0; n < m_attempts.size(); ++n)
        {
            auto write = std::exchange(m_attempts[n].later, std::nullopt);
            if (write && m_attempts[n].alive)
                take(n, *write);
        }
    }
    void run_to_rest()
    {
        while (has_work())
        {
            deliver(0);
            answer(0);
            service_answers(0);
            send_later_writes();
        }
    }
    bool has_work() const
    {
        return std::ranges::any_of(m_requests,
                                   [](const request& r) { return !r.result || r.agent_waits; }) ||
               std::ranges::any_of(m_attempts, [](const tried& t)
                                   { return t.alive && (t.waits_for_service || t.later); });
    }

    mutation m_broken;
    fuzz::fake_store m_store;
    common::timestamp m_now;
    std::deque<tried> m_attempts;
    std::deque<request> m_requests;
    std::set<std::size_t> m_executed;
    std::set<std::size_t> m_may_be_unknown;
    std::map<std::size_t, std::string> m_answers;
};

} // namespace

Test(fuzz_ledger, no_key_runs_twice_and_not_run_is_true)
{
    cr_assert(fuzz::holds<ledger_world>(true));
}

Test(fuzz_ledger, notices_a_store_without_guards)
{
    cr_assert_not(fuzz::holds<ledger_world>(false, mutation::no_guards));
}

Test(fuzz_ledger, notices_an_agent_that_takes_lost_answers_for_yes)
{
    cr_assert_not(fuzz::holds<ledger_world>(false, mutation::lost_answer_means_yes));
}

Test(fuzz_ledger, notices_an_agent_that_takes_lost_answers_for_no)
{
    cr_assert_not(fuzz::holds<ledger_world>(false, mutation::lost_answer_means_no));
}
