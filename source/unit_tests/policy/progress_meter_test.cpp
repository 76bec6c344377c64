#include "policy/progress_meter.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::policy;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};

} // namespace

/// A group that stood still for seconds: its streams were silent for as long, and are not stalled
/// as soon as the first of them goes on.
Test(progress_meter, silence_counts_from_the_end_of_a_common_pause)
{
    progress_meter it;
    for (int ms = 0; ms < 1000; ms += 60)
        it.note(start + milliseconds{ms});
    cr_assert(it.going_since() == start);
    const auto back = start + milliseconds{5000};
    cr_assert_not(it.is_going(back));
    it.note(back);
    cr_assert(it.is_going(back + milliseconds{100}));
    cr_assert(it.going_since() == back);
}
