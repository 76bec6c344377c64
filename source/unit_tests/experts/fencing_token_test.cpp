#include "experts/switch_message.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap;
using namespace kumquatgap::experts;

/// After a restore, lower revisions made lower tokens, and ranks refused all orders.
Test(fencing_token, rises_when_restored_store_goes_back)
{
    cr_assert_gt(make_fencing_token({2, 5}), make_fencing_token({1, max_lost_changes}));
    cr_assert_gt(make_fencing_token({3, 1}), make_fencing_token({2, max_lost_changes}));
    cr_assert_gt(make_fencing_token({2, 6}), make_fencing_token({2, 5}));
}

/// Builds that know no eras use the revision alone.
Test(fencing_token, is_the_revision_in_the_first_era)
{
    cr_assert_eq(make_fencing_token({0, 7}), 7);
    cr_assert_eq(make_fencing_token({1, 7}), 7);
}
