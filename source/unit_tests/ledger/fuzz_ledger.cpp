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

/// A fault put into the simulation to see that the property detects it.
enum class mutation
{
    none,
    /// The store applies writes whatever the key's revision.
    no_guards,
    /// An agent assumes that a write with a lost response was applied.
    assumes_lost_write_applied,
    /// An agent assumes that a write with a lost response was not applied, and reports to the
    /// caller that the call did not run.
    assumes_lost_write_not_applied
};

/// Attempts of several agents with few idempotency keys, with a store that delays, loses and
/// reorders writes.
class simulated_ledger
{
public:
    static constexpr auto step_names = std::to_array<std::string_view>(
        {"start", "deliver", "respond", "lose_response", "fail_write", "service_responds",
         "call_not_delivered", "service_loses_response", "withdraw", "crash_agent", "wait",
         "retry"});

    explicit simulated_ledger(mutation injected = mutation::none) : m_mutation{injected}
    {
        m_store.ignores_guards = injected == mutation::no_guards;
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
            return respond(a);
        case 3:
            return lose_response(a);
        case 4:
            return fail_write(a);
        case 5:
            return service_responds(a);
        case 6:
            return call_not_delivered(a);
        case 7:
            return service_loses_response(a, b % 2 == 0);
        case 8:
            return withdraw(a);
        case 9:
            return b == 0 ? crash_agent(a) : void();
        case 10:
            m_now += milliseconds{700};
            return;
        default:
            return send_pending_retries();
        }
    }

    /// Ends the faults: delivers all writes and responses, then makes one more attempt for each
    /// key.
    void settle()
    {
        run_until_idle();
        for (std::size_t key = 0; key < key_count; ++key)
        {
            const auto n = m_attempts.size();
            start(key, false);
            run_until_idle();
            const auto& last = m_attempts[n];
            const bool has_final_outcome =
                last.executed || last.replayed || last.refused == result_code::key_reused;
            if (!m_may_have_unknown_outcome.contains(key))
                RC_ASSERT(has_final_outcome);
        }
    }

