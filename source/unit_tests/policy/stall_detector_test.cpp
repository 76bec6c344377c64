#include "policy/stall_detector.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::policy;

namespace
{

constexpr timestamp start{milliseconds{1'000'000}};

} // namespace

/// Guards against ending streams as stalled right after a stall of the whole group: every stream
/// was silent for seconds when the first of them continues.
Test(stall_detector, progress_restarts_after_stall)
{
    stall_detector it;
    for (int ms = 0; ms < 1000; ms += 60)
        it.record_progress(start + milliseconds{ms});
    cr_assert(it.progressing_since() == start);
    const auto back = start + milliseconds{5000};
    cr_assert_not(it.is_progressing(back));
    it.record_progress(back);
    cr_assert(it.is_progressing(back + milliseconds{100}));
    cr_assert(it.progressing_since() == back);
}
