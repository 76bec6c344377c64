#include "experts/switch_meter.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::experts;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};

} // namespace

Test(switch_meter, measures_time_apart_from_copying)
{
    switch_meter it;
    auto now = start;
    for (int i = 0; i < 40; ++i)
    {
        it.begun(150, now);
        now += milliseconds{150 + 90};
        it.ended(true, now);
    }
    cr_assert_float_eq(it.overhead_ms(), 90, 1);
}

Test(switch_meter, ignores_aborted_switches)
{
    switch_meter it;
    const auto before = it.overhead_ms();
    it.begun(150, start);
    it.ended(false, start + milliseconds{6000});
    it.ended(true, start + milliseconds{9000});
    cr_assert_float_eq(it.overhead_ms(), before, 1e-9);
}

Test(switch_meter, overhead_has_a_lower_bound)
{
    switch_meter it;
    for (int i = 0; i < 100; ++i)
    {
        it.begun(500, start);
        it.ended(true, start + milliseconds{300});
    }
    cr_assert_geq(it.overhead_ms(), 20);
}
