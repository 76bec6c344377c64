#include "../fake_store.hpp"
#include "../fuzz.hpp"

#include "common/text.hpp"
#include "config/resource_write.hpp"

#include <criterion/criterion.h>

#include <array>
#include <deque>
#include <set>

using namespace kumquatgap;
using namespace kumquatgap::config;
using common::result_code;

namespace
{

/// A fault put into the simulation to see that the property detects it.
enum class mutation
{
    none,
    /// The store applies writes whatever the keys' revisions.
    no_guards,
    /// A write does not guard the head key, and so not the resources that it was checked against.
    no_head_guard
};

/// Operators who change the shares of one service concurrently, with a store that delays writes and
/// loses responses.
class simulated_operators
{
public:
    static constexpr auto step_names =
        std::to_array<std::string_view>({"put", "put", "erase", "read", "read", "write", "write",
                                         "lose_response", "fail_write", "wait"});

    explicit simulated_operators(mutation injected = mutation::none) : m_mutation{injected}
    {
        m_store.ignores_guards = injected == mutation::no_guards;
        for (const auto& it :
             {resource{kind::service, "s", {{"type", "model"}, {"model", "m"}}, 0, ""},
              resource{kind::team,
                       "t",
                       {{"member", "a"}, {"token_sha256", std::string(64, 'a')}},
                       0,
                       ""}})
            m_store.write({{}, {{key_of(it.type, it.name), serialize(it)}}});
    }

    void step(std::size_t k, std::uint32_t a, std::uint32_t b)
    {
        switch (k)
        {
        case 0:
        case 1:
            return put(a % 3, b);
        case 2:
            return erase(a % 3);
        case 3:
        case 4:
            return read(a);
        case 5:
        case 6:
            return write(a);
        case 7:
            return lose_response(a, b % 2 == 0);
        case 8:
            return fail_write(a);
        default:
            m_now += common::milliseconds{1500};
            return;
        }
    }

    void settle()
    {
        while (!m_active.empty())
        {
            read(0);
            write(0);
        }
        check_sum();
        for (const auto& it : m_done)
        {
            if (it.refused && *it.refused != result_code::write_outcome_unknown)
                RC_ASSERT(!m_applied_writers.contains(it.writer));
            if (it.accepted && !it.is_erase)
                RC_ASSERT(m_applied_writers.contains(it.writer));
        }
    }

private:
    struct operation
    {
        resource_write state;
        std::string writer;
        bool is_erase = false;
        write_step next;
        bool accepted = false;
        std::optional<result_code> refused = std::nullopt;
    };

    static std::string share_name(std::uint32_t n) { return common::concat("share-", n); }

    kv::revision version_of(const std::string& name) const
    {
        const auto found = m_store.get(key_of(kind::share, name));
        return found ? found->mod_revision : 0;
    }

    void begin(resource_write state, std::string writer, bool is_erase)
    {
        operation it{std::move(state), std::move(writer), is_erase, read_resources{}};
        it.next = it.state.begin(m_now);
        m_active.push_back(std::move(it));
    }
    void put(std::uint32_t n, std::uint32_t b)
    {
        const auto name = share_name(n);
        auto writer = common::concat("writer-", m_next_writer++);
        resource r{kind::share,
                   name,
                   {{"team", "t"}, {"service", "s"}, {"percent", 10 + 10 * b}},
                   version_of(name),
                   writer};
        begin(resource_write::put(std::move(r)), std::move(writer), false);
    }
    void erase(std::uint32_t n)
    {
        const auto name = share_name(n);
        begin(resource_write::erase(kind::share, name, version_of(name)), "", true);
    }

    template <class Step>
    operation* choose(std::uint32_t a)
    {
        std::vector<operation*> found;
        for (auto& it : m_active)
        {
            if (std::holds_alternative<Step>(it.next))
                found.push_back(&it);
        }
        return found.empty() ? nullptr : found[a % found.size()];
    }

    void read(std::uint32_t a)
    {
        if (auto* it = choose<read_resources>(a))
            advance(*it, it->state.read_finished(m_store.range(std::string{"/kqg/"}), m_now));
    }
    kv::write_response carry_out(const operation& it)
    {
        auto transaction = std::get<write_transaction>(it.next).transaction;
        if (m_mutation == mutation::no_head_guard)
            transaction.guards.resize(1);
        auto out = m_store.write(transaction);
        if (out.applied && !it.is_erase)
            m_applied_writers.insert(it.writer);
        check_sum();
        return out;
    }
    void write(std::uint32_t a)
    {
        if (auto* it = choose<write_transaction>(a))
            advance(*it, it->state.written(carry_out(*it), m_now));
    }
    void lose_response(std::uint32_t a, bool takes_effect)
    {
        auto* it = choose<write_transaction>(a);
        if (it == nullptr)
            return;
        if (takes_effect)
            carry_out(*it);
        advance(*it,
                it->state.written(common::failure{result_code::write_outcome_unknown, ""}, m_now));
    }
    void fail_write(std::uint32_t a)
    {
        const common::failure why{result_code::store_unavailable, ""};
        if (auto* it = choose<write_transaction>(a))
            advance(*it, it->state.written(why, m_now));
    }
    void advance(operation& it, write_step next)
    {
        it.next = std::move(next);
        it.accepted = std::holds_alternative<write_accepted>(it.next);
        if (const auto* refused = std::get_if<write_refused>(&it.next))
            it.refused = refused->why.code;
        if (!it.accepted && !it.refused)
            return;
        m_done.push_back(it);
        std::erase_if(m_active, [&](const operation& x) { return &x == &it; });
    }

    void check_sum() const
    {
        std::int64_t sum = 0;
        for (const auto& it : m_store.range(key_of(kind::share, "")).items)
            sum += deserialize(it)->spec["percent"].get<std::int64_t>();
        RC_ASSERT(sum <= 100);
    }

    mutation m_mutation;
    fuzz::fake_store m_store;
    common::timestamp m_now;
    std::deque<operation> m_active;
    std::vector<operation> m_done;
    std::set<std::string> m_applied_writers;
    int m_next_writer = 0;
};

} // namespace

Test(fuzz_resource_write, shares_stay_within_100_percent_and_no_write_is_lost)
{
    cr_assert(fuzz::holds<simulated_operators>(true));
}

Test(fuzz_resource_write, notices_missing_guards)
{
    cr_assert_not(fuzz::holds<simulated_operators>(false, mutation::no_guards));
}

Test(fuzz_resource_write, notices_missing_head_guard)
{
    cr_assert_not(fuzz::holds<simulated_operators>(false, mutation::no_head_guard));
}
