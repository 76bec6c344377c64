#include "../fuzz.hpp"
#include "simulated_group.hpp"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>

using namespace kumquatgap::experts;
namespace fuzz = kumquatgap::fuzz;

Test(map_switch, all_ranks_use_one_map_in_each_pass)
{
    cr_assert(fuzz::holds<simulated_group>(true));
}

Test(map_switch, detects_each_mutation)
{
    for (const auto it : {mutation::ranks_ignore_fences, mutation::one_fence_per_lease,
                          mutation::ranks_ignore_epochs, mutation::hold_not_awaited,
                          mutation::one_armed_rank_suffices, mutation::late_orders_ignored,
                          mutation::agents_ignore_leases, mutation::agents_ignore_instance_ids})
        cr_expect_not(fuzz::holds<simulated_group>(false, it), "mutation %d was not detected",
                      static_cast<int>(it));
}

namespace
{

/// One step of a fixed sequence.
struct named_step
{
    std::string_view name;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

/// True when ranks use different maps in one pass of the sequence, or the group does not recover
/// after it.
template <class Steps>
bool fails(mutation active, const Steps& steps)
{
    simulated_group simulation{active};
    try
    {
        for (const auto& it : steps)
        {
            const auto at = std::ranges::find(simulated_group::step_names, it.name);
            simulation.step(static_cast<std::size_t>(at - simulated_group::step_names.begin()),
                            it.a, it.b);
        }
        simulation.settle();
    }
    catch (const rc::detail::CaseResult&)
    {
        return true;
    }
    return false;
}

} // namespace

/// A remote driver must not report its rank disarmed from an old report, nor settled by an order of
/// an earlier directive after which the rank's own agent sent others. Found by seed 4.
Test(map_switch, remote_driver_does_not_trust_orders_of_earlier_directives)
{
    constexpr auto steps = std::to_array<named_step>({{"remote_driver", 2, 0},
                                                      {"propose", 0, 0},
                                                      {"advance", 4, 0},
                                                      {"advance_remote_driver", 2, 1},
                                                      {"advance_remote_driver", 2, 0},
                                                      {"advance", 0, 0},
                                                      {"advance", 0, 0},
                                                      {"advance", 2, 0},
                                                      {"advance", 5, 0},
                                                      {"new_controller", 0, 0},
                                                      {"advance", 0, 0},
                                                      {"advance", 0, 0},
                                                      {"advance_remote_driver", 2, 0},
                                                      {"advance", 1, 0},
                                                      {"advance", 0, 0}});
    cr_assert_not(fails(mutation::none, steps));
    cr_assert(fails(mutation::remote_drivers_trust_old_orders, steps));
}
