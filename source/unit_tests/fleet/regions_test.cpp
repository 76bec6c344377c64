#include "fleet/regions.hpp"

#include <criterion/criterion.h>

using namespace kumquatgap::fleet;

/// An empty list must not keep a call from every target.
Test(regions, empty_list_is_no_restriction)
{
    const permitted_regions it{{}};
    cr_assert_not(it.is_restricted());
    cr_assert(it.permits("north"));
    cr_assert(it.permits(""));
    cr_assert(it == permitted_regions{});
}

/// A target of unknown region must not serve a restricted call.
Test(regions, restriction_excludes_other_and_unknown_regions)
{
    const permitted_regions it{{"north"}};
    cr_assert(it.is_restricted());
    cr_assert(it.permits("north"));
    cr_assert_not(it.permits("south"));
    cr_assert_not(it.permits(""));
}

/// The restriction of one side must not replace that of the other.
Test(regions, intersection_permits_what_both_permit)
{
    const permitted_regions none;
    const permitted_regions a{{"north", "south"}};
    const permitted_regions b{{"south", "west"}};
    cr_assert(a.intersected_with(none) == a);
    cr_assert(none.intersected_with(a) == a);
    cr_assert_not(none.intersected_with(none).is_restricted());
    cr_assert(a.intersected_with(b) == permitted_regions{{"south"}});
}

/// Two restrictions without a common region must not become no restriction.
Test(regions, empty_intersection_permits_nothing)
{
    const auto it = permitted_regions{{"north"}}.intersected_with(permitted_regions{{"south"}});
    cr_assert(it.is_restricted());
    cr_assert_not(it.permits("north"));
    cr_assert_not(it.permits("south"));
}