private:
    static constexpr std::size_t key_count = 3;

    struct simulated_attempt
    {
        std::size_t key = 0;
        ledger::attempt state;
        bool is_alive = true;
        bool is_waiting_for_service = false;
        bool executed = false;
        bool replayed = false;
        bool reported_not_run = false;
        std::optional<result_code> refused = std::nullopt;
        std::optional<ledger::write_record> pending_retry = std::nullopt;
    };
    struct request
    {
        std::size_t attempt = 0;
        kv::transaction write;
        std::optional<kv::write_response> result;
        bool is_agent_waiting = true;
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
            std::visit([&](const auto& action) { perform(n, action); }, it);
    }
    void perform(std::size_t n, const ledger::write_record& it)
    {
        kv::transaction write;
        write.guards.push_back({store_key(m_attempts[n].key), it.expected});
        write.writes.push_back({store_key(m_attempts[n].key), ledger::serialize(it.value)});
        m_requests.push_back({n, std::move(write), std::nullopt, true});
    }
    void perform(std::size_t n, const ledger::retry_write& it)
    {
        m_attempts[n].pending_retry = it.write;
    }
    void perform(std::size_t n, const ledger::run_call&)
    {
        RC_ASSERT(!m_attempts[n].reported_not_run);
        RC_ASSERT(!m_attempts[n].is_waiting_for_service);
        m_attempts[n].is_waiting_for_service = true;
    }
    void perform(std::size_t n, const ledger::refuse_call& it)
    {
        m_attempts[n].refused = it.why.code;
        if (!common::is_not_run(it.why.code))
            return;
        RC_ASSERT(!m_attempts[n].executed);
        m_attempts[n].reported_not_run = true;
    }
    void perform(std::size_t n, const ledger::replay_response& it)
    {
        m_attempts[n].replayed = true;
        RC_ASSERT(it.response.body == m_responses.at(m_attempts[n].key));
    }
    void perform(std::size_t, const ledger::discard_attempt&) {}

    /// Selects one of the elements that match; the end when none does.
    template <class Range, class Matches>
    auto choose(Range& from, std::uint32_t a, Matches matches)
    {
        std::vector<decltype(from.begin())> found;
        for (auto it = from.begin(); it != from.end(); ++it)
        {
            if (matches(*it))
                found.push_back(it);
        }
        return found.empty() ? from.end() : found[a % found.size()];
    }

    /// The store carries out a write; writes are delivered at any time and in any order.
    void deliver(std::uint32_t a)
    {
        const auto it = choose(m_requests, a, [](const request& r) { return !r.result; });
        if (it != m_requests.end())
            it->result = m_store.write(it->write);
    }
    void respond(std::uint32_t a)
    {
        const auto it =
            choose(m_requests, a, [](const request& r) { return r.result && r.is_agent_waiting; });
        if (it == m_requests.end())
            return;
        const auto done = *it;
        m_requests.erase(it);
        finish_write(done.attempt, *done.result);
    }
    /// The agent stops waiting; the write may have been carried out, or may be carried out later.
    void lose_response(std::uint32_t a)
    {
        const auto it = choose(m_requests, a, [](const request& r) { return r.is_agent_waiting; });
        if (it == m_requests.end())
            return;
        it->is_agent_waiting = false;
        const auto n = it->attempt;
        if (m_mutation == mutation::assumes_lost_write_applied)
            return finish_write(n, kv::write_response{true, m_store.revision(), {}});
        if (m_mutation == mutation::assumes_lost_write_not_applied &&
            !m_attempts[n].reported_not_run)
        {
            m_attempts[n].reported_not_run = true;
            return;
        }
        finish_write(n, common::failure{result_code::write_outcome_unknown, ""});
    }
    void fail_write(std::uint32_t a)
    {
        const auto it =
            choose(m_requests, a, [](const request& r) { return !r.result && r.is_agent_waiting; });
        if (it == m_requests.end())
            return;
        const auto n = it->attempt;
        m_requests.erase(it);
        finish_write(n, common::failure{result_code::store_unavailable, ""});
    }
    void finish_write(std::size_t n, const common::result<kv::write_response>& response)
    {
        if (m_attempts[n].is_alive)
            carry_out(n, m_attempts[n].state.written(response, m_now));
    }

    auto choose_running(std::uint32_t a)
    {
        return choose(m_attempts, a,
                      [](const simulated_attempt& t)
                      { return t.is_alive && t.is_waiting_for_service; });
    }
    std::size_t index_of(const std::deque<simulated_attempt>::iterator& it) const
    {
        return static_cast<std::size_t>(it - m_attempts.begin());
    }
    void execute(simulated_attempt& it)
    {
        RC_ASSERT(m_executed.insert(it.key).second);
        it.executed = true;
        m_responses[it.key] = common::concat("answer to ", it.key);
    }
    void service_responds(std::uint32_t a)
    {
        const auto it = choose_running(a);
        if (it == m_attempts.end())
            return;
        it->is_waiting_for_service = false;
        execute(*it);
        carry_out(index_of(it), it->state.responded({200, "t", m_responses[it->key], true}));
    }
    void call_not_delivered(std::uint32_t a)
    {
        const auto it = choose_running(a);
        if (it == m_attempts.end())
            return;
        it->is_waiting_for_service = false;
        carry_out(index_of(it), it->state.not_delivered());
    }
    void service_loses_response(std::uint32_t a, bool ran)
    {
        const auto it = choose_running(a);
        if (it == m_attempts.end())
            return;
        it->is_waiting_for_service = false;
        if (ran)
            execute(*it);
        m_may_have_unknown_outcome.insert(it->key);
        carry_out(index_of(it), it->state.response_lost());
    }
    void withdraw(std::uint32_t a)
    {
        const auto it = choose(m_attempts, a,
                               [](const simulated_attempt& t) { return t.is_alive && !t.refused; });
        if (it != m_attempts.end() && it->state.withdraw())
            it->reported_not_run = true;
    }
    /// An agent crashes and loses its state. Its writes may still be delivered, and the call that
    /// it sent to the service may still run.
    void crash_agent(std::uint32_t a)
    {
        const auto it =
            choose(m_attempts, a, [](const simulated_attempt& t) { return t.is_alive; });
        if (it == m_attempts.end())
            return;
        it->is_alive = false;
        if (it->is_waiting_for_service)
            execute(*it);
        it->is_waiting_for_service = false;
        m_may_have_unknown_outcome.insert(it->key);
    }
    void send_pending_retries()
    {
        for (std::size_t n = 0; n < m_attempts.size(); ++n)
        {
            auto write = std::exchange(m_attempts[n].pending_retry, std::nullopt);
            if (write && m_attempts[n].is_alive)
                perform(n, *write);
        }
    }
    void run_until_idle()
    {
        while (has_work())
        {
            deliver(0);
            respond(0);
            service_responds(0);
            send_pending_retries();
        }
    }
    bool has_work() const
    {
        return std::ranges::any_of(m_requests, [](const request& r)
                                   { return !r.result || r.is_agent_waiting; }) ||
               std::ranges::any_of(
                   m_attempts, [](const simulated_attempt& t)
                   { return t.is_alive && (t.is_waiting_for_service || t.pending_retry); });
    }

    mutation m_mutation;
    fuzz::fake_store m_store;
    common::timestamp m_now;
    std::deque<simulated_attempt> m_attempts;
    std::deque<request> m_requests;
    std::set<std::size_t> m_executed;
    std::set<std::size_t> m_may_have_unknown_outcome;
    std::map<std::size_t, std::string> m_responses;
};

} // namespace

Test(fuzz_ledger, calls_run_at_most_once_and_not_run_is_never_false)
{
    cr_assert(fuzz::holds<simulated_ledger>(true));
}

Test(fuzz_ledger, notices_missing_guards)
{
    cr_assert_not(fuzz::holds<simulated_ledger>(false, mutation::no_guards));
}

Test(fuzz_ledger, notices_lost_response_taken_for_applied)
{
    cr_assert_not(fuzz::holds<simulated_ledger>(false, mutation::assumes_lost_write_applied));
}

Test(fuzz_ledger, notices_lost_response_taken_for_not_applied)
{
    cr_assert_not(fuzz::holds<simulated_ledger>(false, mutation::assumes_lost_write_not_applied));
}
