#include "io/eviction_policy.hpp"

#include <criterion/criterion.h>

#include <vector>

/// Guards against closing the wrong connections when memory or descriptors are short: calls that
/// may be running, or ordinary small requests before those that hold much and make no progress.
using namespace kumquatgap::io;
using kumquatgap::common::milliseconds;
using indices = std::vector<std::size_t>;
using enum connection_state;

Test(eviction_policy, frees_the_stalled_large_bodies_first)
{
    const std::vector<buffer_holder> holders{{1000, receiving, milliseconds{0}},
                                             {900'000, receiving, milliseconds{10}},
                                             {1'000'000, receiving, milliseconds{0}},
                                             {500'000, receiving, milliseconds{3000}}};
    cr_expect(choose_for_memory(holders, 400'000, 0) == indices{3});
    cr_expect(choose_for_memory(holders, 600'000, 0) == indices({3, 1}));
    cr_expect(choose_for_memory(holders, 3'000'000, 0) == indices({3, 1, 2, 0}));
}

Test(eviction_policy, keeps_holders_up_to_the_least_size)
{
    const std::vector<buffer_holder> holders{{16'000, receiving, milliseconds{100'000}},
                                             {20'000, receiving, milliseconds{0}}};
    cr_expect(choose_for_memory(holders, 1'000'000, 16'000) == indices{1});
}

Test(eviction_policy, never_closes_a_call_that_may_run)
{
    const std::vector<buffer_holder> holders{{4'000'000, serving, milliseconds{9000}},
                                             {100, idle, milliseconds{1}}};
    cr_expect(choose_for_memory(holders, 1'000'000, 0) == indices{1});
    cr_expect(choose_for_connections(holders, 2) == indices{1});
}

Test(eviction_policy, closes_unread_responses)
{
    const std::vector<buffer_holder> holders{{4'000'000, sending, milliseconds{9000}},
                                             {4'000'000, sending, milliseconds{10}}};
    cr_expect(choose_for_memory(holders, 1, 0) == indices{0});
    cr_expect(choose_for_connections(holders, 1).empty());
}

Test(eviction_policy, closes_incomplete_requests_before_idle_connections)
{
    const std::vector<buffer_holder> holders{{100, idle, milliseconds{60'000}},
                                             {100, receiving, milliseconds{5}},
                                             {100, receiving, milliseconds{500}},
                                             {100, idle, milliseconds{1}},
                                             {100, lingering, milliseconds{50}}};
    cr_expect(choose_for_connections(holders, 2) == indices({2, 4}));
    cr_expect(choose_for_connections(holders, 9) == indices({2, 4, 1, 0, 3}));
}

Test(eviction_policy, chooses_nothing_without_a_shortage)
{
    const std::vector<buffer_holder> holders{{1'000'000, receiving, milliseconds{5000}}};
    cr_expect(choose_for_memory(holders, 0, 0).empty());
    cr_expect(choose_for_connections(holders, 0).empty());
}
