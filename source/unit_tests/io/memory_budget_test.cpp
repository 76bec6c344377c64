#include "io/memory_budget.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace kumquatgap::io;
using kumquatgap::common::milliseconds;
using kumquatgap::common::now;

namespace
{

constexpr std::size_t mb = std::size_t{1} << 20;

/// A connection that releases its buffers by closing.
class test_connection : public buffer_owner
{
public:
    explicit test_connection(memory_budget& budget) : m_account{budget, *this} {}

    memory_account& account() { return m_account; }
    bool is_closed() const { return m_is_closed; }
    void refresh_account() override {}
    void release(shortage /*why*/) override
    {
        m_is_closed = true;
        m_account.close();
    }

private:
    memory_account m_account;
    bool m_is_closed = false;
};

std::vector<std::unique_ptr<test_connection>> open_connections(memory_budget& budget,
                                                               std::size_t count)
{
    std::vector<std::unique_ptr<test_connection>> out;
    out.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(std::make_unique<test_connection>(budget));
    return out;
}

} // namespace

/// Guards against a budget that leaves no room for the program itself on the smallest hosts, or
/// that callers within the limits reach on hosts without settings.
Test(memory_budget, limits_follow_from_the_host)
{
    cr_expect_eq(limits_of_host(112, 2870).bytes, 40 * mb);
    cr_expect_eq(limits_of_host(64, 512).bytes, 16 * mb);
    cr_expect_eq(limits_of_host(0, 0).bytes, 496 * mb);
    cr_expect_eq(limits_of_host(112, 512).connections, 384);
    // The largest body that a deployment permits fits even on the smallest host.
    cr_expect_gt(limits_of_host(112, 0).large_bytes(), 4 * mb);
}

/// Guards against bodies that together exceed the memory, and against refusing small requests
/// because of large ones.
Test(memory_budget, large_bodies_give_way_to_small_requests)
{
    memory_budget budget;
    budget.set_limits({12 * mb, 100});
    const auto large = open_connections(budget, 8);
    const auto small = open_connections(budget, 8);
    for (const auto& it : small)
        it->account().set(small_holder_bytes, connection_state::receiving);
    for (const auto& it : large)
        it->account().set(mb, connection_state::receiving);
    cr_expect(budget.is_short());
    budget.reclaim(now());
    cr_expect(!budget.is_short());
    cr_expect(std::ranges::none_of(small, [](const auto& it) { return it->is_closed(); }));
    cr_expect(std::ranges::any_of(large, [](const auto& it) { return it->is_closed(); }));
    cr_expect(std::ranges::any_of(large, [](const auto& it) { return !it->is_closed(); }));
}

/// Guards against a sender that keeps its place by sending single bytes.
Test(memory_budget, single_bytes_are_no_progress)
{
    memory_budget budget;
    budget.set_limits({12 * mb, 100});
    const auto both = open_connections(budget, 2);
    const auto later = now() + milliseconds{5000};
    both[0]->account().record_progress(100, later);
    both[1]->account().record_progress(10'000, later);
    for (const auto& it : both)
        it->account().set(5 * mb / 2, connection_state::receiving);
    budget.reclaim(later);
    cr_expect(both[0]->is_closed());
    cr_expect(!both[1]->is_closed());
}

/// Guards against a body that is read although requests that may be running hold its place.
Test(memory_budget, bodies_that_cannot_fit_are_refused)
{
    memory_budget budget;
    budget.set_limits({12 * mb, 100});
    cr_expect(budget.can_hold_body(4 * mb));
    cr_expect(!budget.can_hold_body(4 * mb + 1));
    {
        const memory_charge served{budget, charge_kind::request, 3 * mb};
        cr_expect(!budget.can_hold_body(2 * mb));
        cr_expect(budget.can_hold_body(small_holder_bytes));
    }
    cr_expect(budget.can_hold_body(4 * mb));
    cr_expect_eq(budget.bytes(), 0);
}

/// Guards against buffered responses that exceed their part or the whole.
Test(memory_budget, responses_have_their_own_part)
{
    memory_budget budget;
    budget.set_limits({12 * mb, 100});
    memory_charge a{budget, charge_kind::response};
    memory_charge b{budget, charge_kind::response};
    cr_expect(a.try_set(4 * mb));
    cr_expect(!b.try_set(3 * mb));
    cr_expect(b.try_set(2 * mb));
    cr_expect_eq(budget.bytes(), 6 * mb);
    cr_expect(a.try_set(mb));
    cr_expect_eq(budget.bytes(), 3 * mb);
}

/// Guards against running out of descriptors, and against probes that are shut out by callers.
Test(memory_budget, connections_are_bounded)
{
    memory_budget budget;
    budget.set_limits({12 * mb, 10});
    const auto all = open_connections(budget, 10);
    for (const auto& it : all)
        it->account().set(100, connection_state::serving);
    cr_expect(!budget.admit_connection(false, now()));
    cr_expect(budget.admit_connection(true, now()));
    all[3]->account().set(100, connection_state::idle);
    cr_expect(budget.admit_connection(false, now()));
    cr_expect(all[3]->is_closed());
    cr_expect_eq(budget.connections(), 9);
}
